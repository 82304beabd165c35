package gorseladder.node;

import gorseladder.core.Call;
import gorseladder.core.FinalAnswer;
import gorseladder.runtime.Clock;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BiConsumer;

/** A call of the platform: it is answered on the connection it came on, and nothing of it is kept after its end. */
public final class NodeCall extends Call {
  private final String idempotencyKey;
  private final long clientSeenFrom;
  private final long readAt = Clock.micros();
  private final BiConsumer<NodeCall, FinalAnswer> onEnd;
  /**
   * Connections that carried its id: an id goes at most once over one, so that no late answer is taken for another's.
   */
  private final Set<Object> carriers = new HashSet<>();

  /**
   * A call just taken.
   *
   * @param key the client's idempotency key, passed on to the runner unchanged; null where it gave none
   * @param seenFrom from when on it is known whether its client is still there; 0 for always
   * @param onEnd hears its final answer once
   */
  public NodeCall(
      long id,
      Facts facts,
      String idempotencyKey,
      long clientSeenFrom,
      BiConsumer<NodeCall, FinalAnswer> onEnd) {
    super(id, facts);
    this.idempotencyKey = idempotencyKey;
    this.clientSeenFrom = clientSeenFrom;
    this.onEnd = onEnd;
  }

  /** The client's idempotency key, or null. */
  public String idempotencyKey() {
    return idempotencyKey;
  }

  /** From when on it is known whether its client is still there; 0 for always. */
  public long clientSeenFrom() {
    return clientSeenFrom;
  }

  /** When it was read whole. */
  public long readAt() {
    return readAt;
  }

  @Override
  protected void onFinalAnswer(FinalAnswer end) {
    onEnd.accept(this, end);
  }

  /** Notes that a connection is to carry an attempt. */
  public synchronized void claim(Object connection) {
    carriers.add(connection);
  }

  /** Takes a claim back: nothing of the call was written on that connection. */
  public synchronized void release(Object connection) {
    carriers.remove(connection);
  }

  /** True where the connection carried this call before. */
  public synchronized boolean wasCarriedBy(Object connection) {
    return carriers.contains(connection);
  }
}
