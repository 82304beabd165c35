package gorseladder.edge.core;

import gorseladder.store.Digests;
import gorseladder.store.RequestKey;
import gorseladder.wire.webhook.Delivery;
import gorseladder.wire.webhook.SignatureValue;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * The identity of a signed request: what must not be accepted twice, wherever it is posted. A signature covers the
 * sender's id, the time stamp and the body, and not the path, so neither do the keys of its signatures. They do not
 * depend on the settings either: a restart, other secrets or another path change nothing.
 *
 * <p>A request has one key for each signature that it carries, and one for its content under each {@link MessageId}
 * that it may have. It is a replay if any of them is on record:
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
  private final Function<String, RequestKey> keyOf;
  private final Delivery delivery;
  private final byte[] body;
  /** For each signature its key, and its key within the tenant. */
  private final List<RequestKey> signatureKeys;

  private final Map<MessageId, RequestKey> contentKeys = new HashMap<>();

  /**
   * Creates the identity of a delivery.
   *
   * @param tenant the tenant of the endpoint; empty for none
   * @param delivery its headers, verified or not
   * @param keyOf makes a key of the ledger
   */
  public SignedRequest(
      String tenant, Delivery delivery, byte[] body, Function<String, RequestKey> keyOf) {
    this.tenant = tenant;
    this.keyOf = keyOf;
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
  public List<RequestKey> signatureKeys() {
    return signatureKeys;
  }

  /** Returns all keys under which it may be on record if it is a delivery of one of the given messages. */
  public List<RequestKey> keysToLookUp(List<MessageId> messages) {
    List<RequestKey> keys = new ArrayList<>(signatureKeys.size() + messages.size());
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
  public List<RequestKey> keysToRecord(MessageId message, Set<SignatureValue> good) {
    List<SignatureValue> signatures = delivery.signatures();
    List<RequestKey> keys = new ArrayList<>(signatures.size() + 1);
    keys.add(contentKeys.computeIfAbsent(message, this::contentKey));
    for (int i = 0; i < signatures.size(); i++) {
      keys.add(signatureKeys.get(good.contains(signatures.get(i)) ? 2 * i : 2 * i + 1));
    }
    return keys;
  }

  /** The only key that earlier releases recorded; its form must not change. */
  private RequestKey contentKey(MessageId message) {
    String prefix = message.name() + "\0" + delivery.timestamp() + "\0";
    return keyOf.apply(encode(Digests.sha256(prefix.getBytes(StandardCharsets.UTF_8), body)));
  }

  private RequestKey key(SignatureValue signature) {
    return keyOf.apply(name(signature));
  }

  private RequestKey keyWithinTenant(SignatureValue signature) {
    return keyOf.apply(name(signature) + " " + tenant);
  }

  /** The beginning of a signature tells it from all others and is of no use to who reads the ledger. */
  private static String name(SignatureValue signature) {
    return signature.version().prefix() + "," + encode(signature.bytes());
  }

  private static String encode(byte[] digest) {
    return Base64.getEncoder().withoutPadding().encodeToString(Arrays.copyOf(digest, KEY_BYTES));
  }
}
