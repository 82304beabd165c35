package gorseladder.soak;

/** The classes of calls in a soak, named as in its settings. */
enum CallClass {
  SAFE("pure"),
  KEYED("token"),
  UNSAFE("side_effect");

  /** Runners drop repeats of a keyed call for this long, in microseconds. */
  static final long REPEAT_WINDOW_MICROS = 600_000;

  /** Its effect in the platform's settings. */
  final String effect;

  CallClass(String effect) {
    this.effect = effect;
  }

  String label() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
