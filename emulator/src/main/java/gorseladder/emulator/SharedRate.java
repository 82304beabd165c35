package gorseladder.emulator;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntToDoubleFunction;

/**
 * Work that shares a resource: each piece goes on at a rate that depends on how many there are (processor sharing).
 * Used for the cores of a runner and for the archive.
 */
final class SharedRate<K> {
  private static final double DONE = 1e-6;

  private static final class Work {
    private double left;
    private final Runnable deed;

    Work(double left, Runnable deed) {
      this.left = left;
      this.deed = deed;
    }
  }

  private final Agenda agenda;
  private final IntToDoubleFunction rate;
  private final Map<K, Work> all = new LinkedHashMap<>();
  private long at;
  private int turn;

  /** Work at a rate a microsecond for each piece, by how many there are. */
  SharedRate(Agenda agenda, IntToDoubleFunction rate) {
    this.agenda = agenda;
    this.rate = rate;
  }

  int size() {
    return all.size();
  }

  /** Begins a piece; the deed is done at its end. */
  void begin(K key, double micros, Runnable deed) {
    pass();
    all.put(key, new Work(micros, deed));
    next();
  }

  /** Takes a piece away, done or not. */
  void drop(K key) {
    pass();
    all.remove(key);
    next();
  }

  void clear() {
    all.clear();
    turn++;
  }

  private void pass() {
    double done = all.isEmpty() ? 0 : (agenda.now() - at) * rate.applyAsDouble(all.size());
    all.values().forEach(w -> w.left -= done);
    at = agenda.now();
  }

  private void next() {
    int mine = ++turn;
    double least = Double.MAX_VALUE;
    for (Work w : all.values()) {
      least = Math.min(least, w.left);
    }
    if (!all.isEmpty()) {
      agenda.after(
          (long) Math.ceil(Math.max(0, least) / rate.applyAsDouble(all.size())),
          () -> finish(mine));
    }
  }

  private void finish(int mine) {
    if (mine != turn) {
      return;
    }
    pass();
    List<Work> done = all.values().stream().filter(w -> w.left <= DONE).toList();
    all.values().removeAll(done);
    next();
    done.forEach(w -> w.deed.run());
  }
}
