package gorseladder;

import java.util.List;
import java.util.Map;

/**
 * The interface of {@link Router}: the settings it starts with, the events it takes and the actions it
 * returns. All times and durations are whole microseconds. These types hold data and no decisions.
 */
public final class RouterApi {
  private RouterApi() {}

  /**
   * Whether a request of a class may run twice: SAFE requests may, KEYED ones may where workers detect the
   * repeat by its key, UNSAFE ones may not.
   */
  public enum Effect {
    SAFE,
    KEYED,
    UNSAFE
  }

  /** The workers that detect a repeat of a keyed request: all, those of one zone or those of one cell. */
  public enum Group {
    ALL,
    ZONE,
    CELL
  }

  /** How an attempt, a probe or a load order ended. */
  public enum Outcome {
    OK(false),
    ERROR(false),
    FULL(true),
    TIMEOUT(false),
    CONNECT_FAILED(true),
    RESET(false),
    CANCELLED(false),
    MOOT(true),
    MISS(true);

    /** True if this outcome proves that the attempt did not run. */
    public final boolean neverRan;

    Outcome(boolean neverRan) {
      this.neverRan = neverRan;
    }
  }

  /** The state of a worker according to the worker list. */
  public enum Phase {
    RUNNING,
    DRAINING,
    GONE
  }

  /** The contents of a worker list update: changes, the whole list, a saved copy of it, or a failed subscription. */
  public enum ListKind {
    DELTA,
    FULL,
    SAVED,
    FAILED
  }

  /** What an answer reports about the copy: not reported, warm, load begun, load awaited or load failed. */
  public enum CopyStatus {
    NONE,
    WARM,
    BEGAN,
    WAITED,
    LOAD_FAILED
  }

  /**
   * A class of requests.
   *
   * @param repeatWindow how long workers detect repeats of a keyed request
   * @param latencyTarget latency up to which an answer counts as in time
   * @param deadline latency after which the client gives up
   * @param worth value of an answer in time, relative to other classes
   * @param lateWorth fraction of {@code worth} that a later answer keeps
   * @param stream true if answers are streamed
   */
  public record RequestClass(
      String name,
      Effect effect,
      Group group,
      long repeatWindow,
      long latencyTarget,
      long deadline,
      double worth,
      double lateWorth,
      boolean stream) {
    public RequestClass {
      require(name != null, "class name");
      require(effect != null, "class effect");
      require(group != null, "class group");
      require(latencyTarget > 0, "class aim");
      require(deadline > 0, "class deadline");
      require(repeatWindow >= 0, "class repeatWindow");
    }
  }

  /** A tenant, its share and its quota in requests per second over all dispatchers. */
  public record Tenant(String name, double share, double quotaPerSecond) {
    public Tenant {
      require(name != null, "tenant name");
      require(share >= 0, "tenant share");
      require(quotaPerSecond >= 0, "tenant quotaPerSecond");
    }
  }

  /**
   * The limits of the platform and the features that it permits.
   *
   * @param duplicates true if two attempts of a request may be outstanding at a time
   * @param cancelling true if attempts may be cancelled
   * @param probing true if workers may be probed
   * @param peers true if dispatchers may send messages to each other
   * @param orders true if load orders may be sent
   * @param retryAfter true if a refusal may carry a delay for the next try
   */
  public record Limits(
      int maxAttempts,
      boolean duplicates,
      boolean cancelling,
      boolean probing,
      boolean peers,
      boolean orders,
      boolean retryAfter,
      long maxRetryAfter,
      long orderTimeout) {
    public Limits {
      require(maxAttempts > 0, "limits maxAttempts");
      require(maxRetryAfter >= 0, "limits maxRetryAfter");
      require(orderTimeout >= 0, "limits orderTimeout");
    }
  }

  /**
   * The parameters of the rules on drains, cold workers and load orders.
   *
   * @param drainGrace how long after its drain was announced a worker may still receive attempts
   * @param initialCapacity fraction of its capacity that a worker has at its start
   * @param rampDuration time after a start in which the capacity grows linearly to its full value
   * @param overloadMultiple multiple of a cold worker's capacity that may be sent to it
   * @param overloadWindow window over which that multiple is measured
   * @param freeLoads load orders permitted in every load window
   * @param loadsPerCall further load orders permitted for each call taken in the window
   * @param loadWindow window of the load ration; 0 turns the ration off
   */
  public record Rules(
      long drainGrace,
      double initialCapacity,
      long rampDuration,
      double overloadMultiple,
      long overloadWindow,
      double freeLoads,
      double loadsPerCall,
      long loadWindow) {
    public Rules {
      require(drainGrace >= 0, "rules drainGrace");
      require(initialCapacity >= 0 && initialCapacity <= 1, "rules coldFrom");
      require(rampDuration >= 0, "rules coldFor");
      require(overloadMultiple >= 0, "rules overloadMultiple");
      require(overloadWindow >= 0, "rules overloadFor");
      require(freeLoads >= 0 && loadsPerCall >= 0, "rules loadsFree or loadShare");
      require(loadWindow >= 0, "rules loadWindow");
    }
  }

