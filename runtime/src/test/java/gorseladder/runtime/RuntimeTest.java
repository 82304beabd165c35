package gorseladder.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.wire.http1.HttpLimits;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class RuntimeTest {
  @Test
  void aMailboxBoundsOffersNeverNewsAndHandsNewsOutFirst() throws InterruptedException {
    Mailbox<String> mailbox = new Mailbox<>(2);
    assertTrue(mailbox.offer("call 1"));
    assertTrue(mailbox.offer("call 2"));
    assertFalse(mailbox.offer("call 3"));
    for (int i = 0; i < 100; i++) {
      mailbox.put("news " + i);
    }
    assertEquals(102, mailbox.size());
    for (int i = 0; i < 100; i++) {
      assertEquals("news " + i, mailbox.take(0));
    }
    assertEquals("call 1", mailbox.take(0));
    assertTrue(mailbox.offer("call 3"));
    assertEquals("call 2", mailbox.take(0));
    assertEquals("call 3", mailbox.take(0));
    assertNull(mailbox.take(1_000));
  }

  @Test
  void nothingThatWasTakenByAMailboxIsLostBetweenThreads() throws InterruptedException {
    Mailbox<Integer> mailbox = new Mailbox<>(16);
    Set<Integer> got = ConcurrentHashMap.newKeySet();
    AtomicInteger admitted = new AtomicInteger();
    CountDownLatch done = new CountDownLatch(8);
    for (int t = 0; t < 8; t++) {
      int from = t * 10_000;
      Threads.start("putter", 128 << 10, () -> {
        for (int i = from; i < from + 10_000; i++) {
          if (i % 2 == 0) {
            mailbox.put(i);
            admitted.incrementAndGet();
          } else if (mailbox.offer(i)) {
            admitted.incrementAndGet();
          }
        }
        done.countDown();
      });
    }
    while (done.getCount() > 0 || mailbox.size() > 0) {
      Integer next = mailbox.take(1_000_000);
      assertTrue(next == null || got.add(next), "twice");
    }
    assertEquals(admitted.get(), got.size());
  }

  @Test
  void aWatchdogRunsWhatIsNotCancelledInItsOrder() throws InterruptedException {
    try (Watchdog watchdog = new Watchdog("watchdog", 128 << 10)) {
      CountDownLatch ran = new CountDownLatch(2);
      StringBuffer order = new StringBuffer();
      watchdog.after(60_000, () -> {
        order.append("b");
        ran.countDown();
      });
      Watchdog.Timer never = watchdog.after(20_000, () -> order.append("never"));
      watchdog.after(1_000, () -> {
        order.append("a");
        ran.countDown();
      });
      assertTrue(never.cancel());
      assertFalse(never.cancel());
      assertTrue(ran.await(10, TimeUnit.SECONDS));
      assertEquals("ab", order.toString());
    }
  }

  @Test
  void aConnectionTellsWhenItsPeerLeftAndWhenTimeIsOver() throws IOException {
    try (ServerSocketChannel server = ServerSocketChannel.open()) {
      server.bind(new InetSocketAddress("127.0.0.1", 0));
      HttpConnection client = HttpConnection.open(
          (InetSocketAddress) server.getLocalAddress(), 1_000, HttpLimits.INTERNAL);
      HttpConnection peer = new HttpConnection(server.accept(), HttpLimits.INTERNAL);
      assertFalse(client.peerGone());
      assertThrows(
          SocketTimeoutException.class, () -> client.awaitMessage(Clock.micros() + 20_000));
      assertThrows(SocketTimeoutException.class, () -> client.awaitMessage(Clock.micros() - 1));
      peer.write(new byte[] {'x'});
      assertTrue(client.awaitMessage(Clock.micros() + 5_000_000));
      assertTrue(client.hasBufferedBytes());
      assertFalse(client.peerGone(), "bytes that wait are not a leaving");
      assertEquals(1, client.readBytes());
      peer.abort();
      client.close();
      assertTrue(peer.peerGone());
    }
  }

  @Test
  void aClosedServerGivesItsAddressBack() throws IOException {
    HttpServer first =
        HttpServer.listen(new InetSocketAddress("127.0.0.1", 0), "s", 128 << 10, c -> {});
    InetSocketAddress at = first.address();
    for (int i = 0; i < 20; i++) {
      assertThrows(IOException.class, () -> HttpServer.listen(at, "t", 128 << 10, c -> {}));
      first.close();
      first = HttpServer.listen(at, "s", 128 << 10, c -> {});
    }
    first.close();
  }

  /** Connections in the backlog are served even if the listener closes before they are accepted. */
  @Test
  void aListenerThatClosesTakesItsBacklogAlong() throws Exception {
    CountDownLatch first = new CountDownLatch(1);
    CountDownLatch goOn = new CountDownLatch(1);
    AtomicInteger served = new AtomicInteger();
    HttpServer server = HttpServer.listen(
        new InetSocketAddress("127.0.0.1", 0), "s", 128 << 10, new HttpServer.Handler() {
          @Override
          public boolean admit(SocketChannel connection, long waitedSince) {
            first.countDown();
            try {
              goOn.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
            return true;
          }

          @Override
          public void serve(SocketChannel connection) throws IOException {
            served.incrementAndGet();
            connection.write(ByteBuffer.wrap(new byte[] {7}));
          }
        });
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      clients.add(new Socket(server.address().getAddress(), server.address().getPort()));
    }
    first.await();
    Thread closing = new Thread(server::stopAccepting);
    closing.start();
    while (closing.getState() != Thread.State.TIMED_WAITING) {
      Thread.onSpinWait();
    }
    goOn.countDown();
    for (Socket client : clients) {
      assertEquals(7, client.getInputStream().read());
      client.close();
    }
    closing.join();
    assertEquals(20, served.get());
    server.close();
  }

  /** The threads of timers and writers are shared: an error in one task must not end the thread for the others. */
  @Test
  void aTaskThatFailsEndsNoThread() throws Exception {
    CountDownLatch after = new CountDownLatch(8);
    Watchdog watchdog = new Watchdog("w", 128 << 10);
    Writers writers = new Writers(1, 128 << 10);
    for (int i = 0; i < 4; i++) {
      Runnable fails = () -> {
        throw new IllegalStateException("test");
      };
      watchdog.after(1_000, fails);
      watchdog.after(1_000, after::countDown);
      writers.execute(fails);
      writers.execute(after::countDown);
    }
    assertTrue(after.await(5, TimeUnit.SECONDS));
    watchdog.close();
    writers.close();
  }

  /** A blocked writer keeps only its own task: the tasks that wait behind it go to an idle writer. */
  @Test
  void tasksBehindAHeldUpWriterGoToAFreeOne() throws Exception {
    Writers writers = new Writers(3, 128 << 10);
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch done = new CountDownLatch(1);
    Runnable blocks = () -> {
      try {
        held.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    };
    // Two threads, both idle again.
    CountDownLatch started = new CountDownLatch(2);
    for (int i = 0; i < 2; i++) {
      writers.execute(() -> {
        started.countDown();
        try {
          started.await();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      });
    }
    started.await();
    writers.releaseHeld();
    writers.execute(blocks);
    writers.execute(done::countDown);
    writers.releaseHeld();
    for (int i = 0; i < 200 && done.getCount() > 0; i++) {
      Thread.sleep(10);
      writers.growIfBlocked();
    }
    assertEquals(0, done.getCount());
    held.countDown();
    writers.close();
  }
}
