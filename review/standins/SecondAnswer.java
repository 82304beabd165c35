package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Safe calls through an edge. One in a hundred good answers of a runner is followed, 5 ms later, by a second copy of itself.
 * The check: a body with status 200 is the one that a runner gave for this call.
 */
final class SecondAnswer extends Case {
  private static final int RUNNERS = 4;
  private static final int SENDERS = 6;
  private static final int PLAY_MILLIS = 20_000;
  private static final int WORK_MILLIS = 60;
  private static final int COPY_AFTER_MILLIS = 5;
  private static final double COPY_SHARE = 0.01;

  private final Random random = new Random(1);
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger other = new AtomicInteger();
  private final AtomicInteger foreign = new AtomicInteger();

  public static void main(String[] args) {
    run(new SecondAnswer(), args);
  }

  private synchronized boolean draw() {
    return random.nextDouble() < COPY_SHARE;
  }

  @Override
  boolean play() throws Exception {
    WorkerList list = new WorkerList(record);
    for (int i = 0; i < RUNNERS; i++) {
      list.set(new Runner("r" + i, record, this::work).port(), "running");
    }
    Edge edge = Edge.start(folder, Settings.edge(folder, list, ""), record);
    Thread.sleep(500);
    List<Thread> senders = new ArrayList<>();
    for (int i = 0; i < SENDERS; i++) {
      int number = i;
      senders.add(Threads.start(() -> send(edge, number)));
    }
    for (Thread sender : senders) {
      sender.join();
    }
    edge.kill();
    record.line(
        "%d calls were served, %d ended otherwise; %d served calls got the result of another call",
        served.get(), other.get(), foreign.get());
    require(served.get() > 100, "too few calls were served");
    return foreign.get() == 0;
  }

  private void work(Runner runner, Runner.Call call, byte[] answer, java.net.Socket socket, java.io.OutputStream out)
      throws Exception {
    Threads.sleep(WORK_MILLIS);
    synchronized (out) {
      out.write(answer);
    }
    record.line("runner %s answers call %s", runner.name(), call.id());
    if (trouble && draw()) {
      Threads.start(() -> {
        Threads.sleep(COPY_AFTER_MILLIS);
        synchronized (out) {
          out.write(answer);
        }
        record.line("runner %s sends the answer of call %s a second time", runner.name(), call.id());
      });
    }
  }

  private void send(Edge edge, int number) throws Exception {
    Sender sender = new Sender(edge.port());
    for (int i = 0; record.now() < PLAY_MILLIS; i++) {
      String id = "msg_" + number + "_" + i;
      sender.send(Sender.request(id, "hours.read", "hours" + number % 3));
      Http answer = sender.receive(6_000);
      if (answer == null || answer.status() != 200) {
        other.incrementAndGet();
        record.line("call %s: %s", id, answer == null ? "no answer" : answer.startLine() + answer.text());
        continue;
      }
      served.incrementAndGet();
      boolean own = answer.text().equals(Runner.result(id));
      record.line("call %s: 200, body '%s'%s", id, answer.text(), own ? "" : " WHICH IS NOT ITS OWN");
      foreign.addAndGet(own ? 0 : 1);
    }
  }
}
