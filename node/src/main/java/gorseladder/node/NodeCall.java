package gorseladder.node;

import gorseladder.answers.Reason;
import gorseladder.core.Call;
import gorseladder.core.FinalAnswer;
import gorseladder.permits.ClientView;
import gorseladder.runtime.Clock;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;

/**
 * A call of the platform. It is answered on the connection on which it arrived, and nothing of it is stored afterwards.
 */
public final class NodeCall extends Call {
  /** The connection of the client that waits for the answer. */
  public interface Client {
    /** What is known of the client now; must not block. */
    ClientView view(long now);

    /** Called if an attempt was not sent because the client has left; must not block. */
    void hasLeft(NodeCall call);
  }

  private static final Client ALWAYS_PRESENT = new Client() {
    @Override
    public ClientView view(long now) {
      return ClientView.PRESENT;
    }

    @Override
    public void hasLeft(NodeCall call) {}
  };

  private final AtomicBoolean released = new AtomicBoolean();
  private volatile Runnable whenReleased = () -> {};
  private volatile Client client = ALWAYS_PRESENT;
  private final String idempotencyKey;
  private final long clientSeenFrom;
  private final long readAt = Clock.micros();
  private final BiConsumer<NodeCall, FinalAnswer> onFinalAnswer;
  /**
   * Connections that carried its id. An id is sent at most once on a connection, so that a late answer cannot be taken
   * for that of another attempt.
   */
  private final Set<Object> carriers = new HashSet<>();

  /**
   * Creates an accepted call.
   *
   * @param idempotencyKey key of the client, passed on to the runner unchanged; null if there is none
   * @param clientSeenFrom from when on it is known whether its client is still there; 0 for always
   * @param onFinalAnswer called once with its final answer
   */
  public NodeCall(
      long id,
      Facts facts,
      String idempotencyKey,
      long clientSeenFrom,
      BiConsumer<NodeCall, FinalAnswer> onFinalAnswer) {
    super(id, facts);
    this.idempotencyKey = idempotencyKey;
    this.clientSeenFrom = clientSeenFrom;
    this.onFinalAnswer = onFinalAnswer;
  }

  /** Sets what runs once when nothing of the call is kept any more, before the call is passed on. */
  public void setWhenReleased(Runnable action) {
    whenReleased = action;
  }

  /** Also called for a call that the core has never had. */
  @Override
  public void onReleased() {
    if (released.compareAndSet(false, true)) {
      whenReleased.run();
    }
  }

  /** Sets the connection of its client, before the call is passed on. */
  public void setClient(Client connection) {
    client = connection;
  }

  /** What is known of its client now. */
  public ClientView clientView(long now) {
    return client.view(now);
  }

  /** Reports to the connection of its client that it has left. */
  public void clientGone() {
    client.hasLeft(this);
  }

  /** Key of the client, or null. */
  public String idempotencyKey() {
    return idempotencyKey;
  }

  /** From when on it is known whether its client is still there; 0 for always. */
  public long clientSeenFrom() {
    return clientSeenFrom;
  }

  /** When the request was read completely. */
  public long readAt() {
    return readAt;
  }

  /** Whether its final answer is the result of a runner. */
  public boolean isServed() {
    FinalAnswer end = answer();
    return end != null && end.reason().kind == Reason.Kind.SERVED;
  }

  @Override
  protected void onFinalAnswer(FinalAnswer end) {
    onFinalAnswer.accept(this, end);
  }

  /** Records that a connection will carry an attempt. */
  public synchronized void claim(Object connection) {
    carriers.add(connection);
  }

  /** Withdraws a claim; nothing of the call was written on that connection. */
  public synchronized void release(Object connection) {
    carriers.remove(connection);
  }

  /** Whether the connection carried this call before. */
  public synchronized boolean wasCarriedBy(Object connection) {
    return carriers.contains(connection);
  }
}
