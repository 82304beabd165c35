package gorseladder.runtime;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.concurrent.Executor;

/**
 * The output queue of one connection. Adding an item never blocks. The adding thread writes the item itself as long as
 * the peer has left little unread, because the send buffer then has room; otherwise a thread of a pool writes
 * everything that is queued in one write. A peer that stops reading delays only its own connection, until its queue is
 * full.
 *
 * <p>Writing on the adding thread saves a hand-over to another thread, which on a busy processor takes as long as the
 * turns of all threads that wait for it. The cost is one system call for each item, where the pool writes several items
 * at once.
 *
 * <p>Thread safe; callbacks are made without any lock of this class.
 */
public final class Outbox {
  private static final int MAX_WRITE_BYTES = 16_384;
  /** Unread bytes up to which a write does not block: half of the smallest send buffer of a Linux connection. */
  private static final int MAX_UNREAD_BYTES = 8_192;

  /** A message to write. */
  public interface Item {
    /** The bytes, requested just before they are written; null if the item is not to be written any more. */
    byte[] take();

    /** Approximate number of bytes, counted against the limit of the queue. */
    int size();

    /**
     * Called when all bytes were handed to the operating system; not called for an item without bytes.
     *
     * @param at time of the write, in {@link Clock#micros()}
     * @param upTo total bytes written on this connection, including this item
     */
    default void written(long at, long upTo) {}
  }

  /** Called when the connection has failed; possibly more than once. */
  public interface Failure {
    void failed(IOException cause);
  }

  private final Executor pool;
  private final int maxBytes;
  private final Failure failure;
  private final ArrayDeque<Item> items = new ArrayDeque<>();
  private final Runnable writing = () -> write(false);
  private SocketChannel channel;
  private int bytes;
  /** Total bytes handed to the operating system, or about to be. */
  private long written;
  /** Bytes of these that the peer has certainly read. */
  private long read;

  private boolean writerActive;
  private boolean closed;
  private boolean closeWhenEmpty;
  private Runnable whenIdle;
  private volatile long writingSince;

  /** Creates a queue of approximately the given size; nothing is written before {@link #open}. */
  public Outbox(Executor pool, int maxBytes, Failure failure) {
    this.pool = pool;
    this.maxBytes = maxBytes;
    this.failure = failure;
  }

  /** Sets the connection and starts writing what is queued. */
  public void open(SocketChannel to) {
    synchronized (this) {
      channel = to;
    }
    wake();
  }

  /** Queues an item and starts writing; returns false, without queueing it, if closed or full. */
  public boolean put(Item item) {
    boolean taken = add(item);
    if (taken) {
      wake();
    }
    return taken;
  }

  /**
   * Queues an item without writing, for a caller that holds a lock which must not be held during a write; the item
   * waits until {@link #send}. Returns false, without queueing it, if closed or full.
   */
  public synchronized boolean add(Item item) {
    if (closed || bytes + item.size() > maxBytes && bytes > 0) {
      return false;
    }
    items.addLast(item);
    bytes += item.size();
    return true;
  }

  /** Starts writing what was added. */
  public void send() {
    wake();
  }

  /** Reports that the peer has read all bytes up to this total, as passed to {@link Item#written}. */
  public synchronized void readUpTo(long count) {
    read = Math.max(read, count);
  }

  /** Queues bytes that are written in any case. */
  public boolean put(byte[] message) {
    return put(new Item() {
      @Override
      public byte[] take() {
        return message;
      }

      @Override
      public int size() {
        return message.length;
      }
    });
  }

  /** Rejects further items and drops the queued ones. */
  public synchronized void close() {
    closed = true;
    items.clear();
  }

  /**
   * Rejects further items and shuts down the output once all is written. With an empty queue the shutdown happens
   * before this method returns, so that the peer sends as little as possible that crosses it on the wire.
   */
  public void finish() {
    boolean now;
    synchronized (this) {
      closeWhenEmpty = true;
      now = !writerActive && !closed && channel != null && items.isEmpty();
      closed |= now;
    }
    if (!now) {
      wakePool();
      return;
    }
    try {
      channel.shutdownOutput();
    } catch (IOException e) {
      // The connection has ended; its reader gets the error too.
    }
  }

  /** Whether nothing is queued or being written. */
  public synchronized boolean idle() {
    return items.isEmpty() && !writerActive;
  }

  /**
   * Runs a task once nothing is queued or being written: immediately, or on the writing thread. A later task replaces
   * an earlier one.
   */
  public void whenIdle(Runnable task) {
    synchronized (this) {
      if (!items.isEmpty() || writerActive) {
        whenIdle = task;
        return;
      }
    }
    task.run();
  }

