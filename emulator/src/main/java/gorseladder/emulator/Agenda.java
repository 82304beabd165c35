package gorseladder.emulator;

import java.util.PriorityQueue;

/** Simulated time and what is due in it. Equal times keep their order. One thread. Times in microseconds. */
final class Agenda {
  private record Due(long at, long number, Runnable deed) implements Comparable<Due> {
    @Override
    public int compareTo(Due o) {
      return at != o.at ? Long.compare(at, o.at) : Long.compare(number, o.number);
    }
  }

  private final PriorityQueue<Due> queue = new PriorityQueue<>(1024);
  private long now;
  private long numbers;

  long now() {
    return now;
  }

  /** Does this later; a time before now is now. */
  void at(long time, Runnable deed) {
    queue.add(new Due(Math.max(now, time), numbers++, deed));
  }

  void after(long micros, Runnable deed) {
    at(now + micros, deed);
  }

  /** Goes on until this time, and then stands there. */
  void runUntil(long time) {
    while (!queue.isEmpty() && queue.peek().at() <= time) {
      Due due = queue.poll();
      now = due.at();
      due.deed().run();
    }
    now = Math.max(now, time);
  }

  /** Things done so far. */
  long done() {
    return numbers - queue.size();
  }
}
