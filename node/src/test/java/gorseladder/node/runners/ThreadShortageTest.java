package gorseladder.node.runners;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Group;
import gorseladder.RouterApi.Limits;
import gorseladder.RouterApi.ListKind;
import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.RequestClass;
import gorseladder.RouterApi.Rules;
import gorseladder.RouterApi.Settings;
import gorseladder.RouterApi.WorkerEntry;
import gorseladder.RouterApi.WorkerListUpdate;
import gorseladder.core.Call.Facts;
import gorseladder.core.Core;
import gorseladder.node.NodeCall;
import gorseladder.runtime.ByteBudget;
import gorseladder.runtime.Clock;
import gorseladder.runtime.ThreadCache;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * The system has no thread left for a while (pthread_create fails with EAGAIN); Java reports it as an OutOfMemoryError.
 */
class ThreadShortageTest {
  private static final long SECOND = 1_000_000;
  private static final int DESCRIPTORS = 4;

  private static OutOfMemoryError shortage() {
    return new OutOfMemoryError("unable to create native thread");
  }

  /**
   * A connection whose thread could not be started is discarded: nothing is sent on it, and its descriptor is released.
   */
  @Test
  void aConnectionWithoutAThreadIsNotKept() throws Exception {
    AtomicInteger starts = new AtomicInteger();
    Semaphore descriptors = new Semaphore(DESCRIPTORS);
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      LinkSettings settings = new LinkSettings(
          SECOND,
          30 * SECOND,
          10,
          1_000,
          descriptors,
          SocketChannel::open,
          new ThreadCache("t", 0, task -> new Thread(task) {
            @Override
            public void start() {
              if (starts.getAndIncrement() == 0) {
                throw shortage();
              }
              super.start();
            }
          }),
          Runnable::run,
          (everOpen, why) -> {},
          () -> new AnswerMemory(new ByteBudget(1 << 20), () -> false),
          line -> {});
      Link link = new Link("r", (InetSocketAddress) server.getLocalSocketAddress(), settings);
      LoadOrder order = new LoadOrder(null, "l1", "r", "f", 1, 0);
      assertEquals(false, link.submit(order), "there was no connection to carry it");
      assertEquals(0, link.connectionCount());
      assertEquals(DESCRIPTORS, descriptors.availablePermits());
      link.close();
      assertEquals(DESCRIPTORS, descriptors.availablePermits());
    }
  }

  /** The core's thread continues if a command that it executes fails for lack of a thread. */
  @Test
  void theCoreOutlivesAShortageWhileItCarriesOut() throws Exception {
    RequestClass safe =
        new RequestClass("safe", Effect.SAFE, Group.ALL, 0, SECOND, 2 * SECOND, 1, 0.2, false);
    Settings settings = new Settings(
        0,
        1,
        "z",
        2_000,
        8 * SECOND,
        true,
        false,
        0,
        0.05,
        new Limits(4, false, true, false, false, true, true, SECOND, SECOND),
        new Rules(500_000, 0.2, SECOND, 2, SECOND, 0, 0, 0),
        List.of(safe),
        List.of());
    AtomicInteger sent = new AtomicInteger();
    CountDownLatch second = new CountDownLatch(2);
    Core<NodeCall> core = new Core<>(
        settings,
        1,
        new Core.Outbound<>() {
          @Override
          public void send(NodeCall call, int attempt, String worker, long timeout) {
            second.countDown();
            if (sent.getAndIncrement() == 0) {
              throw shortage();
            }
          }

          @Override
          public void cancel(NodeCall call, int attempt) {}

          @Override
          public void load(String worker, String function, int copies) {}

          @Override
          public void tellPeers(String text) {}

          @Override
          public void subscribeWorkerList() {}
        },
        100,
        false,
        null,
        512 << 10);
    core.workerListChanged(new WorkerListUpdate(
        ListKind.SAVED, List.of(new WorkerEntry("r", "z", 0, Phase.RUNNING, 1, 0))));
    for (int i = 1; i <= 2; i++) {
      long now = Clock.micros();
      Facts facts =
          new Facts("m" + i, safe, "", "f", new byte[0], 1, 4, 0, false, now, now + SECOND);
      core.offer(new NodeCall(i, facts, null, 0, (call, end) -> {}));
    }
    assertTrue(second.await(3, TimeUnit.SECONDS), "the second call never reached a runner");
    core.close();
  }
}
