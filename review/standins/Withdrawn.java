package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Hundreds of requests are sent at once and withdrawn at once: their clients close. The check: no attempt of a call
 * begins at a runner more than 0.1 s after its client has closed, with the slack of 50 ms that the rules on sockets have
 * and with what this process itself was late.
 */
final class Withdrawn extends Case {
  private static final int RUNNERS = 8;
  private static final int ROUNDS = 3;
  private static final int REQUESTS = 400;
  private static final int STAY_MILLIS = 20;
  private static final int LIMIT_MILLIS = 100 + 50;
  private static final int WORK_MILLIS = 60;

  private final Map<String, Double> closedAt = new ConcurrentHashMap<>();
  private final AtomicInteger begun = new AtomicInteger();
  private final AtomicInteger late = new AtomicInteger();
  private volatile double worst;

  public static void main(String[] args) {
    run(new Withdrawn(), args);
  }

  @Override
  boolean play() throws Exception {
    WorkerList list = new WorkerList(record);
    for (int i = 0; i < RUNNERS; i++) {
      list.set(new Runner("r" + i, record, this::work).port(), "running");
    }
    Edge edge = Edge.start(folder, Settings.edge(folder, list, ""), record);
    Thread.sleep(500);
    for (int i = 0; i < 50; i++) {
      Sender warm = new Sender(edge.port());
      warm.send(Sender.request("msg_before_" + i, "certificate.issued", "certificates"));
      require(warm.receive(5_000).status() == 200, "a call before was not served");
      warm.leave();
    }
    Threads.start(this::watchOwnLag);
    begun.set(0);
    for (int round = 0; round < ROUNDS; round++) {
      round(edge, round);
      Thread.sleep(4_000);
    }
    edge.kill();
    record.line(
        "%d attempts began after requests were sent, %d of them more than %d ms after the client closed, the latest %.0f"
            + " ms; this process itself was late by %.0f ms at most",
        begun.get(), late.get(), LIMIT_MILLIS, worst, ownLag);
    require(begun.get() > 0, "no attempt began");
    return late.get() == 0;
  }

  private void round(Edge edge, int round) throws Exception {
    List<Sender> senders = new ArrayList<>();
    List<byte[]> requests = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      senders.add(new Sender(edge.port()));
      senders.get(i).connect();
      requests.add(Sender.request(id(round, i), "certificate.issued", "certificates"));
    }
    double start = record.now();
    for (int i = 0; i < REQUESTS; i++) {
      senders.get(i).send(requests.get(i));
    }
    record.line("%d requests were sent within %.0f ms", REQUESTS, record.now() - start);
    // With no trouble the clients stay for longer than the class's deadline lets a call take.
    Threads.sleep(trouble ? STAY_MILLIS : 11_000);
    start = record.now();
    for (int i = 0; i < REQUESTS; i++) {
      senders.get(i).leave();
      closedAt.put(id(round, i), record.now());
    }
    record.line("all clients closed within %.0f ms", record.now() - start);
  }

  private static String id(int round, int i) {
    return "msg_" + round + "_" + i;
  }

  private void work(Runner runner, Runner.Call call, byte[] answer, java.net.Socket socket, java.io.OutputStream out)
      throws Exception {
    begun.incrementAndGet();
    Double closed = closedAt.get(call.id());
    double after = closed == null ? 0 : call.arrivedAt() - closed;
    if (after > LIMIT_MILLIS + ownLag) {
      late.incrementAndGet();
      worst = Math.max(worst, after);
      record.line("an attempt of call %s BEGINS %.0f ms after its client closed", call.id(), after);
    }
    Threads.sleep(WORK_MILLIS);
    out.write(answer);
  }
}
