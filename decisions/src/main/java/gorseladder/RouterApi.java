package gorseladder;

import java.util.List;
import java.util.Map;

/**
 * The interface of {@link Router}: the settings it starts with, the events it is told and the actions
 * it answers with. All times and durations are whole microseconds. Nothing here decides anything.
 */
public final class RouterApi {
  private RouterApi() {}

  /** What a repeat of a request of a class does. */
  public enum Effect {
    SAFE,
    KEYED,
    UNSAFE
  }

  /** Which workers drop a repeat of a keyed request. */
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

    /** True where this outcome proves that the attempt did not run. */
    public final boolean neverRan;

    Outcome(boolean neverRan) {
      this.neverRan = neverRan;
    }
  }

  /** What the worker list says of a worker. */
  public enum Phase {
    RUNNING,
    DRAINING,
    GONE
  }

  /** How much of the worker list an update carries. */
  public enum ListKind {
    DELTA,
    FULL,
    SAVED,
    FAILED
  }

  /** What an answer tells of the copy that served it. */
  public enum CopyStatus {
    NONE,
    WARM,
    BEGAN,
    WAITED,
    LOAD_FAILED
  }

  /** A class of requests. */
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

  /** A tenant and its share, in requests a second over all dispatchers. */
  public record Tenant(String name, double share, double quotaPerSecond) {
    public Tenant {
      require(name != null, "tenant name");
      require(share >= 0, "tenant share");
      require(quotaPerSecond >= 0, "tenant quotaPerSecond");
    }
  }

  /** What the site allows and limits. */
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

  /** The figures of the rules on drains, cold workers and load orders. */
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

  /** Everything a dispatcher is told at its start. */
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

  /** One entry of the worker list; {@code startedAt} is 0 where the last start was long ago. */
  public record WorkerEntry(
      String worker, String zone, int cell, Phase phase, double weight, long startedAt) {
    public WorkerEntry {
      require(worker != null, "worker");
      require(phase != null, "worker phase");
    }
  }

  /** Something the dispatcher is told. */
  public sealed interface Event {}

  /** News of the worker list. */
  public record WorkerListUpdate(ListKind kind, List<WorkerEntry> entries) implements Event {
    public WorkerListUpdate {
      require(kind != null, "list kind");
      entries = List.copyOf(entries);
    }
  }

  /** A request taken from a client; {@code loadTime} and {@code durationHint} are 0 where not told. */
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

  /** The first part of a streamed answer went to the client. */
  public record FirstByte(long id, int attempt, String worker, long latency) implements Event {}

  /**
   * An attempt ended. {@code crowd} is the calls of the function found there, -1 where not told; a
   * report may name {@code inFlight} or {@code queued} calls.
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

  /** The client left, or the final answer came too late. */
  public record ClientGone(long id) implements Event {}

  /** The final answer is owed now, ahead of the client's time. */
  public record AnswerDue(long id) implements Event {}

  /** A timer set by the router is due. */
  public record TimerDue(String token) implements Event {}

  /** A probe ended. */
  public record Probed(String worker, Outcome outcome, long latency, Map<String, Double> report)
      implements Event {}

  /** A message of another dispatcher. */
  public record PeerMessage(int sender, String text) implements Event {}

  /** A load order ended, with the copies that stand there. */
  public record Loaded(String worker, String function, int copies, Outcome outcome, long latency)
      implements Event {}

  /**
   * A plan wants copies held at a worker ahead of need; the router may pass it over, and then nothing follows.
   * {@code loadTime} is 0 where not told.
   */
  public record PlannedLoad(String worker, String function, int copies, int lanes, long loadTime)
      implements Event {
    public PlannedLoad {
      require(worker != null, "planned load worker");
      require(function != null, "planned load function");
      require(copies > 0 && lanes > 0, "planned load copies or lanes");
    }
  }

  /** Something the dispatcher is to do. */
  public sealed interface Action {}

  /** Starts an attempt; a {@code timeout} of 0 lasts until the client gives up. */
  public record Send(long id, String worker, long timeout) implements Action {}

  /** Stops waiting for an attempt. */
  public record Cancel(long id, int attempt) implements Action {}

  /** Final answer: no, and a new try does no harm. */
  public record Refuse(long id, long retryAfter) implements Action {}

  /** Final answer: failed, with no promise of its effect. */
  public record Fail(long id) implements Action {}

  /** Asks for a {@link TimerDue}. */
  public record SetTimer(long delay, String token) implements Action {
    /** The first letter of a call's deadline; its id follows. */
    static final String DEADLINE = "d";

    /** True for the end of a call's time: it need not come once the call is over and no attempt of it is out. */
    public boolean isDeadline() {
      return token.startsWith(DEADLINE);
    }
  }

  /** Sends text to every other dispatcher. */
  public record TellPeers(String text) implements Action {}

  /** Orders at least so many copies held; 0 only asks how many stand. */
  public record Load(String worker, String function, int copies) implements Action {}

  /** Asks for list changes from now on. */
  public record SubscribeWorkerList() implements Action {}

  /** A line for the log. */
  public record Log(String text) implements Action {}

  private static void require(boolean holds, String field) {
    if (!holds) {
      throw new IllegalArgumentException("impossible setting: " + field);
    }
  }
}
