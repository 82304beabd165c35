package gorseladder.testbed.rehearsal;

import gorseladder.testbed.platform.FastCgiClient;
import gorseladder.wire.fastcgi.RecordWriter;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Sends calls over as many connections as needed and awaits their answers together. */
final class CallBatch implements AutoCloseable {
  /** Below the limit of the platform for open requests on a connection, so that no call is refused for it. */
  private static final int CALLS_PER_CONNECTION = 16;

  private final InetSocketAddress dispatcher;
  private final List<FastCgiClient> connections = new ArrayList<>();
  private int sent;

  CallBatch(InetSocketAddress dispatcher) {
    this.dispatcher = dispatcher;
  }

  /** Returns the connection for the next call. */
  private FastCgiClient nextConnection() throws IOException {
    if (sent % CALLS_PER_CONNECTION == 0) {
      connections.add(new FastCgiClient(dispatcher));
    }
    return connections.get(connections.size() - 1);
  }

  private int requestId(int call) {
    return call % CALLS_PER_CONNECTION + 1;
  }

  void send(Map<String, String> params) throws IOException {
    sendBody(params, new byte[100]);
  }

  void sendBody(Map<String, String> params, byte[] body) throws IOException {
    nextConnection().send(requestId(sent), params, body);
    sent++;
  }

  void sendAndAbort(Map<String, String> params) throws IOException {
    FastCgiClient connection = nextConnection();
    connection.send(requestId(sent), params, new byte[100]);
    connection.write(RecordWriter.abort(requestId(sent)));
    sent++;
  }

  /** Returns the number of calls without an answer, after waiting for each at most the given time. */
  int unanswered(long millis) throws InterruptedException {
    int missing = 0;
    for (int call = 0; call < sent; call++) {
      FastCgiClient connection = connections.get(call / CALLS_PER_CONNECTION);
      missing += connection.await(requestId(call), millis) == null ? 1 : 0;
    }
    return missing;
  }

  @Override
  public void close() throws IOException {
    for (FastCgiClient connection : connections) {
      connection.close();
    }
  }
}
