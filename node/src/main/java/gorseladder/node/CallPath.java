package gorseladder.node;

import gorseladder.RouterApi.Loaded;
import gorseladder.core.Core;
import gorseladder.core.Core.AttemptEnd;
import gorseladder.core.RuleLog;
import gorseladder.core.StallDetector;
import gorseladder.gate.SendGate;
import gorseladder.memory.MemoryPlan;
import gorseladder.node.front.FastCgiFront;
import gorseladder.node.front.RequestReader;
import gorseladder.node.runners.RunnerLinks;
import gorseladder.runtime.Clock;
import gorseladder.runtime.PeerPresence;
import gorseladder.runtime.ThreadCache;
import gorseladder.runtime.Watchdog;
import gorseladder.runtime.Writers;
import java.util.function.Consumer;

/**
 * The components that a call passes in a dispatcher: front, core, runner links and the threads that write. It accepts
 * no connections until the front listens, and knows no runner until one is reported.
 *
 * <p>Thread safe.
 */
final class CallPath implements AutoCloseable {
  private static final int STACK_BYTES = 128 << 10;
  private static final int CORE_STACK_BYTES = 512 << 10;
  /** Descriptors for files, the listener, the change log, peers and the Java runtime. */
  private static final int RESERVED_DESCRIPTORS = 48;

  private static final int MAX_ANSWER_BYTES = 1 << 20;

  private final Writers writers;
  private final Consumer<String> peerSender;
  private final RunnerLinks links;
  private final Core<NodeCall> core;
  private final FastCgiFront front;

  /**
   * Starts the thread of the core and the writers.
   *
   * @param plan the memory that each part may use
   * @param threads one for each connection
   * @param peerSender receives the messages to all other dispatchers, on the thread of the core
   */
  CallPath(
      NodeConfig config,
      MemoryPlan plan,
      Watchdog watchdog,
      StallDetector stallDetector,
      RuleLog rules,
      ThreadCache threads,
      Consumer<String> peerSender) {
    this.peerSender = peerSender;
    PeerPresence.prepare();
    writers = new Writers(plan.writerThreads(), STACK_BYTES);
    int clientDescriptors = (config.sockets() - RESERVED_DESCRIPTORS) / 2;
    links = new RunnerLinks(
        config.links(),
        config.routerSettings().limits(),
        new SendGate(config.routerSettings().rules()),
        stallDetector,
        rules,
        watchdog,
        writers,
        config.sockets() - RESERVED_DESCRIPTORS - clientDescriptors,
        MAX_ANSWER_BYTES,
        threads);
    core = new Core<>(
        config.routerSettings(),
        config.seed(),
        new Outbound(),
        config.maxHeldCalls(),
        false,
        null,
        CORE_STACK_BYTES);
    core.limitFunctions(plan.maxFunctions());
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
        new RequestReader(config.routerSettings())::read,
        core,
        writers,
        clientDescriptors,
        config.maxHeldCalls(),
        plan.messageBytes(),
        plan.maxSentIds(),
        stallDetector,
        rules,
        call -> links.callAccepted(Clock.micros()));
    front.setMemoryReclaimer(links::closeLargestAnswer);
    links.limitAnswerMemory(front.budgets().runnerAnswers(), front::reclaimMemory);
  }

  /** Carries out the decisions of the core. */
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
      peerSender.accept(text);
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
      // The change log is followed from the start until the end.
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

  /** Closes the connections, then stops the threads; calls that are still held get no answer. */
  @Override
  public void close() {
    front.close();
    core.close();
    links.close();
    writers.close();
  }
}
