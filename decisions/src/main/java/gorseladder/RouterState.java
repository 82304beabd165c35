package gorseladder;

import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.RequestClass;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** What {@link Router} keeps in mind: fields only. Every decision on them is the router's. */
final class RouterState {
  private RouterState() {}

  /** What is known of one worker. */
  static final class Worker {
    final String id;
    final int hash;
    String zone;
    int cell;
    Phase phase;
    double weight;
    long born;
    /** Counts the lives of the process; beliefs of an earlier life are void. */
    int life;

    int inFlight;
    double others;
    double pace = 1;
    double failures;
    int strikes;
    long trialAt;
    long toldSick;
    long lastHeard;
    double coldTokens;
    long coldAt;
    /** Only while a function's order is rebuilt. */
    Copy moving;

    Worker(String id, int hash) {
      this.id = id;
      this.hash = hash;
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
    long struckUntil;
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
    final int hash;
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
    Worker[] order = {};
    /** Beside {@code order}; null where nothing is known. */
    Copy[] copies = {};

    final ArrayDeque<Held> queue = new ArrayDeque<>();

    Function(String name, int hash) {
      this.name = name;
      this.hash = hash;
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
    boolean slow;
    /** Found no copy there; the worker may still serve the request after a load. */
    boolean missed;
    /** Answered with an error. */
    boolean erred;
  }

  /** A request taken and not yet forgotten; done once it has its final answer. */
  static final class Held {
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
