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

/** {@code bench idle}: what an open connection that carries nothing costs an edge. */
@Command(
    name = "idle",
    mixinStandardHelpOptions = true,
    description = "Memory and threads of idle client connections.")
final class IdleBench implements Runnable {
  private static final int MOST = 1_800;

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
      long[] before = status(pid);
      for (int count : new int[] {600, 1_200, MOST}) {
        while (open.size() < count) {
          open.add(new Socket("127.0.0.1", fleet.edgeAddress(0).getPort()));
        }
        Thread.sleep(1_500);
        long[] after = status(pid);
        System.out.printf(
            Locale.ROOT,
            "%d idle connections: %.1f KiB resident and %.2f threads each%n",
            count,
            (double) (after[0] - before[0]) / count,
            (double) (after[1] - before[1]) / count);
      }
      for (Socket s : open) {
        s.close();
      }
    } catch (IOException | InterruptedException | DayScript.BadScript e) {
      throw new IllegalStateException(e);
    }
  }

  /** Resident KiB and threads of a process, as the system counts them. */
  private static long[] status(long pid) throws IOException {
    long[] found = new long[2];
    for (String line : Files.readAllLines(Path.of("/proc", Long.toString(pid), "status"))) {
      if (line.startsWith("VmRSS:")) {
        found[0] = Long.parseLong(line.replaceAll("\\D", ""));
      } else if (line.startsWith("Threads:")) {
        found[1] = Long.parseLong(line.replaceAll("\\D", ""));
      }
    }
    return found;
  }
}