  /**
   * The configuration of a dispatcher, fixed at its start. The router does not use {@code askWithin} and
   * {@code overShareWorth}.
   *
   * @param ordinal number of this dispatcher, from 0
   * @param tick resolution of timers
   * @param keepAlive how long a worker keeps an unused copy
   * @param loadsOnMiss true if a worker loads a missing function by itself
   * @param asksForList true if the dispatcher has to subscribe to changes of the worker list
   */
  public record Settings(
      int ordinal,
      int dispatchers,
      String zone,
      long tick,
      long keepAlive,
      boolean loadsOnMiss,
      boolean asksForList,
      long askWithin,
      double overShareWorth,
      Limits limits,
      Rules rules,
      List<RequestClass> classes,
      List<Tenant> tenants) {
    public Settings {
      require(ordinal >= 0, "ordinal");
      require(dispatchers > 0, "dispatchers");
      require(tick >= 0, "tick");
      require(keepAlive > 0, "keepAlive");
      require(askWithin >= 0, "askWithin");
      require(overShareWorth >= 0, "overShareWorth");
      require(limits != null, "limits");
      require(rules != null, "rules");
      require(classes != null, "classes");
      require(tenants != null, "tenants");
      classes = List.copyOf(classes);
      tenants = List.copyOf(tenants);
      require(!classes.isEmpty(), "classes");
    }
  }

  /** One entry of the worker list; {@code startedAt} is 0 if the last start was long ago. */
  public record WorkerEntry(
      String worker, String zone, int cell, Phase phase, double weight, long startedAt) {
    public WorkerEntry {
      require(worker != null, "worker");
      require(phase != null, "worker phase");
    }
  }

  /** An input of the router. */
  public sealed interface Event {}

  /** A change of the worker list. */
  public record WorkerListUpdate(ListKind kind, List<WorkerEntry> entries) implements Event {
    public WorkerListUpdate {
      require(kind != null, "list kind");
      entries = List.copyOf(entries);
    }
  }

  /** A request accepted from a client; {@code loadTime} and {@code durationHint} are 0 if unknown. */
  public record Request(
      long id,
      String requestClass,
      String tenant,
      String function,
      long timeLeft,
      long durationHint,
      double memoryMb,
      int lanes,
      long loadTime,
      boolean repeat)
      implements Event {}

  /** The first part of a streamed answer was sent to the client. */
  public record FirstByte(long id, int attempt, String worker, long latency) implements Event {}

  /**
   * An attempt ended.
   *
   * @param finalAnswer true if this answer is the request's final one
   * @param concurrency calls of the function that the attempt found at the worker; -1 if not reported
   * @param report load figures of the worker; {@code inFlight} and {@code queued} calls are used
   */
  public record Answer(
      long id,
      int attempt,
      String worker,
      Outcome outcome,
      boolean finalAnswer,
      long latency,
      CopyStatus copyStatus,
      int concurrency,
      Map<String, Double> report)
      implements Event {}

  /** The client disconnected, or the final answer came too late. */
  public record ClientGone(long id) implements Event {}

  /** The final answer is due now, before the client's deadline. */
  public record AnswerDue(long id) implements Event {}

  /** A timer set by the router has expired. */
  public record TimerDue(String token) implements Event {}

  /** A probe ended. */
  public record Probed(String worker, Outcome outcome, long latency, Map<String, Double> report)
      implements Event {}

  /** A message from another dispatcher. */
  public record PeerMessage(int sender, String text) implements Event {}

  /** A load order ended; {@code copies} is the number of copies then loaded at the worker. */
  public record Loaded(String worker, String function, int copies, Outcome outcome, long latency)
      implements Event {}

  /**
   * A plan asks for copies at a worker before they are needed. The router may ignore it without an answer.
   * {@code loadTime} is 0 if unknown.
   */
  public record PlannedLoad(String worker, String function, int copies, int lanes, long loadTime)
      implements Event {
    public PlannedLoad {
      require(worker != null, "planned load worker");
      require(function != null, "planned load function");
      require(copies > 0 && lanes > 0, "planned load copies or lanes");
    }
  }

  /** An output of the router, to be carried out by the dispatcher. */
  public sealed interface Action {}

  /** Starts an attempt; with a {@code timeout} of 0 it lasts until the client gives up. */
  public record Send(long id, String worker, long timeout) implements Action {}

  /** Stops waiting for an attempt. */
  public record Cancel(long id, int attempt) implements Action {}

  /** Final answer: refused; trying again is harmless. */
  public record Refuse(long id, long retryAfter) implements Action {}

  /** Final answer: failed; whether the request took effect is unknown. */
  public record Fail(long id) implements Action {}

  /** Requests a {@link TimerDue} after a delay. */
  public record SetTimer(long delay, String token) implements Action {
    /** Token prefix of a call's deadline timer; the call's id follows. */
    static final String DEADLINE = "d";

    /**
     * True for the deadline timer of a call, which may be dropped once the call has ended and none of its
     * attempts is outstanding.
     */
    public boolean isDeadline() {
      return token.startsWith(DEADLINE);
    }
  }

  /** Sends text to every other dispatcher. */
  public record TellPeers(String text) implements Action {}

  /** Orders at least this many copies to be loaded; 0 only queries how many are loaded. */
  public record Load(String worker, String function, int copies) implements Action {}

  /** Subscribes to changes of the worker list. */
  public record SubscribeWorkerList() implements Action {}

  /** Writes a line to the log. */
  public record Log(String text) implements Action {}

  private static void require(boolean valid, String field) {
    if (!valid) {
      throw new IllegalArgumentException("impossible setting: " + field);
    }
  }
}