  /** When the current write began ({@link Clock#micros()}); 0 if there is none. */
  public long writingSince() {
    return writingSince;
  }

  private void wake() {
    boolean onCallerThread;
    synchronized (this) {
      if (!hasWork()) {
        return;
      }
      writerActive = true;
      onCallerThread = hasRoomFor(bytes);
    }
    if (onCallerThread) {
      write(true);
    } else {
      pool.execute(writing);
    }
  }

  /** Starts writing on a thread of the pool, even if a write would not block. */
  private void wakePool() {
    synchronized (this) {
      if (!hasWork()) {
        return;
      }
      writerActive = true;
    }
    pool.execute(writing);
  }

  /** Whether a thread has to start writing; the lock is held. */
  private boolean hasWork() {
    return !writerActive && channel != null && !closed && (!items.isEmpty() || closeWhenEmpty);
  }

  /** Whether this many more bytes can be written without waiting for the peer; the lock is held. */
  private boolean hasRoomFor(int more) {
    return written - read + more <= MAX_UNREAD_BYTES;
  }

  /** Removes the items of the next write; the lock is held. */
  private ArrayDeque<Item> takeItems() {
    ArrayDeque<Item> taken = new ArrayDeque<>();
    int gathered = 0;
    while (!items.isEmpty()
        && (gathered == 0 || gathered + items.peekFirst().size() <= MAX_WRITE_BYTES)) {
      Item item = items.pollFirst();
      gathered += item.size();
      bytes -= item.size();
      taken.addLast(item);
    }
    return taken;
  }

  /**
   * Writes until the queue is empty.
   *
   * @param onCallerThread true on a thread that must not block: a thread of the pool continues if a write might block
   */
  private void write(boolean onCallerThread) {
    while (true) {
      ArrayDeque<Item> now;
      boolean last = false;
      Runnable idle = null;
      synchronized (this) {
        if (onCallerThread && !hasRoomFor(bytes)) {
          break;
        }
        now = takeItems();
        if (now.isEmpty()) {
          writerActive = false;
          last = closeWhenEmpty && !closed;
          closed |= closeWhenEmpty;
          idle = whenIdle;
          whenIdle = null;
        }
      }
      try {
        if (last) {
          channel.shutdownOutput();
        }
        if (idle != null) {
          idle.run();
        }
        if (now.isEmpty()) {
          return;
        }
        write(now);
      } catch (IOException e) {
        fail(e);
        return;
      } catch (RuntimeException | Error e) {
        fail(new IOException("writing failed", e));
        return;
      }
    }
    pool.execute(writing);
  }

  private void write(ArrayDeque<Item> now) throws IOException {
    ArrayDeque<byte[]> parts = partsOf(now);
    ByteBuffer out = gather(parts);
    long upTo;
    synchronized (this) {
      upTo = written;
      written += out.remaining();
    }
    writingSince = Clock.micros();
    // In slices: the JDK copies what is written to a buffer outside the heap, one for each
    // thread, as large as the thread's largest write.
    int end = out.limit();
    while (out.position() < end) {
      out.limit(Math.min(end, out.position() + MAX_WRITE_BYTES));
      channel.write(out);
    }
    writingSince = 0;
    long at = Clock.micros();
    for (Item item : now) {
      upTo += parts.pollFirst().length;
      item.written(at, upTo);
    }
  }

  /** The bytes of each item; items that have nothing to write any more are removed. */
  private static ArrayDeque<byte[]> partsOf(ArrayDeque<Item> items) {
    ArrayDeque<byte[]> parts = new ArrayDeque<>();
    for (Iterator<Item> it = items.iterator(); it.hasNext(); ) {
      byte[] part = it.next().take();
      if (part == null) {
        it.remove();
      } else {
        parts.addLast(part);
      }
    }
    return parts;
  }

  private static ByteBuffer gather(ArrayDeque<byte[]> parts) {
    if (parts.size() == 1) {
      return ByteBuffer.wrap(parts.peekFirst());
    }
    int length = 0;
    for (byte[] part : parts) {
      length += part.length;
    }
    ByteBuffer out = ByteBuffer.allocate(length);
    parts.forEach(out::put);
    return out.flip();
  }

  private void fail(IOException cause) {
    synchronized (this) {
      closed = true;
      writerActive = false;
      items.clear();
    }
    writingSince = 0;
    failure.failed(cause);
  }
}
