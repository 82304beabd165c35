package gorseladder.scale;

import java.lang.management.ManagementFactory;

/** The heap of this process. */
final class Heap {
  private Heap() {}

  /** Bytes reachable, after a collection asked for twice. */
  static long used() {
    System.gc();
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }
}
