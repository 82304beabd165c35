package gorseladder.runtime;

/**
 * The program that {@link WaitingThreadTest} debugs: its main thread hands something to a thread that waits, again and
 * again, each time soon after that thread began to wait.
 */
final class HeldProducer {
  /** So long, in microseconds, the other thread waits at the most; set by the debugger. */
  static volatile long patience = 60_000_000;

  /** What the other thread got so far. */
  private static volatile int got;

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
      waiting = Threads.start("waiting", 256 << 10, HeldProducer::takeOn);
    }
    for (int given = 0; ; given++) {
      awaitTheOther(given);
      if (given < WARM_UP_ROUNDS) {
        handOver();
      } else {
        held();
      }
    }
  }

  /** The debugger stops here, and in what is called from here. */
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

  private static void takeOn() {
    try {
      while (true) {
        if (MAILBOX.take(patience * 1_000) != null) {
          got++;
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void due() {
    got++;
    watchdog.after(patience, () -> {});
  }

  /** Until the other thread got all that was given, and waits. */
  private static void awaitTheOther(int given) throws InterruptedException {
    while (waiting == null || got < given || waiting.getState() != Thread.State.TIMED_WAITING) {
      Thread.sleep(0, 100_000);
    }
  }
}
