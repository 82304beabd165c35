package gorseladder.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.wire.http1.HttpLimits;
import java.io.InputStream;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Guards against memory outside the heap that grows with what is written: the system's copy of a write is as long as
 * the write and stays with the thread that made it.
 */
class LongWriteTest {
  private static final int MESSAGE_BYTES = 8 << 20;
  /** A small part of the message; other threads of the test's process may hold some of it. */
  private static final long MOST_BYTES = MESSAGE_BYTES / 16;

  private static long outsideTheHeap() {
    return ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
        .filter(pool -> pool.getName().equals("direct"))
        .mapToLong(BufferPoolMXBean::getMemoryUsed)
        .sum();
  }

  @Test
  void aLongMessageTakesLittleMemoryOutsideTheHeap() throws Exception {
    byte[] message = new byte[MESSAGE_BYTES];
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        HttpConnection connection = HttpConnection.open(
            (InetSocketAddress) server.getLocalSocketAddress(), 1_000, HttpLimits.INNER);
        Socket other = server.accept()) {
      CompletableFuture<Integer> read = CompletableFuture.supplyAsync(() -> count(other));
      long before = outsideTheHeap();
      int written = connection.writeAtOnce(message);
      connection.writeFrom(message, written);
      long taken = outsideTheHeap() - before;
      connection.close();
      assertEquals(MESSAGE_BYTES, read.get());
      assertTrue(taken <= MOST_BYTES, () -> taken + " bytes outside the heap");
    }
  }

  private static int count(Socket socket) {
    try {
      InputStream in = socket.getInputStream();
      int all = 0;
      byte[] buffer = new byte[65_536];
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        all += count;
      }
      return all;
    } catch (java.io.IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }
}
