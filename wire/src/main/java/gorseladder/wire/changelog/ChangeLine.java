package gorseladder.wire.changelog;

import gorseladder.wire.json.Json;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/**
 * One line of the change log: a numbered event, or a heartbeat that holds only the last number (the platform's
 * protocol, "The change log").
 *
 * @param seq the event's number, or the last number in the log
 * @param isEvent false for a heartbeat
 * @param fleet the change of the list of runners, null if the line has none
 */
public record ChangeLine(long seq, boolean isEvent, Fleet fleet) {
  /** A change of the list of runners. If {@code all} is true, the targets replace the whole list. */
  public record Fleet(boolean all, List<Map<String, Object>> targets) {}

  /**
   * Parses a line.
   *
   * @throws IllegalArgumentException if the line is invalid
   */
  public static ChangeLine read(byte[] line) {
    if (line.length > 0 && line.length < 18 && isAllDigits(line)) {
      return new ChangeLine(
          Long.parseLong(new String(line, StandardCharsets.US_ASCII)), false, null);
    }
    return of(Json.read(line));
  }

  /**
   * Converts a parsed event, as the configuration holds it under {@code known}.
   *
   * @throws IllegalArgumentException if the event is invalid
   */
  @SuppressWarnings("unchecked")
  public static ChangeLine of(Object event) {
    if (!(Json.at(event, "seq") instanceof Double seq) || seq < 0 || seq != Math.rint(seq)) {
      throw new IllegalArgumentException("an event without a number");
    }
    Object fleet = Json.at(event, "fleet");
    if (fleet == null) {
      return new ChangeLine(seq.longValue(), true, null);
    }
    if (!(Json.at(fleet, "targets") instanceof List<?> targets)
        || !targets.stream().allMatch(t -> t instanceof Map)) {
      throw new IllegalArgumentException("event " + seq.longValue() + " has no list of runners");
    }
    return new ChangeLine(
        seq.longValue(), true, new Fleet(Boolean.TRUE.equals(Json.at(fleet, "all")), (List<
                Map<String, Object>>)
            (List<?>) targets));
  }

  /** Encodes the line with which a reader asks for all events after {@code seq}. */
  public static byte[] since(long seq) {
    return ("since " + seq + "\n").getBytes(StandardCharsets.US_ASCII);
  }

  private static boolean isAllDigits(byte[] line) {
    for (byte b : line) {
      if (b < '0' || b > '9') {
        return false;
      }
    }
    return true;
  }
}
