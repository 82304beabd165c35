package gorseladder.runtime;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketOption;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousCloseException;
import java.nio.channels.ClosedByInterruptException;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.SelectorProvider;
import java.util.ArrayDeque;
import java.util.Set;

/**
 * A blocking connection whose other end is code in this process: written bytes are passed to a {@link Peer}, and bytes
 * that the peer delivers are read. It has no descriptor and no address. One thread reads and one writes;
 * {@link #deliver} and {@link #close} are thread safe.
 */
public final class InMemoryChannel extends SocketChannel {
  /** The other end. Called on the writing thread, in the order of the writes; must not block. */
  public interface Peer {
    /** Receives the bytes of a write. */
    void received(InMemoryChannel channel, byte[] bytes);
  }

  private final Peer peer;
  private final Object lock = new Object();
  private final ArrayDeque<byte[]> delivered = new ArrayDeque<>();
  private final MemorySocket socket = new MemorySocket();
  /** Bytes of the first array that were already read. */
  private int consumed;

  private int unread;
  private boolean closed;

  /** Creates a connected channel. */
  public InMemoryChannel(Peer peer) {
    super(SelectorProvider.provider());
    this.peer = peer;
  }

  /** Makes bytes available to the reader of this channel. */
  public void deliver(byte[] bytes) {
    synchronized (lock) {
      delivered.addLast(bytes);
      unread += bytes.length;
      lock.notifyAll();
    }
  }

  @Override
  public int read(ByteBuffer into) throws IOException {
    try {
      return awaitBytes(into);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      // Without the lock: closing takes this class's lock after the lock of the superclass.
      close();
      throw new ClosedByInterruptException();
    }
  }

  private int awaitBytes(ByteBuffer into) throws InterruptedException, AsynchronousCloseException {
    synchronized (lock) {
      while (unread == 0 && !closed) {
        lock.wait();
      }
      if (closed) {
        throw new AsynchronousCloseException();
      }
      return take(into);
    }
  }

  /** Moves delivered bytes to the buffer as far as they fit; the lock is held. */
  private int take(ByteBuffer into) {
    int before = into.position();
    while (into.hasRemaining() && !delivered.isEmpty()) {
      byte[] first = delivered.peekFirst();
      int count = Math.min(into.remaining(), first.length - consumed);
      into.put(first, consumed, count);
      consumed += count;
      if (consumed == first.length) {
        delivered.removeFirst();
        consumed = 0;
      }
    }
    int count = into.position() - before;
    unread -= count;
    return count;
  }

  @Override
  public int write(ByteBuffer from) throws IOException {
    if (!isOpen()) {
      throw new AsynchronousCloseException();
    }
    byte[] bytes = new byte[from.remaining()];
    from.get(bytes);
    peer.received(this, bytes);
    return bytes.length;
  }

  @Override
  protected void implCloseSelectableChannel() {
    synchronized (lock) {
      closed = true;
      lock.notifyAll();
    }
  }

  @Override
  public Socket socket() {
    return socket;
  }

  /** The part of a socket that blocking code uses. */
  private final class MemorySocket extends Socket {
    @Override
    public void connect(SocketAddress to, int millis) {
      // The channel is connected from the start.
    }

    @Override
    public void setTcpNoDelay(boolean on) {
      // Writes are passed on without delay.
    }

    @Override
    public InputStream getInputStream() {
      return new InputStream() {
        @Override
        public int read() {
          throw new UnsupportedOperationException("read from the channel");
        }

        @Override
        public int available() {
          synchronized (lock) {
            return unread;
          }
        }
      };
    }
  }

  @Override
  public boolean isConnected() {
    return isOpen();
  }

  @Override
  public boolean isConnectionPending() {
    return false;
  }

  @Override
  public boolean connect(SocketAddress to) {
    return true;
  }

  @Override
  public boolean finishConnect() {
    return true;
  }

  @Override
  public <T> SocketChannel setOption(SocketOption<T> name, T value) {
    return this;
  }

  @Override
  public <T> T getOption(SocketOption<T> name) {
    return null;
  }

  @Override
  public Set<SocketOption<?>> supportedOptions() {
    return Set.of();
  }

  @Override
  public SocketChannel shutdownInput() {
    return this;
  }

  @Override
  public SocketChannel shutdownOutput() {
    return this;
  }

  @Override
  public SocketAddress getRemoteAddress() {
    return null;
  }

  @Override
  public SocketAddress getLocalAddress() {
    return null;
  }

  @Override
  public SocketChannel bind(SocketAddress local) {
    throw new UnsupportedOperationException("no address");
  }

  @Override
  public long read(ByteBuffer[] into, int from, int length) {
    throw new UnsupportedOperationException("one buffer at a time");
  }

  @Override
  public long write(ByteBuffer[] from, int first, int length) {
    throw new UnsupportedOperationException("one buffer at a time");
  }

  @Override
  protected void implConfigureBlocking(boolean block) {
    if (!block) {
      throw new UnsupportedOperationException("blocking only");
    }
  }
}
