package gorseladder.scale;

import java.lang.management.ManagementFactory;

/** The heap of this process. */
final class Heap {
  /** The serial collector leaves some dead objects in place, and counts them, but for every fourth time. */
  private static final int COLLECTIONS = 4;

  private Heap() {}

  /** Bytes reachable, after collections that leave nothing dead. */
  static long used() {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }
}
