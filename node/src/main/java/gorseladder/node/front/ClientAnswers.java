package gorseladder.node.front;

import gorseladder.node.NodeCall;
import gorseladder.runtime.Clock;
import gorseladder.runtime.Outbox;

/**
 * The answers of one client connection that wait to be written, with the memory that they take from the budget of the
 * front. Its state is guarded by the lock of the connection; the figures may be read without it, since all connections
 * are compared by them. Times are microseconds.
 */
final class ClientAnswers {
  /** Memory of an answer beside its bytes, while it waits to be written. */
  private static final int ANSWER_OVERHEAD_BYTES = 80;

  /** How long nothing of a client's answers can be written before it counts as one that does not read. */
  private static final long MIN_UNREAD_MICROS = 20_000;

  private final FastCgiFront front;
  private final Object lock;
  private final Outbox outbox;
  /** Memory of the answers that are not written yet. */
  private volatile long unwrittenBytes;
  /** Since when no answer was written although some wait. */
  private volatile long unwrittenSince;

  private boolean closed;

  /**
   * Creates an empty queue.
   *
   * @param lock the lock of the connection
   */
  ClientAnswers(FastCgiFront front, Object lock, Outbox outbox) {
    this.front = front;
    this.lock = lock;
    this.outbox = outbox;
  }

  /**
   * Queues an answer, which {@link Outbox#send} writes; the lock is held.
   *
   * @param call the call that is answered, or null
   * @return false if the client does not read its answers
   */
  boolean add(byte[] bytes, NodeCall call) {
    return outbox.add(new AnswerBytes(bytes, call));
  }

  /**
   * Queues the answer to a management record, unless the client leaves earlier answers unread and others need the
   * memory; the lock is held. Returns false if it was not queued.
   */
  boolean addForManagementRecord(byte[] bytes) {
    return (unwrittenBytes == 0 || front.hasRoomForAnswers()) && add(bytes, null);
  }

  /** Memory of the answers that the client leaves unread, so that they cannot be written; 0 while some are written. */
  long unreadBytes(long now) {
    return now - unwrittenSince > MIN_UNREAD_MICROS ? unwrittenBytes : 0;
  }

  /** Gives back the memory of what is not written; the lock is held. */
  void close() {
    closed = true;
    front.giveBackAnswer(unwrittenBytes);
    unwrittenBytes = 0;
  }

  /** An answer that waits to be written. */
  private final class AnswerBytes implements Outbox.Item {
    private final byte[] bytes;
    /** Bytes taken from the budget; given back when it is written or the connection ends. */
    private final int memory;
    /** The call that is answered, or null. */
    private final NodeCall call;

    /** The lock of the connection is held. */
    private AnswerBytes(byte[] bytes, NodeCall call) {
      this.bytes = bytes;
      this.call = call;
      memory = bytes.length + ANSWER_OVERHEAD_BYTES;
      unwrittenSince = unwrittenBytes == 0 ? Clock.micros() : unwrittenSince;
      unwrittenBytes += memory;
      front.reserveAnswer(memory);
    }

    @Override
    public byte[] take() {
      return bytes;
    }

    @Override
    public int size() {
      return memory;
    }

    @Override
    public void written(long at, long upTo) {
      synchronized (lock) {
        if (!closed) {
          unwrittenBytes -= memory;
          unwrittenSince = at;
          front.giveBackAnswer(memory);
        }
      }
      if (call != null) {
        front.answerWritten(call, at);
      }
    }
  }
}
