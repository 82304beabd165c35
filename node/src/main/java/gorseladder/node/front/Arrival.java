package gorseladder.node.front;

import gorseladder.runtime.ArrivalTimes;
import gorseladder.stalls.StallWatch;

/**
 * When a request arrived. After a stall of this process, or if its connection had to wait to be accepted, that may be
 * long before it was read, and its client may have left since.
 *
 * @param at the earliest time at which it may have arrived; the time limit of its client starts there
 * @param clientSeenFrom from when on events of its client are known to this process; 0 for always
 */
record Arrival(long at, long clientSeenFrom) {
  /** The arrival of a request whose last bytes were just read. */
  static Arrival of(ArrivalTimes times) {
    long earliestArrival = times.earliestArrival();
    long readAt = times.readAt();
    boolean late = readAt - earliestArrival > StallWatch.SETTLE_MICROS;
    return new Arrival(earliestArrival, late ? readAt + StallWatch.SETTLE_MICROS : 0);
  }
}
