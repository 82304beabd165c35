package gorseladder.wire.webhook;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.StringTokenizer;

/**
 * The signature headers of a webhook delivery and their verification (Standard Webhooks specification, "Webhook
 * headers" and "Verifying signatures"). Immutable and thread safe.
 *
 * @param id the {@code webhook-id}, 1 to 256 visible ASCII characters other than a full stop
 * @param timestamp the {@code webhook-timestamp}, seconds since the Unix epoch
 * @param signatures the distinct {@code webhook-signature} values that a key can have made
 */
public record Delivery(String id, long timestamp, List<SignatureValue> signatures) {
  /** Signatures accepted in one delivery. A sender that rotates its keys sends two or three. */
  private static final int MAX_SIGNATURES = 10;

  private static final int MAX_TIMESTAMP_DIGITS = 12;

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
    require(timestamp != null && isTimestamp(timestamp), TIMESTAMP);
    require(signature != null && !signature.isBlank(), SIGNATURE);
    return new Delivery(id, Long.parseLong(timestamp), parseSignatures(signature));
  }

  private static boolean isTimestamp(String text) {
    return !text.isEmpty()
        && text.length() <= MAX_TIMESTAMP_DIGITS
        && text.chars().allMatch(c -> c >= '0' && c <= '9');
  }

  private static List<SignatureValue> parseSignatures(String header) {
    StringTokenizer texts = new StringTokenizer(header.strip(), " ");
    require(texts.countTokens() <= MAX_SIGNATURES, SIGNATURE);
    Set<SignatureValue> signatures = new LinkedHashSet<>();
    while (texts.hasMoreTokens()) {
      SignatureValue.parse(texts.nextToken()).ifPresent(signatures::add);
    }
    return List.copyOf(signatures);
  }

  private static void require(boolean holds, String header) {
    if (!holds) {
      throw new IllegalArgumentException("the header " + header + " is missing or wrong");
    }
  }

  /**
   * The result of a verification.
   *
   * @param check whether the delivery may be accepted
   * @param good the signatures that one of the secrets made
   * @param secrets the secrets that made one of the signatures
   */
  public record Verification(Check check, Set<SignatureValue> good, List<Secret> secrets) {}

  /**
   * Verifies the delivery against the active secrets. The time stamp is checked only after a signature matches, so that
   * a caller without a secret learns nothing from the result.
   *
   * @param now current time, seconds since the Unix epoch
   * @param tolerance maximum difference between the time stamp and {@code now} in either direction, in seconds
   */
  public Verification verify(byte[] body, List<Secret> secrets, long now, long tolerance) {
    byte[] content = Secret.content(id, timestamp, body);
    Set<SignatureValue> good = new HashSet<>();
    List<Secret> matching = new ArrayList<>(1);
    for (Secret secret : secrets) {
      List<SignatureValue> made = secret.matching(signatures, content);
      if (!made.isEmpty()) {
        good.addAll(made);
        matching.add(secret);
      }
    }
    return new Verification(check(!good.isEmpty(), now, tolerance), good, matching);
  }

  private Check check(boolean good, long now, long tolerance) {
    if (!good) {
      return Check.BAD_SIGNATURE;
    }
    return Math.abs(now - timestamp) <= tolerance ? Check.GOOD : Check.STALE;
  }

  /** Verifies the delivery as {@link #verify} does and returns only whether it may be accepted. */
  public Check check(byte[] body, List<Secret> secrets, long now, long tolerance) {
    return verify(body, secrets, now, tolerance).check();
  }
}
