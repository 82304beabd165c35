package gorseladder.emulator;

/** Where runners fetch from: fetches past {@code atOnce} slow each other, and past {@code most} one is turned away. */
final class EmulatedArchive {
  private final SharedRate<Object> fetches;
  private final int most;
  private long done;

  EmulatedArchive(Agenda agenda, double atOnce, int most) {
    this.fetches = new SharedRate<>(agenda, n -> Math.min(1, atOnce / n));
    this.most = most;
  }

  /** Fetches, which alone takes so long; false where it is turned away. */
  boolean fetch(Object who, double micros, Runnable then) {
    if (fetches.size() >= most) {
      return false;
    }
    done++;
    fetches.begin(who, micros, then);
    return true;
  }

  void drop(Object who) {
    fetches.drop(who);
  }

  long done() {
    return done;
  }
}
