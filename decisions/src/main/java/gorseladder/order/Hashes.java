package gorseladder.order;

/** Hashes that every dispatcher computes alike, in every version of the program that is to agree with another. */
final class Hashes {
  private static final long OFFSET = 0xcbf29ce484222325L;
  private static final long PRIME = 0x100000001b3L;
  private static final long STEP = 0x9e3779b97f4a7c15L;

  private Hashes() {}

  /** 64 bits of a name: FNV-1a over its characters, then mixed. Unlike 32 bits, hardly ever equal for two names. */
  static long name(String name) {
    long hash = OFFSET;
    for (int i = 0; i < name.length(); i++) {
      hash = (hash ^ name.charAt(i)) * PRIME;
    }
    return mix(hash);
  }

  /** The finalizer of SplitMix64 (Steele, Lea, Flood 2014). */
  static long mix(long value) {
    long mixed = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
    return mixed ^ mixed >>> 31;
  }

  /** The hash with a number after another, for independent draws from one hash. */
  static long nth(long hash, int number) {
    return mix(hash + number * STEP);
  }

  /** A place on the circle of 2^63 places. */
  static long circle(long hash) {
    return hash & Long.MAX_VALUE;
  }
}
