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
 * Guards against off-heap memory that grows with the length of a write: the JDK copies a write to a buffer of the same
 * length and keeps it for the writing thread.
 */
class LongWriteTest {
  private static final int MESSAGE_BYTES = 8 << 20;
  /** A small part of the message, since other threads of the test process may hold off-heap buffers too. */
  private static final long MAX_OFF_HEAP_BYTES = MESSAGE_BYTES / 16;

  private static long offHeapBytes() {
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
            (InetSocketAddress) server.getLocalSocketAddress(), 1_000, HttpLimits.INTERNAL);
        Socket other = server.accept()) {
      CompletableFuture<Integer> read = CompletableFuture.supplyAsync(() -> count(other));
      long before = offHeapBytes();
      int written = connection.writeAtOnce(message);
      connection.writeFrom(message, written);
      long taken = offHeapBytes() - before;
      connection.close();
      assertEquals(MESSAGE_BYTES, read.get());
      assertTrue(taken <= MAX_OFF_HEAP_BYTES, () -> taken + " bytes outside the heap");
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
