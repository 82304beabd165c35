package gorseladder.runtime;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.concurrent.Executor;

/**
 * What is to be written on one connection. Any thread puts an item and goes on at once. It writes the item itself where
 * that cannot wait: as long as the peer has left little unread, the system has room for it. Else a thread of a pool
 * writes what has gathered, in one go. A peer that stops reading holds up nobody but itself, and only until its bound
 * is reached.
 *
 * <p>Writing at once guards against answers that are ready and wait for another thread's turn: with little processor
 * each hand-over takes as long as all threads that want it. It could harm by one call of the system for each item where
 * the pool writes several in one.
 *
 * <p>Any thread; the callbacks come without any lock of this class held.
 */
public final class Outbox {
  private static final int MAX_WRITE_BYTES = 65_536;
  /** Bytes that the system takes without waiting: half of the least send buffer that Linux gives a connection. */
  private static final int MAX_UNREAD_BYTES = 8_192;

  /** Something to write. */
  public interface Item {
    /** The bytes, asked for just before they are written; null where nothing is to be written any more. */
    byte[] take();

    /** About how many bytes; held against the bound. */
    int size();

    /**
     * The bytes were handed to the system whole; only where there were any.
     *
     * @param at when, in {@link Clock#micros()}
     * @param upTo bytes written on this connection in all, with the last of these
     */
    default void written(long at, long upTo) {}
  }

  /** Hears that the connection is of no further use; may come more than once. */
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
  /** Bytes handed to the system, or about to be, in all. */
  private long written;
  /** Of these, so many the peer has read for certain. */
  private long read;

  private boolean busy;
  private boolean closed;
  private boolean closeWhenEmpty;
  private Runnable whenIdle;
  private volatile long writingSince;

  /** An outbox that holds about so many bytes; nothing is written before {@link #open}. */
  public Outbox(Executor pool, int maxBytes, Failure failure) {
    this.pool = pool;
    this.maxBytes = maxBytes;
    this.failure = failure;
  }

  /** Names the connection and lets what has gathered go. */
  public void open(SocketChannel to) {
    synchronized (this) {
      channel = to;
    }
    wake();
  }

  /** Puts an item; false where the connection is closed or the bound is reached, and then it is not taken. */
  public boolean put(Item item) {
    boolean taken = add(item);
    if (taken) {
      wake();
    }
    return taken;
  }

  /**
   * The same for a caller that holds a lock which must not be held during a write: the item waits until {@link #send}.
   */
  public synchronized boolean add(Item item) {
    if (closed || bytes + item.size() > maxBytes && bytes > 0) {
      return false;
    }
    items.addLast(item);
    bytes += item.size();
    return true;
  }

  /** Lets go what was added. */
  public void send() {
    wake();
  }

  /** The peer has read all bytes up to that count, as {@link Item#written} was told it. */
  public synchronized void readUpTo(long count) {
    read = Math.max(read, count);
  }

  /** Puts bytes that nothing can take back. */
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

  /** Takes nothing more; what has gathered is dropped. */
  public synchronized void close() {
    closed = true;
    items.clear();
  }

  /**
   * Takes nothing more; once all is written the other side is told that nothing comes after it. Where nothing waits
   * that is done before this returns: what crosses the end on the wire is little only if the end leaves at once.
   */
  public void finish() {
    boolean now;
    synchronized (this) {
      closeWhenEmpty = true;
      now = !busy && !closed && channel != null && items.isEmpty();
      closed |= now;
    }
    if (!now) {
      wakePool();
      return;
    }
    try {
      channel.shutdownOutput();
    } catch (IOException e) {
      // It has ended, and its reader is told too.
    }
  }

  /** True where nothing waits or is being written. */
  public synchronized boolean idle() {
    return items.isEmpty() && !busy;
  }

  /**
   * Runs a task once nothing waits or is being written: at once, or by the thread that writes. The last one told
   * counts.
   */
  public void whenIdle(Runnable task) {
    synchronized (this) {
      if (!items.isEmpty() || busy) {
        whenIdle = task;
        return;
      }
    }
    task.run();
  }

  /** Since when the present write has been under way, 0 where there is none; {@link Clock#micros()}. */
  public long writingSince() {
    return writingSince;
  }

  private void wake() {
    boolean onCallerThread;
    synchronized (this) {
      if (!hasWork()) {
        return;
      }
      busy = true;
      onCallerThread = hasRoomFor(bytes);
    }
    if (onCallerThread) {
      write(true);
    } else {
      pool.execute(writing);
    }
  }

  /** Wakes a thread of the pool, whatever there is room for. */
  private void wakePool() {
    synchronized (this) {
      if (!hasWork()) {
        return;
      }
      busy = true;
    }
    pool.execute(writing);
  }

  /** Whether a thread has to be found that writes; the lock is held. */
  private boolean hasWork() {
    return !busy && channel != null && !closed && (!items.isEmpty() || closeWhenEmpty);
  }

  /** Whether the system takes so many bytes more without waiting for the peer; the lock is held. */
  private boolean hasRoomFor(int more) {
    return written - read + more <= MAX_UNREAD_BYTES;
  }

  /** The items of one go; the lock is held. */
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
   * Writes until nothing waits.
   *
   * @param atOnce on a thread that must not wait for the peer: a thread of the pool goes on where it might
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
          busy = false;
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
    // In slices: the system's copy of what is written lies outside the heap, one a thread, as
    // large as the largest write.
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

  /** The bytes of each item; those that have nothing to write any more are taken out. */
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
      busy = false;
      items.clear();
    }
    writingSince = 0;
    failure.failed(cause);
  }
}
