package gorseladder.node.front;

import gorseladder.wire.fastcgi.BadRecord;
import gorseladder.wire.fastcgi.NameValues;
import gorseladder.wire.fastcgi.RecordWriter;
import java.util.LinkedHashMap;
import java.util.Map;

/** Answers to management records (FastCGI Specification 1.0, section 4). Pure functions; thread safe. */
final class ManagementRecords {
  private static final int MAX_NAMES = 100;

  private ManagementRecords() {}

  /**
   * The answer to GET_VALUES: the known ones among the names.
   *
   * @param content the encoded names
   * @throws BadRecord if the content cannot be read
   */
  static byte[] values(byte[] content, int maxConnections, int maxRequestsPerConnection)
      throws BadRecord {
    Map<String, String> known = Map.of(
        "FCGI_MAX_CONNS",
        Integer.toString(maxConnections),
        "FCGI_MAX_REQS",
        Integer.toString(maxConnections * maxRequestsPerConnection),
        "FCGI_MPXS_CONNS",
        "1");
    Map<String, String> answer = new LinkedHashMap<>();
    NameValues.read(content, content.length, MAX_NAMES, known::containsKey)
        .keySet()
        .forEach(name -> answer.put(name, known.get(name)));
    return RecordWriter.valuesResult(answer);
  }
}
