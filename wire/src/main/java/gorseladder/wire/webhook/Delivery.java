package gorseladder.wire.webhook;

import java.util.List;

/**
 * The signature headers of a webhook delivery and their verification (Standard Webhooks specification, "Webhook
 * headers" and "Verifying signatures"). Immutable and thread safe.
 *
 * @param id the {@code webhook-id}, 1 to 256 visible ASCII characters other than a full stop
 * @param timestamp the {@code webhook-timestamp}, seconds since the Unix epoch
 * @param signatures the {@code webhook-signature} values, split at spaces
 */
public record Delivery(String id, long timestamp, List<String> signatures) {
  /** Signatures accepted in one delivery. A sender that rotates its keys sends two or three. */
  private static final int MAX_SIGNATURES = 10;

  /** Header name, in lower case, as are the next two. */
  public static final String ID = "webhook-id";

  public static final String TIMESTAMP = "webhook-timestamp";
  public static final String SIGNATURE = "webhook-signature";

  /** Result of a verification. {@code STALE} is a valid signature with a time stamp outside the tolerance. */
  public enum Check {
    GOOD,
    BAD_SIGNATURE,
    STALE
  }

  /**
   * Parses the three header values.
   *
   * @throws IllegalArgumentException if a header is missing or invalid; the message names it
   */
  public static Delivery of(String id, String timestamp, String signature) {
    require(id != null && !id.isEmpty() && id.length() <= 256, ID);
    require(id.chars().allMatch(c -> c > 0x20 && c < 0x7f && c != '.'), ID);
    require(timestamp != null && timestamp.matches("[0-9]{1,12}"), TIMESTAMP);
    require(signature != null && !signature.isBlank(), SIGNATURE);
    List<String> signatures = List.of(signature.strip().split(" +"));
    require(signatures.size() <= MAX_SIGNATURES, SIGNATURE);
    return new Delivery(id, Long.parseLong(timestamp), signatures);
  }

  private static void require(boolean holds, String header) {
    if (!holds) {
      throw new IllegalArgumentException("the header " + header + " is missing or wrong");
    }
  }

  /**
   * Verifies the delivery against the active secrets. The time stamp is checked only after a signature matches, so that
   * a caller without a secret learns nothing from the result.
   *
   * @param now current time, seconds since the Unix epoch
   * @param tolerance maximum difference between the time stamp and {@code now} in either direction, in seconds
   */
  public Check check(byte[] body, List<Secret> secrets, long now, long tolerance) {
    byte[] content = Secret.content(id, timestamp, body);
    boolean good = false;
    for (Secret secret : secrets) {
      for (String signature : signatures) {
        good |= secret.matches(signature, content);
      }
    }
    if (!good) {
      return Check.BAD_SIGNATURE;
    }
    return Math.abs(now - timestamp) <= tolerance ? Check.GOOD : Check.STALE;
  }
}
