package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Usual clients of a live dispatcher on one core, beside bad ones that send half requests at full speed. The check: a
 * usual client's request gets its final answer no later than half a second after its time, with the slack of 50 ms that
 * the rules on sockets have and with what this process itself was late.
 */
final class HalfRequests extends Case {
  private static final int RUNNERS = 8;
  private static final int WORK_MILLIS = 100;
  private static final int USUAL_CLIENTS = 20;
  private static final int PAUSE_MILLIS = 150;
  private static final int BAD_CLIENTS = 300;
  private static final int OPEN_REQUESTS = 32;
  private static final int BODY_BYTES = 15_000;
  private static final int GIVE_UP_MILLIS = 3_000;
  private static final int LIMIT_MILLIS = 500 + 50;
  private static final int CALM_MILLIS = 5_000;
  private static final int PLAY_MILLIS = 50_000;

  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger halves = new AtomicInteger();
  private volatile boolean stopping;

  public static void main(String[] args) {
    run(new HalfRequests(), args);
  }

  @Override
  boolean play() throws Exception {
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < RUNNERS; i++) {
      ports.add(new LineRunner("r" + i, record, this::work).port());
    }
    Dispatcher dispatcher = Dispatcher.start(folder, ports, Integer.getInteger("core"), record);
    Threads.start(this::watchOwnLag);
    List<Thread> usual = new ArrayList<>();
    for (int i = 0; i < USUAL_CLIENTS; i++) {
      int number = i;
      usual.add(Threads.start(() -> usualClient(dispatcher, number)));
    }
    Thread.sleep(CALM_MILLIS);
    record.line("%d requests of usual clients so far, %d served, %d lost", answered.get(), served.get(), lost.get());
    require(answered.get() > 100 && lost.get() == 0, "the calm before was not calm");
    if (trouble) {
      record.line("%d bad clients begin", BAD_CLIENTS);
      for (int i = 0; i < BAD_CLIENTS; i++) {
        int number = i;
        Threads.start(() -> badClient(dispatcher, number));
      }
    }
    Thread.sleep(PLAY_MILLIS);
    stopping = true;
    for (Thread client : usual) {
      client.join(15_000);
    }
    dispatcher.kill();
    record.line(
        "%d requests of usual clients were answered, %d of them served; %d requests were lost; %d half requests; this"
            + " process itself was late by %.0f ms at most",
        answered.get(), served.get(), lost.get(), halves.get(), ownLag);
    return lost.get() == 0;
  }

  private void work(LineRunner runner, LineRunner.Attempt attempt) throws Exception {
    Threads.sleep(WORK_MILLIS);
    if (!attempt.givenUp()) {
      attempt.answer("ok", "remark=up", "result of " + attempt.id());
    }
  }

  private void usualClient(Dispatcher dispatcher, int number) throws Exception {
    FastCgi front = new FastCgi(dispatcher.port());
    front.connect();
    for (int i = 0; !stopping; i++) {
      String id = String.format("%016x", number * 100_000L + i);
      // A try is given up after 50 to 100 % of the class's time.
      int timeout = GIVE_UP_MILLIS / 2 + (number * 37 + i * 101) % (GIVE_UP_MILLIS / 2);
      String requestClass = i % 3 == 0 ? "gesallbrev-utfarda" : "timlogg-las";
      double sentAt = record.now();
      String end;
      try {
        front.send(FastCgi.call(
            1, requestClass, "bygg-sektion", id, String.format("%016x", 160 + number % 6), timeout));
        end = front.receive(timeout + 10_000);
        answered.incrementAndGet();
      } catch (IOException e) {
        end = null;
        front = new FastCgi(dispatcher.port());
        front.connect();
      }
      double late = record.now() - sentAt - timeout;
      boolean inTime = end != null && late <= LIMIT_MILLIS + ownLag;
      record.line(
          "request %s of %s with %d ms: %s %.0f ms %s its time%s",
          id,
          requestClass,
          timeout,
          end == null ? "the connection ended with no answer" : end.split("\r\n")[0],
          Math.abs(late),
          late > 0 ? "after" : "before",
          inTime ? "" : ", LOST");
      lost.addAndGet(inTime ? 0 : 1);
      served.addAndGet(end != null && end.startsWith("Status: 200") ? 1 : 0);
      Thread.sleep(PAUSE_MILLIS);
    }
  }

  /** Opens 32 requests on a connection and ends none, reads what is sent to it, closes, and begins again. */
  private void badClient(Dispatcher dispatcher, int number) throws Exception {
    byte[][] requests = new byte[OPEN_REQUESTS][];
    for (int i = 0; i < OPEN_REQUESTS; i++) {
      byte[] whole = FastCgi.request(
          i + 1,
          "/svc/timlogg-las",
          Map.of(
              "HTTP_X_REQUEST_ID", String.format("bad%013x", number * 100 + i),
              "HTTP_X_TIMEOUT_MS", Integer.toString(GIVE_UP_MILLIS),
              "HTTP_X_TENANT", "bygg-sektion",
              "HTTP_X_OBJECT", "00000000000000a1",
              "HTTP_X_FACTS", "memory_mb:256;lanes:4"),
          new byte[BODY_BYTES]);
      // Without the empty record that ends the body.
      requests[i] = Arrays.copyOf(whole, whole.length - FastCgi.HEAD_BYTES);
    }
    while (!stopping) {
      FastCgi front = new FastCgi(dispatcher.port());
      try {
        front.connect();
        for (byte[] request : requests) {
          front.send(request);
          halves.incrementAndGet();
        }
        for (int i = 0; i < OPEN_REQUESTS; i++) {
          front.receive(6_000);
        }
      } catch (IOException e) {
        // Turned away: the same again.
      }
      front.leave();
      Thread.sleep(10);
    }
  }
}
