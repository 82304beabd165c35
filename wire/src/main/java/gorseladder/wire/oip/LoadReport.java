package gorseladder.wire.oip;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Codec for the load report in a response header, in the TEXT format of the ORCA specification
 * ({@code xds.data.orca.v3.OrcaLoadReport}): {@code TEXT cpu_utilization=0.4, named_metrics.inflight=3}. Invalid
 * entries are skipped: a report is a hint and must not cost an answer. Stateless and thread safe.
 */
public final class LoadReport {
  /** Header name, in lower case. */
  public static final String HEADER = "endpoint-load-metrics";

  private static final String NAMED_PREFIX = "named_metrics.";
  private static final int MAX_ENTRIES = 32;

  private LoadReport() {}

  /**
   * Parses a report.
   *
   * @return metrics by name, without the {@code named_metrics.} prefix; empty unless the value is in TEXT format
   */
  public static Map<String, Double> parse(String value) {
    Map<String, Double> report = new LinkedHashMap<>();
    if (value == null || !value.startsWith("TEXT ")) {
      return report;
    }
    for (String part : value.substring(5).split(",")) {
      String entry = part.strip();
      int equals = entry.indexOf('=');
      if (equals <= 0 || report.size() >= MAX_ENTRIES) {
        continue;
      }
      String name = entry.substring(0, equals).strip();
      try {
        double number = Double.parseDouble(entry.substring(equals + 1).strip());
        if (Double.isFinite(number)) {
          report.put(
              name.startsWith(NAMED_PREFIX) ? name.substring(NAMED_PREFIX.length()) : name, number);
        }
      } catch (NumberFormatException e) {
        continue;
      }
    }
    return report;
  }

  /**
   * Formats a report.
   *
   * @param cpu CPU utilization, 0 to 1
   */
  public static String format(double cpu, Map<String, Double> named) {
    StringBuilder out =
        new StringBuilder("TEXT cpu_utilization=").append(String.format(Locale.ROOT, "%.3f", cpu));
    named.forEach((name, number) -> out.append(", ")
        .append(NAMED_PREFIX)
        .append(name)
        .append('=')
        .append(String.format(Locale.ROOT, "%.3f", number)));
    return out.toString();
  }
}
