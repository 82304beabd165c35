package gorseladder.edge.core;

/**
 * The identity of a message: what runs once and is answered again from the ledger. All deliveries and retries of a
 * message have one identity, also if they are posted at different endpoints of the same sender ({@link EndpointLinks}).
 *
 * @param path the endpoint at which the message was first accepted
 * @param senderId the {@code webhook-id}
 */
public record MessageId(String path, String senderId) {
  /** The name in the ledger, in logs and at runners. */
  public String name() {
    return path + " " + senderId;
  }
}
