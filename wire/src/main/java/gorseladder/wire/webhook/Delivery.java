package gorseladder.wire.webhook;

import java.util.List;

/**
 * The signed part of a webhook delivery and its check (Standard Webhooks specification, "Webhook headers" and
 * "Verifying signatures"). Immutable; any thread.
 *
 * @param id the {@code webhook-id}, 1 to 256 visible ASCII characters without a full stop
 * @param timestamp the {@code webhook-timestamp}, seconds since 1970
 * @param signatures the {@code webhook-signature}, split at its spaces
 */
public record Delivery(String id, long timestamp, List<String> signatures) {
  /** Signatures of one delivery that are looked at; a sender that rotates keys sends two or three. */
  private static final int MOST_SIGNATURES = 10;

  /** Header names, in lower case. */
  public static final String ID = "webhook-id";

  public static final String TIMESTAMP = "webhook-timestamp";
  public static final String SIGNATURE = "webhook-signature";

  /** How a check ended. */
  public enum Check {
    GOOD,
    BAD_SIGNATURE,
    STALE
  }

  /**
   * Reads the three header values.
   *
   * @throws IllegalArgumentException naming the header that is missing or wrong
   */
  public static Delivery of(String id, String timestamp, String signature) {
    require(id != null && !id.isEmpty() && id.length() <= 256, ID);
    require(id.chars().allMatch(c -> c > 0x20 && c < 0x7f && c != '.'), ID);
    require(timestamp != null && timestamp.matches("[0-9]{1,12}"), TIMESTAMP);
    require(signature != null && !signature.isBlank(), SIGNATURE);
    List<String> signatures = List.of(signature.strip().split(" +"));
    require(signatures.size() <= MOST_SIGNATURES, SIGNATURE);
    return new Delivery(id, Long.parseLong(timestamp), signatures);
  }

  private static void require(boolean holds, String header) {
    if (!holds) {
      throw new IllegalArgumentException("the header " + header + " is missing or wrong");
    }
  }

  /**
   * Checks the delivery against the live secrets. The time stamp is judged only once a signature holds, so that nothing
   * is told to a caller who knows no secret.
   *
   * @param tolerance seconds by which the time stamp may differ from {@code now} either way
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
