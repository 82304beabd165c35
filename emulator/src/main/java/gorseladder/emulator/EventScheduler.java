package gorseladder.emulator;

import java.util.PriorityQueue;

/**
 * The simulated clock and its queue of scheduled actions. Actions of the same time run in the order in which they were
 * scheduled. Times are in microseconds. Not thread safe.
 */
final class EventScheduler {
  private record ScheduledEvent(long time, long number, Runnable action)
      implements Comparable<ScheduledEvent> {
    @Override
    public int compareTo(ScheduledEvent other) {
      return time != other.time
          ? Long.compare(time, other.time)
          : Long.compare(number, other.number);
    }
  }

  private final PriorityQueue<ScheduledEvent> queue = new PriorityQueue<>(1024);
  private long now;
  private long nextNumber;

  long now() {
    return now;
  }

  /** Schedules an action; a time in the past counts as now. */
  void at(long time, Runnable action) {
    queue.add(new ScheduledEvent(Math.max(now, time), nextNumber++, action));
  }

  void after(long micros, Runnable action) {
    at(now + micros, action);
  }

  /** Runs all actions due by a time and sets the clock to it. */
  void runUntil(long time) {
    while (!queue.isEmpty() && queue.peek().time() <= time) {
      ScheduledEvent event = queue.poll();
      now = event.time();
      event.action().run();
    }
    now = Math.max(now, time);
  }

  /** Number of actions run so far. */
  long executedCount() {
    return nextNumber - queue.size();
  }
}
