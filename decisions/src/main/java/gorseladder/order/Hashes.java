package gorseladder.order;

/** Hash functions of the shared order. Dispatchers agree on an order only if their versions compute the same hashes. */
final class Hashes {
  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long SPLITMIX_INCREMENT = 0x9e3779b97f4a7c15L;

  private Hashes() {}

  /** A 64-bit hash of a name: FNV-1a over its characters, then mixed. With 32 bits collisions would be frequent. */
  static long ofName(String name) {
    long hash = FNV_OFFSET_BASIS;
    for (int i = 0; i < name.length(); i++) {
      hash = (hash ^ name.charAt(i)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /** The finalizer of SplitMix64 (Steele, Lea, Flood 2014). */
  static long mix(long value) {
    long mixed = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
    return mixed ^ mixed >>> 31;
  }

  /** Derives the hash with the given index, for independent draws from one hash. */
  static long derive(long hash, int index) {
    return mix(hash + index * SPLITMIX_INCREMENT);
  }

  /** Maps a hash to a point on the circle of 2^63 points. */
  static long circlePoint(long hash) {
    return hash & Long.MAX_VALUE;
  }
}
