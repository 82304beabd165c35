package gorseladder.runtime;

import java.io.IOException;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.lang.management.MemoryUsage;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The memory that this process uses, as the system and the Java machine report it (proc(5), {@code status}; the
 * pools of {@link MemoryPoolMXBean}). Thread safe. Sizes are bytes.
 */
public final class ProcessMemory {
  private static final Path STATUS = Path.of("/proc/self/status");
  private static final String RESIDENT = "VmRSS:";
  private static final String PEAK = "VmHWM:";
  private static final String THREADS = "Threads:";
  private static final long KILOBYTE = 1 << 10;
  private static final int MEGABYTE_SHIFT = 20;

  private final long limit;

  /** Creates a reader of the memory of a process that may use the given number of bytes. */
  public ProcessMemory(long limit) {
    this.limit = limit;
  }

  /** Resident memory now; 0 if the system does not tell. */
  public long resident() {
    return statusValue(readStatus(), RESIDENT) * KILOBYTE;
  }

  /** Bytes of the heap that the last full collection left in use; 0 before the first one. */
  public static long liveHeap() {
    long live = 0;
    for (MemoryPoolMXBean pool : ManagementFactory.getMemoryPoolMXBeans()) {
      MemoryUsage afterCollection = pool.getCollectionUsage();
      live += afterCollection == null ? 0 : afterCollection.getUsed();
    }
    return live;
  }

  /** Resident memory against the limit, threads, and the pools of the Java machine in megabytes, for the log. */
  public String describe() {
    List<String> status = readStatus();
    StringBuilder text = new StringBuilder("memory: ");
    text.append(statusValue(status, RESIDENT) * KILOBYTE >> MEGABYTE_SHIFT).append(" MB of ");
    text.append(limit >> MEGABYTE_SHIFT).append(" MB resident, at most ");
    text.append(statusValue(status, PEAK) * KILOBYTE >> MEGABYTE_SHIFT).append(" MB so far, ");
    text.append(statusValue(status, THREADS)).append(" threads; heap ");
    text.append(Runtime.getRuntime().totalMemory() >> MEGABYTE_SHIFT).append(" of ");
    text.append(Runtime.getRuntime().maxMemory() >> MEGABYTE_SHIFT).append(" MB, live ");
    text.append(liveHeap() >> MEGABYTE_SHIFT).append(" MB");
    for (MemoryPoolMXBean pool : ManagementFactory.getMemoryPoolMXBeans()) {
      if (pool.getType() == MemoryType.NON_HEAP) {
        text.append(", ").append(pool.getName()).append(' ');
        text.append(pool.getUsage().getUsed() / KILOBYTE).append(" KB");
      }
    }
    for (BufferPoolMXBean pool : ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class)) {
      if (pool.getMemoryUsed() > 0) {
        text.append(", ").append(pool.getName()).append(" buffers ");
        text.append(pool.getMemoryUsed() / KILOBYTE).append(" KB");
      }
    }
    return text.toString();
  }

  private static List<String> readStatus() {
    try {
      return Files.readAllLines(STATUS);
    } catch (IOException e) {
      return new ArrayList<>();
    }
  }

  /** The number behind the name; 0 if there is none. */
  private static long statusValue(List<String> status, String name) {
    for (String line : status) {
      if (line.startsWith(name)) {
        String digits = line.replaceAll("[^0-9]", "");
        return digits.isEmpty() ? 0 : Long.parseLong(digits);
      }
    }
    return 0;
  }
}
