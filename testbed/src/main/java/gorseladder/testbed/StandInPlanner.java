package gorseladder.testbed;

import gorseladder.config.exchange.Answer;
import gorseladder.config.exchange.Ask;
import gorseladder.config.exchange.Item;
import gorseladder.config.exchange.Plan;
import gorseladder.config.exchange.Worker;
import gorseladder.runtime.Clock;
import gorseladder.runtime.HttpConnection;
import gorseladder.runtime.HttpServer;
import gorseladder.wire.http1.BadMessage;
import gorseladder.wire.http1.BodyParser;
import gorseladder.wire.http1.Head;
import gorseladder.wire.http1.HeadWriter;
import gorseladder.wire.http1.HttpLimits;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * A faulty planner for tests. Its plans hold every function on every worker that it ever heard of, also on those that
 * drain, have died or have just started, all at once and for each edge. Some of its plans have absurd numbers or an
 * older epoch, and some of its answers are errors or cannot be parsed.
 */
public final class StandInPlanner implements Closeable {
  private static final long TIMEOUT_MICROS = 60_000_000;
  private static final int STACK = 256 << 10;

  private final List<String> functions;
  private final HttpServer server;
  private final Random random;
  private final Set<String> workers = new TreeSet<>();
  private long version;
  private long plans;

  /** Creates a planner that places these functions on all workers. */
  public StandInPlanner(List<String> functions, long seed) throws IOException {
    this.functions = List.copyOf(functions);
    this.random = new Random(seed);
    this.server = HttpServer.listen(
        new InetSocketAddress("127.0.0.1", 0), "stand-in-planner", STACK, this::serve);
  }

  public String address() {
    return "127.0.0.1:" + server.address().getPort();
  }

  /** Returns the number of plans sent. */
  public synchronized long planCount() {
    return plans;
  }

  private void serve(SocketChannel channel) throws IOException {
    HttpConnection c = new HttpConnection(channel, HttpLimits.INTERNAL);
    try {
      while (c.awaitMessage(Clock.micros() + TIMEOUT_MICROS)) {
        Head head = c.readRequest(Clock.micros() + TIMEOUT_MICROS);
        byte[] body = c.readBody(
            BodyParser.forRequest(head, HttpLimits.INTERNAL), Clock.micros() + TIMEOUT_MICROS);
        c.write(answer(Ask.parseFrom(body)));
      }
    } catch (BadMessage e) {
      throw new IOException(e);
    }
  }

  private synchronized byte[] answer(Ask ask) {
    ask.getWorkerList().stream().map(Worker::getName).forEach(workers::add);
    int responseKind = random.nextInt(20);
    if (responseKind == 0) {
      return HeadWriter.response(200).with(new byte[] {1, 2, 3});
    }
    if (responseKind == 1) {
      return HeadWriter.response(503).with(new byte[0]);
    }
    Plan.Builder plan = Plan.newBuilder()
        .setEpoch(responseKind == 2 ? 1 : 2)
        .setVersion(++version)
        .setLivesMs(30_000);
    for (String f : functions) {
      for (String w : workers) {
        plan.addItem(Item.newBuilder()
            .setWorker(w)
            .setFunction(f)
            .setCopies(responseKind == 3 ? 9_999 : 1 + random.nextInt(2))
            .setLanes(1)
            .setFromMs(0)
            .setUntilMs(20_000)
            .setMemoryMb(100)
            .setMine(true));
      }
    }
    plans++;
    return HeadWriter.response(200)
        .with(Answer.newBuilder()
            .setHistory(ask.getHistory())
            .setWant(ask.getNext())
            .setLoadsKept(Long.MAX_VALUE)
            .setPlan(plan)
            .build()
            .toByteArray());
  }

  @Override
  public void close() {
    server.close();
  }
}
