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

/** What {@link Router} keeps in mind: fields only. Every decision on them is the router's. */
final class RouterState {
  private RouterState() {}

  /** What is known of one worker. */
  static final class Worker extends Member {
    String zone;
    int cell;
    Phase phase = Phase.GONE;
    double weight = 1;
    long born;
    /** Counts the lives of the process; beliefs of an earlier life are void. */
    int life;

    int inFlight;
    double others;
    double pace = 1;
    double failures;
    int suspicions;
    long trialAt;
    long toldSick;
    long lastHeard;
    final ColdBudget cold = new ColdBudget();
    /** The number of the last list that named it. */
    int listed;
    /** Its number in the {@link Fleet}; -1 where it is not in. */
    int fleetIndex = -1;
    /** As {@link Fleet} last counted it. */
    Phase countedPhase = Phase.GONE;

    boolean countedSuspect;
    double countedWeight;
    double countedLoad;

    Worker(String name) {
      super(name);
    }
  }

  /** What is believed of one function at one worker. */
  static final class Copy {
    final Function function;
    final Worker worker;
    int life;
    int copies;
    long until;
    int inFlight;
    int crowd;
    long crowdUntil;
    long busyUntil;
    long missingUntil;
    int ordered = -1;
    long orderedAt;
    /** Set by the pick: likely warm by others' doing. */
    boolean home;

    Copy(Function function, Worker worker) {
      this.function = function;
      this.worker = worker;
    }
  }

  /** What is known of one function; the order of workers is shared by all dispatchers. */
  static final class Function {
    final String name;
    final long hash;
    int lanes;
    long loadTime;
    double usual;
    double seenLoad;
    /** Calls that the fleet holds at once, as far as seen. */
    double atOnce;

    int seen;
    int inFlight;
    long lastAsked;
    int version = -1;
    /** The first workers of the shared order, as many as were asked for so far. */
    List<Worker> order = List.of();
    /** What is known of the function at single workers, in the order or not. */
    final Map<Worker, Copy> known = new HashMap<>(4);

    final ArrayDeque<PendingCall> queue = new ArrayDeque<>(1);

    Function(String name) {
      this.name = name;
      this.hash = SharedOrder.functionHash(name);
    }
  }

  /** One attempt of a request. */
  static final class Attempt {
    Copy copy;
    long sentAt;
    double expected;
    /** Sent without a belief of its own that the copy stands. */
    boolean blind;

    boolean out = true;
    boolean cancelled;
    boolean neverRan;
    /** Was out when another attempt of the request was sent. */
    boolean overlapped;

    boolean slow;
    /** Found no copy there; the worker may still serve the request after a load. */
    boolean missed;
    /** Answered with an error. */
    boolean erred;
  }

  /** A request taken and not yet forgotten; done once it has its final answer. */
  static final class PendingCall {
    long id;
    RequestClass requestClass;
    Function function;
    long aimAt;
    long deadline;
    double worth;
    boolean done;
    boolean queued;
    boolean streaming;
    final List<Attempt> attempts = new ArrayList<>(2);
    /** Attempts out. */
    int out;
  }
}
