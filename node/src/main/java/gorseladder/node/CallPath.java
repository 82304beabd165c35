package gorseladder.node;

import gorseladder.RouterApi.Loaded;
import gorseladder.core.Core;
import gorseladder.core.Core.AttemptEnd;
import gorseladder.core.RuleLog;
import gorseladder.core.StallDetector;
import gorseladder.gate.SendGate;
import gorseladder.node.front.FastCgiFront;
import gorseladder.node.front.RequestReader;
import gorseladder.node.runners.RunnerLinks;
import gorseladder.runtime.Clock;
import gorseladder.runtime.ThreadCache;
import gorseladder.runtime.Watchdog;
import gorseladder.runtime.Writers;
import java.util.function.Consumer;

/**
 * What a call passes in a dispatcher, put together: front, core, runner links and the threads that write. It listens
 * nowhere and knows no runner until it is told. Any thread.
 */
final class CallPath implements AutoCloseable {
  private static final int STACK = 128 << 10;
  private static final int CORE_STACK = 512 << 10;
  private static final int MOST_WRITERS = 64;
  /** Descriptors for the program itself: its files, listener, change log, peers, and what the machine opens. */
  private static final int OWN_DESCRIPTORS = 48;

  private static final int MOST_ANSWER = 1 << 20;
  /** Part of the memory told, and of the heap, that clients may have the front keep. */
  private static final int MEMORY_PART = 8;

  private static final int HEAP_PART = 4;

  private final Writers writers = new Writers(MOST_WRITERS, STACK);
  private final Consumer<String> peers;
  private final RunnerLinks links;
  private final Core<NodeCall> core;
  private final FastCgiFront front;

  /**
   * Starts the core's thread and the writers.
   *
   * @param threads each connection has one
   * @param peers is told what every other dispatcher is to hear, on the core's thread
   */
  CallPath(
      NodeConfig config,
      Watchdog watchdog,
      StallDetector pauses,
      RuleLog rules,
      ThreadCache threads,
      Consumer<String> peers) {
    this.peers = peers;
    int forClients = (config.sockets() - OWN_DESCRIPTORS) / 2;
    links = new RunnerLinks(
        config.links(),
        config.router().limits(),
        new SendGate(config.router().rules()),
        pauses,
        rules,
        watchdog,
        writers,
        config.sockets() - OWN_DESCRIPTORS - forClients,
        MOST_ANSWER,
        threads);
    core = new Core<>(
        config.router(), config.seed(), new Outbound(), config.mostHeld(), false, null, CORE_STACK);
    links.setListener(new RunnerLinks.Listener() {
      @Override
      public void attemptEnded(AttemptEnd<NodeCall> end) {
        core.answerServed(end);
        core.attemptEnded(end);
      }

      @Override
      public void loadEnded(Loaded loaded) {
        core.loadEnded(loaded);
      }
    });
    front = new FastCgiFront(
        new RequestReader(config.router())::read,
        core,
        writers,
        forClients,
        config.mostHeld(),
        Math.min(config.memoryBytes() / MEMORY_PART, Runtime.getRuntime().maxMemory() / HEAP_PART),
        pauses,
        rules,
        call -> links.callAccepted(Clock.micros()));
    front.roomAlsoBy(links::closeLargestAnswer);
    links.limitAnswerMemory(front.budget(), front::makeRoomForBytes);
  }

  /** Carries out what the core's thread decides. */
  private final class Outbound implements Core.Outbound<NodeCall> {
    @Override
    public void send(NodeCall call, int attempt, String worker, long timeout) {
      links.send(call, attempt, worker, timeout);
    }

    @Override
    public void cancel(NodeCall call, int attempt) {
      links.cancel(call, attempt);
    }

    @Override
    public void load(String worker, String function, int copies) {
      links.load(worker, function, copies, core.workerListUpdateCount());
    }

    @Override
    public void tellPeers(String text) {
      peers.accept(text);
    }

    @Override
    public void beforeIdle() {
      writers.releaseHeld();
    }

    @Override
    public void flush() {
      writers.releaseHeld();
    }

    @Override
    public void subscribeWorkerList() {
      // The change log is followed from the start on and never given up.
    }
  }

  Writers writers() {
    return writers;
  }

  RunnerLinks links() {
    return links;
  }

  Core<NodeCall> core() {
    return core;
  }

  FastCgiFront front() {
    return front;
  }

  /** Ends connections, then threads; what is still held gets no answer. */
  @Override
  public void close() {
    front.close();
    core.close();
    links.close();
    writers.close();
  }
}
