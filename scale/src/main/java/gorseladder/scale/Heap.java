package gorseladder.scale;

import java.lang.management.ManagementFactory;

/** The heap of this process. */
final class Heap {
  /** Only every fourth collection of the serial collector removes all dead objects; the others leave and count some. */
  private static final int COLLECTIONS = 4;

  private Heap() {}

  /** Bytes in use after all unreachable objects are collected. */
  static long reachableBytes() {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }
}
