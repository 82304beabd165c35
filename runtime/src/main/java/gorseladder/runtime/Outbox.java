package gorseladder.runtime;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.concurrent.Executor;

/**
 * What is to be written on one connection. Any thread puts an item and goes on at once; a thread of a pool writes what has
 * gathered, in one go. A peer that stops reading holds up nobody but itself, and only until its bound is reached.
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

  /** Takes nothing more; once all is written the other side is told that nothing comes after it. */
  public void finish() {
    synchronized (this) {
      closesWhenEmpty = true;
    }
    wake();
  }

  /** True where nothing waits or is being written. */
  public synchronized boolean idle() {
    return items.isEmpty() && !busy;
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
          if (!last) {
            return;
          }
        } else {
          last = false;
        }
      }
      try {
        if (last) {
          channel.shutdownOutput();
          return;
        }
        ByteBuffer out = gather(now);
        writingSince = Clock.micros();
        while (out.hasRemaining()) {
          channel.write(out);
        }
        writingSince = 0;
      } catch (IOException e) {
        fail(e);
        return;
      } catch (RuntimeException e) {
        fail(new IOException("writing failed", e));
        return;
      }
    }
  }

  private static ByteBuffer gather(ArrayDeque<Item> items) {
    if (items.size() == 1) {
      byte[] only = items.peekFirst().take();
      return ByteBuffer.wrap(only == null ? new byte[0] : only);
    }
    int length = 0;
    ArrayDeque<byte[]> parts = new ArrayDeque<>();
    for (Item item : items) {
      byte[] part = item.take();
      if (part != null) {
        parts.addLast(part);
        length += part.length;
      }
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
