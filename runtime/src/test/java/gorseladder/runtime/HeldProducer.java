package gorseladder.runtime;

/**
 * The program that {@link WaitingThreadTest} debugs. Its main thread repeatedly hands a message or a timer to a waiting
 * thread, each time just after that thread began to wait.
 */
final class HeldProducer {
  /** Timeout of the other thread's waits in microseconds; set by the debugger under this name. */
  static volatile long patience = 60_000_000;

  /** Number of hand-overs that the other thread received. */
  private static volatile int received;

  private static final int WARM_UP_ROUNDS = 100;
  private static final Mailbox<String> MAILBOX = new Mailbox<>(1);
  private static Watchdog watchdog;
  private static volatile Thread waiting;

  private HeldProducer() {}

  /** Arguments: {@code mailbox} or {@code watchdog}. */
  public static void main(String[] args) throws InterruptedException {
    if (args[0].equals("watchdog")) {
      watchdog = new Watchdog("waiting", 256 << 10);
      watchdog.after(0, () -> waiting = Thread.currentThread());
    } else {
      waiting = Threads.start("waiting", 256 << 10, HeldProducer::takeForever);
    }
    for (int handedOver = 0; ; handedOver++) {
      awaitWaitingThread(handedOver);
      if (handedOver < WARM_UP_ROUNDS) {
        handOver();
      } else {
        held();
      }
    }
  }

  /** The debugger stops in this method, found by its name, and in the methods that it calls. */
  private static void held() {
    handOver();
  }

  private static void handOver() {
    if (watchdog == null) {
      MAILBOX.put("");
    } else {
      watchdog.after(1_000, HeldProducer::due);
    }
  }

  private static void takeForever() {
    try {
      while (true) {
        if (MAILBOX.take(patience * 1_000) != null) {
          received++;
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void due() {
    received++;
    watchdog.after(patience, () -> {});
  }

  /** Waits until the other thread has received all hand-overs and waits again. */
  private static void awaitWaitingThread(int handedOver) throws InterruptedException {
    while (waiting == null
        || received < handedOver
        || waiting.getState() != Thread.State.TIMED_WAITING) {
      Thread.sleep(0, 100_000);
    }
  }
}
