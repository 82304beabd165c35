package gorseladder.testbed;

import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Phase;
import java.util.ArrayList;
import java.util.List;

/**
 * What passed on the sockets, seen at the clients, the runners and the list, never at an edge. Times are microseconds
 * of this process's clock. Any thread.
 */
public final class Tap {
  /** One try of a client: a request on a socket and what came back. */
  public static final class Try {
    /** The system repeats the first packet of a connection after so long, where a listener's queue was full. */
    private static final long SYN_RETRY_MICROS = 1_000_000;

    public final String message;
    public final int edge;
    public final Effect effect;
    public final long sentAt;
    public final long clientTimeout;
    /** Answers that came; 0 status where the connection broke or could not be opened. */
    public final List<Integer> statuses = new ArrayList<>();

    public boolean retryAfter;
    public long answeredAt;
    /** When its connection stood and when its bytes were handed to the system; 0 where it did not come to that. */
    public long connectedAt;

    public long writtenAt;
    public boolean unreached;
    public boolean broken;
    public String reason = "";

    Try(String message, int edge, Effect effect, long sentAt, long clientTimeout) {
      this.message = message;
      this.edge = edge;
      this.effect = effect;
      this.sentAt = sentAt;
      this.clientTimeout = clientTimeout;
    }

    /**
     * From when its time counts: a request's time counts from its last byte, and what its client takes until its
     * connection stands is its own. A connect that takes as long as the system's first repeat may have met a full queue
     * of the edge; then its time counts from the beginning.
     */
    long countsFrom() {
      boolean ownTime = connectedAt > 0 && connectedAt - sentAt < SYN_RETRY_MICROS;
      return ownTime ? connectedAt : sentAt;
    }
  }

  /** One infer request that arrived at a runner. */
  public static final class Arrival {
    public final String message;
    public final String runner;
    public final int edge;
    public final String function;
    public final long at;
    public final double work;
    public volatile boolean ran;
    public volatile boolean saidNeverRan;
    public volatile long endedAt;

    Arrival(String message, String runner, int edge, String function, long at, double work) {
      this.message = message;
      this.runner = runner;
      this.edge = edge;
      this.function = function;
      this.at = at;
      this.work = work;
    }
  }

  /** A load order that arrived at a runner. */
  public record Order(String runner, int edge, String function, int copies, long at) {}

  /** The list's word to one edge. */
  public record PhaseReport(int edge, String runner, Phase phase, long at) {}

  /** A start of a runner, from cold. */
  public record Start(String runner, long at, double capacity) {}

  /** A time in which an edge was down or being killed. */
  public record Outage(int edge, long from, long to) {}

  final List<Try> tries = new ArrayList<>();
  final List<Arrival> arrivals = new ArrayList<>();
  final List<Order> orders = new ArrayList<>();
  final List<PhaseReport> phaseReports = new ArrayList<>();
  final List<Start> starts = new ArrayList<>();
  final List<Outage> outages = new ArrayList<>();

  synchronized Try sent(String message, int edge, Effect effect, long at, long clientTimeout) {
    Try t = new Try(message, edge, effect, at, clientTimeout);
    tries.add(t);
    return t;
  }

  synchronized Arrival arrived(
      String message, String runner, int edge, String function, long at, double work) {
    Arrival a = new Arrival(message, runner, edge, function, at, work);
    arrivals.add(a);
    return a;
  }

  synchronized void ordered(Order order) {
    orders.add(order);
  }

  synchronized void phaseReported(PhaseReport report) {
    phaseReports.add(report);
  }

  synchronized void started(Start start) {
    starts.add(start);
  }

  synchronized void edgeWasDown(Outage outage) {
    outages.add(outage);
  }
}
