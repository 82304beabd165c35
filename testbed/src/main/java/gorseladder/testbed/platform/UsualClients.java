package gorseladder.testbed.platform;

import gorseladder.runtime.Clock;
import gorseladder.testbed.LagMeter;
import gorseladder.testbed.platform.FastCgiClient.Answer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients that send one sound request after the other, each on a connection of its own, and judge the answers: what the
 * other clients of a dispatcher must not spoil. Thread-safe.
 */
public final class UsualClients implements AutoCloseable {
  private static final long TIMEOUT_MILLIS = 1_500;
  /** A final answer may come half a second after its time, and 50 ms later on sockets. */
  private static final long MAX_LATE_MILLIS = 550;

  /** A request that crosses the end of its connection within this time is sent again, once, on a new connection. */
  private static final long CROSSING_MILLIS = 50;

  private static final String FUNCTION = "00000000000000ff";
  private static final int SERVED = 200;

  private final InetSocketAddress dispatcher;
  private final LagMeter lag = new LagMeter();
  private final List<Thread> threads = new ArrayList<>();
  private final AtomicLong ids = new AtomicLong(1L << 40);
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private volatile String firstLost = "none";
  private volatile boolean stopping;

  /** Starts clients that send a request every {@code pauseMillis}. */
  public UsualClients(InetSocketAddress dispatcher, int clients, int pauseMillis) {
    this.dispatcher = dispatcher;
    for (int i = 0; i < clients; i++) {
      Thread thread = new Thread(() -> run(pauseMillis), "usual-client");
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
  }

  private void run(int pauseMillis) {
    boolean repeats = false;
    while (!stopping || repeats) {
      try (FastCgiClient client = new FastCgiClient(dispatcher)) {
        Outcome outcome = Outcome.ANSWERED;
        for (int i = 1; (!stopping || repeats) && outcome == Outcome.ANSWERED; i++) {
          outcome = call(client, i, repeats);
          repeats = outcome == Outcome.CROSSED;
          Thread.sleep(repeats ? 0 : pauseMillis);
        }
      } catch (IOException e) {
        recordLost(e.toString());
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** How a request on a connection ended. */
  private enum Outcome {
    ANSWERED,
    /** It crossed the end of its connection and is to be sent again. */
    CROSSED,
    LOST
  }

  private Outcome call(FastCgiClient client, int number, boolean repeated)
      throws IOException, InterruptedException {
    Map<String, String> params = FastCgiClient.params(
        "safe", String.format("%016x", ids.incrementAndGet()), FUNCTION, TIMEOUT_MILLIS);
    sent.addAndGet(repeated ? 0 : 1);
    long sentAt = System.nanoTime();
    boolean written = send(client, number, params);
    Answer answer = written ? client.await(number, 4 * TIMEOUT_MILLIS) : null;
    if (answer == null) {
      long waitedMillis = (System.nanoTime() - sentAt) / 1_000_000;
      if (number > 1 && !repeated && waitedMillis <= CROSSING_MILLIS) {
        return Outcome.CROSSED;
      }
      recordLost("no answer within " + waitedMillis + " ms, request " + number);
      return Outcome.LOST;
    }
    long tookMillis = (answer.at() - sentAt) / 1_000_000;
    long lagMillis = lag.callLagAt(Clock.micros()) / 1_000;
    if (tookMillis > TIMEOUT_MILLIS + MAX_LATE_MILLIS + lagMillis) {
      recordLost("answered after " + tookMillis + " ms");
    }
    served.addAndGet(answer.status() == SERVED ? 1 : 0);
    return Outcome.ANSWERED;
  }

  /** Sends a request; returns false if the connection has ended. */
  private static boolean send(FastCgiClient client, int number, Map<String, String> params) {
    try {
      client.send(number, params, "body".getBytes(StandardCharsets.ISO_8859_1));
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private void recordLost(String why) {
    firstLost = lost.incrementAndGet() == 1 ? why : firstLost;
  }

  /** Requests sent so far. */
  public int sent() {
    return sent.get();
  }

  /** Requests served so far. */
  public int served() {
    return served.get();
  }

  /** Requests without an answer, or with one that came too late, so far. */
  public int lost() {
    return lost.get();
  }

  /** The counts so far, for messages. */
  public String describe() {
    return sent + " sent, " + served + " served, " + lost + " lost, the first one: " + firstLost;
  }

  /** Stops sending and waits for the answers that are due. */
  @Override
  public void close() {
    stopping = true;
    for (Thread thread : threads) {
      try {
        thread.join(8 * TIMEOUT_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    lag.close();
  }
}
