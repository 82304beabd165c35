package gorseladder.testbed;

import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Phase;
import java.util.ArrayList;
import java.util.List;

/**
 * Records the traffic on the sockets as seen by the clients, the runners and the worker list, never by an edge. Times
 * are microseconds of the clock of this process. Thread-safe.
 */
public final class Tap {
  /** One try of a client: a request on a connection and the answers to it. */
  public static final class Try {
    /**
     * The delay after which TCP sends the first packet of a connection again if the queue of the listener was full.
     */
    private static final long SYN_RETRY_MICROS = 1_000_000;

    public final String message;
    /** What the signature covers; tries that carry the same bytes have the same one. */
    public final String signedRequest;

    public final int edge;
    public final Effect effect;
    public final long sentAt;
    public final long clientTimeout;
    /** Status codes of the answers that arrived. */
    public final List<Integer> statuses = new ArrayList<>();

    public boolean retryAfter;
    public long answeredAt;
    /**
     * When the connection was established and when the request was written to the socket; 0 if that did not happen.
     */
    public long connectedAt;

    public long writtenAt;
    public boolean unreached;
    public boolean broken;
    public String reason = "";

    Try(
        String message,
        String signedRequest,
        int edge,
        Effect effect,
        long sentAt,
        long clientTimeout) {
      this.message = message;
      this.signedRequest = signedRequest;
      this.edge = edge;
      this.effect = effect;
      this.sentAt = sentAt;
      this.clientTimeout = clientTimeout;
    }

    /**
     * Returns the time from which the timeout of the client counts. A request counts from its last byte, and the time
     * that the client needs to connect is its own. A connect that takes as long as the first retransmission may have
     * met a full queue at the edge; then the time counts from the beginning.
     */
    long countsFrom() {
      boolean ownTime = connectedAt > 0 && connectedAt - sentAt < SYN_RETRY_MICROS;
      return ownTime ? connectedAt : sentAt;
    }
  }

  /** An inference request that arrived at a runner. */
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

  /** A phase of a runner as the worker list reported it to an edge. */
  public record PhaseReport(int edge, String runner, Phase phase, long at) {}

  /** A cold start of a runner. */
  public record Start(String runner, long at, double capacity) {}

  /** A period during which an edge was down or was being stopped. */
  public record Outage(int edge, long from, long to) {}

  final List<Try> tries = new ArrayList<>();
  final List<Arrival> arrivals = new ArrayList<>();
  final List<Order> orders = new ArrayList<>();
  final List<PhaseReport> phaseReports = new ArrayList<>();
  final List<Start> starts = new ArrayList<>();
  final List<Outage> outages = new ArrayList<>();

  /** Records a try of a request that no other try carries. */
  synchronized Try sent(String message, int edge, Effect effect, long at, long clientTimeout) {
    return sent(message, message + " " + tries.size(), edge, effect, at, clientTimeout);
  }

  synchronized Try sent(
      String message, String signedRequest, int edge, Effect effect, long at, long clientTimeout) {
    Try t = new Try(message, signedRequest, edge, effect, at, clientTimeout);
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
