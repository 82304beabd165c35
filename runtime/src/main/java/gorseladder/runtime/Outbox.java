package gorseladder.runtime;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.concurrent.Executor;

/**
 * What is to be written on one connection. Any thread puts an item and goes on at once; a thread of a pool writes what
 * has gathered, in one go. A peer that stops reading holds up nobody but itself, and only until its bound is reached.
 *
 * <p>Any thread; the callbacks come without any lock of this class held.
 */
public final class Outbox {
  private static final int ONE_GO = 65_536;

  /** Something to write. */
  public interface Item {
    /** The bytes, asked for just before they are written; null where nothing is to be written any more. */
    byte[] take();

    /** About how many bytes; held against the bound. */
    int size();

    /** The bytes were handed to the system whole; only where there were any. */
    default void written(long at) {}
  }

  /** Hears that the connection is of no further use; may come more than once. */
  public interface Failure {
    void failed(IOException cause);
  }

  private final Executor pool;
  private final int mostBytes;
  private final Failure failure;
  private final ArrayDeque<Item> items = new ArrayDeque<>();
  private final Runnable writing = this::write;
  private SocketChannel channel;
  private int bytes;
  private boolean busy;
  private boolean closed;
  private boolean closesWhenEmpty;
  private Runnable whenIdle;
  private volatile long writingSince;

  /** An outbox that holds about so many bytes; nothing is written before {@link #open}. */
  public Outbox(Executor pool, int mostBytes, Failure failure) {
    this.pool = pool;
    this.mostBytes = mostBytes;
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
    synchronized (this) {
      if (closed || bytes + item.size() > mostBytes && bytes > 0) {
        return false;
      }
      items.addLast(item);
      bytes += item.size();
    }
    wake();
    return true;
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
      closesWhenEmpty = true;
      now = !busy && !closed && channel != null && items.isEmpty();
      closed |= now;
    }
    if (!now) {
      wake();
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
    synchronized (this) {
      if (busy || channel == null || closed || items.isEmpty() && !closesWhenEmpty) {
        return;
      }
      busy = true;
    }
    pool.execute(writing);
  }

  private void write() {
    while (true) {
      ArrayDeque<Item> now = new ArrayDeque<>();
      boolean last;
      Runnable idle = null;
      synchronized (this) {
        int gathered = 0;
        while (!items.isEmpty()
            && (gathered == 0 || gathered + items.peekFirst().size() <= ONE_GO)) {
          Item item = items.pollFirst();
          gathered += item.size();
          bytes -= item.size();
          now.addLast(item);
        }
        if (now.isEmpty()) {
          busy = false;
          last = closesWhenEmpty && !closed;
          closed |= closesWhenEmpty;
          idle = whenIdle;
          whenIdle = null;
        } else {
          last = false;
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
        ByteBuffer out = gather(now);
        writingSince = Clock.micros();
        // In slices: the system's copy of what is written lies outside the heap, one a thread, as
        // large as the largest write.
        int end = out.limit();
        while (out.position() < end) {
          out.limit(Math.min(end, out.position() + ONE_GO));
          channel.write(out);
        }
        writingSince = 0;
        long at = Clock.micros();
        now.forEach(item -> item.written(at));
      } catch (IOException e) {
        fail(e);
        return;
      } catch (RuntimeException | Error e) {
        fail(new IOException("writing failed", e));
        return;
      }
    }
  }

  /** The bytes of all items; those that have nothing to write any more are taken out. */
  private static ByteBuffer gather(ArrayDeque<Item> items) {
    int length = 0;
    ArrayDeque<byte[]> parts = new ArrayDeque<>();
    for (Iterator<Item> it = items.iterator(); it.hasNext(); ) {
      byte[] part = it.next().take();
      if (part == null) {
        it.remove();
      } else {
        parts.addLast(part);
        length += part.length;
      }
    }
    if (parts.size() == 1) {
      return ByteBuffer.wrap(parts.peekFirst());
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
