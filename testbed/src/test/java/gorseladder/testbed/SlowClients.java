package gorseladder.testbed;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients that each announce a long request and send one byte of it a second. A client whose connection the edge closes
 * connects again with its next byte. One thread sends for all.
 */
final class SlowClients implements Closeable {
  private static final long BYTE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final InetSocketAddress edge;
  private final byte[] head;
  private final SocketChannel[] channels;
  private final AtomicLong sent = new AtomicLong();
  private final Thread thread;
  private volatile boolean closed;

  SlowClients(InetSocketAddress edge, int count, int bodyBytes) {
    this.edge = edge;
    this.channels = new SocketChannel[count];
    this.head = ("POST " + TestFleet.PATH + " HTTP/1.1\r\nHost: e\r\nwebhook-id: slow\r\n"
            + "webhook-timestamp: 1\r\nwebhook-signature: v1,AAAA\r\nContent-Length: " + bodyBytes
            + "\r\n\r\n")
        .getBytes(StandardCharsets.US_ASCII);
    this.thread = new Thread(this::send, "slow-clients");
    thread.setDaemon(true);
    thread.start();
  }

  private void send() {
    while (!closed) {
      long next = System.nanoTime() + BYTE_INTERVAL_NANOS;
      for (int i = 0; i < channels.length && !closed; i++) {
        sendTo(i);
      }
      sleepUntil(next);
    }
  }

  private void sendTo(int i) {
    try {
      if (channels[i] == null) {
        channels[i] = SocketChannel.open(edge);
        channels[i].configureBlocking(false);
        channels[i].write(ByteBuffer.wrap(head));
      } else if (channels[i].read(ByteBuffer.allocate(512)) != 0) {
        disconnect(i);
      } else {
        channels[i].write(ByteBuffer.wrap(new byte[1]));
      }
      sent.incrementAndGet();
    } catch (IOException e) {
      disconnect(i);
    }
  }

  private void disconnect(int i) {
    try {
      if (channels[i] != null) {
        channels[i].close();
      }
    } catch (IOException e) {
      // Closed by the other side.
    }
    channels[i] = null;
  }

  private static void sleepUntil(long nanos) {
    try {
      TimeUnit.NANOSECONDS.sleep(Math.max(0, nanos - System.nanoTime()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the number of writes so far, of headers and of single bytes. */
  long sent() {
    return sent.get();
  }

  @Override
  public void close() {
    closed = true;
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    for (int i = 0; i < channels.length; i++) {
      disconnect(i);
    }
  }
}
