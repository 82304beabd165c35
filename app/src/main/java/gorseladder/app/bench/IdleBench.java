package gorseladder.app.bench;

import gorseladder.testbed.TestFleet;
import gorseladder.testbed.script.DayScript;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import picocli.CommandLine.Command;

/** {@code bench idle}: memory and threads that an idle connection costs an edge. */
@Command(
    name = "idle",
    mixinStandardHelpOptions = true,
    description = "Memory and threads of idle client connections.")
final class IdleBench implements Runnable {
  private static final int MAX_CONNECTIONS = 1_800;

  @Override
  public void run() {
    List<Socket> open = new ArrayList<>();
    try (TestFleet fleet = new TestFleet(
        DayScript.parse("edges = 1; runners = 1;"),
        Files.createTempDirectory("gorseladder-bench-"),
        true,
        line -> {})) {
      long pid = fleet.edgeProcess(0).pid();
      Thread.sleep(1_500);
      long[] before = residentKibAndThreads(pid);
      for (int count : new int[] {600, 1_200, MAX_CONNECTIONS}) {
        while (open.size() < count) {
          open.add(new Socket("127.0.0.1", fleet.edgeAddress(0).getPort()));
        }
        Thread.sleep(1_500);
        long[] after = residentKibAndThreads(pid);
        System.out.printf(
            Locale.ROOT,
            "%d idle connections: %.1f KiB resident and %.2f threads each%n",
            count,
            (double) (after[0] - before[0]) / count,
            (double) (after[1] - before[1]) / count);
      }
      for (Socket socket : open) {
        socket.close();
      }
    } catch (IOException | InterruptedException | DayScript.BadScript e) {
      throw new IllegalStateException(e);
    }
  }

  /** Resident memory in KiB and number of threads of a process, from {@code /proc}. */
  private static long[] residentKibAndThreads(long pid) throws IOException {
    long[] values = new long[2];
    for (String line : Files.readAllLines(Path.of("/proc", Long.toString(pid), "status"))) {
      if (line.startsWith("VmRSS:")) {
        values[0] = Long.parseLong(line.replaceAll("\\D", ""));
      } else if (line.startsWith("Threads:")) {
        values[1] = Long.parseLong(line.replaceAll("\\D", ""));
      }
    }
    return values;
  }
}
