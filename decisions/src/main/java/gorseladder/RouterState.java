package gorseladder;

import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.RequestClass;
import gorseladder.order.Member;
import gorseladder.order.SharedOrder;
import gorseladder.starts.ColdBudget;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The records of {@link Router}. They have fields only; the router contains all logic. Times are microseconds. */
final class RouterState {
  private RouterState() {}

  /** The state of one worker. */
  static final class Worker extends Member {
    String zone;
    int cell;
    Phase phase = Phase.GONE;
    double weight = 1;
    long startedAt;
    /** Number of starts and resets seen; copies of an earlier incarnation count as lost. */
    int incarnation;

    /** Attempts of this dispatcher. */
    int inFlight;
    /** Average of the calls in flight from other dispatchers, by the worker's load reports. */
    double othersInFlight;
    /** Average ratio of the worker's latencies to the typical latency of their functions. */
    double slowdown = 1;

    double failureRate;
    /** Failures since the worker became suspect. */
    int suspectFailures;
    /** When a suspect worker may be tried again. */
    long nextTrialAt;
    /** When peers last told, or were told, that the worker is suspect; 0 for never. */
    long suspectToldAt;

    long lastHeardAt;
    final ColdBudget coldBudget = new ColdBudget();
    /** Number of the last list update that named the worker. */
    int lastListUpdate;
    /** Index in the {@link Fleet}; -1 if absent. */
    int fleetIndex = -1;
    /** This and the next three fields: the values that the totals of {@link Fleet} contain. */
    Phase countedPhase = Phase.GONE;

    boolean countedSuspect;
    double countedWeight;
    double countedLoad;

    Worker(String name) {
      super(name);
    }
  }

  /** What is assumed about one function at one worker. */
  static final class CopyState {
    final Function function;
    final Worker worker;
    int incarnation;
    int copies;
    long warmUntil;
    /** Attempts of this dispatcher. */
    int inFlight;
    /** Calls of other dispatchers, by the last answer; assumed until {@link #othersInFlightUntil}. */
    int othersInFlight;

    long othersInFlightUntil;
    /** Until when the worker is assumed to have no free lane for the function. */
    long busyUntil;
    /** Until when the worker is assumed to have no copy, though it belongs to the home. */
    long missingUntil;
    /** Copies of the outstanding load order; -1 if there is none. */
    int orderedCopies = -1;

    long orderedAt;
    /** Set when the worker is chosen: it belongs to the home, so other dispatchers probably keep it warm. */
    boolean inHome;

    CopyState(Function function, Worker worker) {
      this.function = function;
      this.worker = worker;
    }
  }

  /** The state of one function. */
  static final class Function {
    final String name;
    final long hash;
    int lanes;
    /** Load time by the last request; 0 if unknown. */
    long loadTime;
    /** Moving average of latencies without a load; 0 before the first. */
    double typicalLatency;

    double measuredLoadTime;
    /** Estimate of the calls that the fleet holds at once. */
    double fleetConcurrency;

    /** Samples in {@link #fleetConcurrency}. */
    int samples;

    int inFlight;
    long lastUsedAt;
    /** Version of the shared order from which the candidates were taken. */
    int orderVersion = -1;
    /** The first workers of the shared order, as many as were needed so far. */
    List<Worker> candidates = List.of();
    /** State of the function at single workers, candidates or not. */
    final Map<Worker, CopyState> copyStates = new HashMap<>(4);

    final ArrayDeque<PendingCall> queue = new ArrayDeque<>(1);

    Function(String name) {
      this.name = name;
      this.hash = SharedOrder.functionHash(name);
    }
  }

  /** One attempt of a request. */
  static final class Attempt {
    CopyState copy;
    long sentAt;
    double expectedLatency;
    /** Sent though the copy was not known to be warm. */
    boolean unconfirmed;

    boolean outstanding = true;
    boolean cancelled;
    boolean neverRan;
    /** Was outstanding when another attempt of the request was sent. */
    boolean overlapped;

    /** Counted as overload while it was outstanding. */
    boolean markedSlow;
    /** Found no copy; the worker may still serve the request after a load. */
    boolean missed;
    /** Answered with an error. */
    boolean hadError;
  }

  /** An accepted request, kept until it is done and no attempt is outstanding. */
  static final class PendingCall {
    long id;
    RequestClass requestClass;
    Function function;
    long targetAt;
    long deadline;
    double worth;
    /** True once the request has its final answer. */
    boolean done;

    boolean queued;
    boolean streaming;
    final List<Attempt> attempts = new ArrayList<>(2);
    /** Number of outstanding attempts. */
    int attemptsOut;
  }
}
