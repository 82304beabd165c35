package gorseladder.edge.core;

import gorseladder.store.Digests;
import gorseladder.wire.webhook.Delivery;
import gorseladder.wire.webhook.SignatureValue;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The identity of a signed request: what must not be accepted twice, wherever it is posted. A signature covers the
 * sender's id, the time stamp and the body, and not the path, so neither do the keys of its signatures. They do not
 * depend on the settings either: a restart, other secrets or another path change nothing.
 *
 * <p>A request has one key for each signature that it carries, and one for its content under each {@link MessageId} that
 * it may have. It is a replay if any of them is on record:
 *
 * <ul>
 *   <li>the key of a good signature counts at every endpoint: only a holder of the secret can have made it;
 *   <li>the key of another signature in the header, which no secret of the endpoint made, counts for the tenant only,
 *       so that nobody uses up the requests of another tenant by listing its signatures beside an own one;
 *   <li>the key of the content refuses the same message, time stamp and body under another secret of the same sender.
 * </ul>
 *
 * <p>Used by one thread.
 */
public final class SignedRequest {
  private static final int KEY_BYTES = 16;

  private final String tenant;
  private final Delivery delivery;
  private final byte[] body;
  private final List<String> signatureKeys;
  private final Map<MessageId, String> contentKeys = new HashMap<>();

  /**
   * Creates the identity of a delivery.
   *
   * @param tenant the tenant of the endpoint; empty for none
   * @param delivery its headers, verified or not
   */
  public SignedRequest(String tenant, Delivery delivery, byte[] body) {
    this.tenant = tenant;
    this.delivery = delivery;
    this.body = body;
    this.signatureKeys = new ArrayList<>(2 * delivery.signatures().size());
    for (SignatureValue signature : delivery.signatures()) {
      signatureKeys.add(key(signature));
      signatureKeys.add(keyWithinTenant(signature));
    }
  }

  /** The {@code webhook-id}, which a signature covers. */
  public String senderId() {
    return delivery.id();
  }

  /** Returns the keys under which one of its signatures may be on record; known before the signatures are verified. */
  public List<String> signatureKeys() {
    return signatureKeys;
  }

  /** Returns all keys under which it may be on record if it is a delivery of one of the given messages. */
  public List<String> keysToLookUp(List<MessageId> messages) {
    List<String> keys = new ArrayList<>(signatureKeys.size() + messages.size());
    keys.addAll(signatureKeys);
    messages.forEach(message -> keys.add(contentKeys.computeIfAbsent(message, this::contentKey)));
    return keys;
  }

  /**
   * Returns the keys to record when it is accepted.
   *
   * @param message the message that it is a delivery of
   * @param good those of its signatures that a secret of the endpoint made
   */
  public List<String> keysToRecord(MessageId message, Set<SignatureValue> good) {
    Collection<SignatureValue> signatures = delivery.signatures();
    List<String> keys = new ArrayList<>(signatures.size() + 1);
    keys.add(contentKeys.computeIfAbsent(message, this::contentKey));
    for (SignatureValue signature : signatures) {
      keys.add(good.contains(signature) ? key(signature) : keyWithinTenant(signature));
    }
    return keys;
  }

  /** The only key that releases before 0.10 recorded; its form must not change. */
  private String contentKey(MessageId message) {
    MessageDigest sha = Digests.sha256();
    sha.update(
        (message.name() + "\0" + delivery.timestamp() + "\0").getBytes(StandardCharsets.UTF_8));
    return encode(sha.digest(body));
  }

  private static String key(SignatureValue signature) {
    return signatureKey("signature\0", signature);
  }

  private String keyWithinTenant(SignatureValue signature) {
    return signatureKey("signature within tenant\0" + tenant + "\0", signature);
  }

  private static String signatureKey(String prefix, SignatureValue signature) {
    MessageDigest sha = Digests.sha256();
    sha.update((prefix + signature.version().prefix() + "\0").getBytes(StandardCharsets.UTF_8));
    return encode(sha.digest(signature.bytes()));
  }

  private static String encode(byte[] digest) {
    return Base64.getEncoder().withoutPadding().encodeToString(Arrays.copyOf(digest, KEY_BYTES));
  }
}
