package gorseladder.wire.oip;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * The load report in a response header, by the ORCA specification ({@code xds.data.orca.v3.OrcaLoadReport}) in its TEXT
 * form: {@code TEXT cpu_utilization=0.4, named_metrics.inflight=3}. Names are kept as sent, without the
 * {@code named_metrics.} prefix. Entries that cannot be read are passed over: a report is a hint, never a reason to
 * lose an answer. Pure functions; any thread.
 */
public final class LoadReport {
  /** The header's name, in lower case. */
  public static final String HEADER = "endpoint-load-metrics";

  private static final String NAMED = "named_metrics.";
  private static final int MOST = 32;

  private LoadReport() {}

  /** The values of a report; empty where there is none or another form. */
  public static Map<String, Double> parse(String value) {
    Map<String, Double> report = new LinkedHashMap<>();
    if (value == null || !value.startsWith("TEXT ")) {
      return report;
    }
    for (String part : value.substring(5).split(",")) {
      String entry = part.strip();
      int equals = entry.indexOf('=');
      if (equals <= 0 || report.size() >= MOST) {
        continue;
      }
      String name = entry.substring(0, equals).strip();
      try {
        double number = Double.parseDouble(entry.substring(equals + 1).strip());
        if (Double.isFinite(number)) {
          report.put(name.startsWith(NAMED) ? name.substring(NAMED.length()) : name, number);
        }
      } catch (NumberFormatException e) {
        continue;
      }
    }
    return report;
  }

  /** The TEXT form of processor use (0 to 1) and named metrics. */
  public static String format(double cpu, Map<String, Double> named) {
    StringBuilder out =
        new StringBuilder("TEXT cpu_utilization=").append(String.format(Locale.ROOT, "%.3f", cpu));
    named.forEach((name, number) -> out.append(", ")
        .append(NAMED)
        .append(name)
        .append('=')
        .append(String.format(Locale.ROOT, "%.3f", number)));
    return out.toString();
  }
}
