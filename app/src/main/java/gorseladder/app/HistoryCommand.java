package gorseladder.app;

import gorseladder.store.history.History;
import gorseladder.store.history.HistoryRow;
import gorseladder.wire.json.Json;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code history DIR}: the rows of a history that no edge holds open. */
@Command(
    name = "history",
    mixinStandardHelpOptions = true,
    description =
        "Print the history of a stopped edge, a line of JSON for each row, then a line with the number to go on from.")
final class HistoryCommand implements Callable<Integer> {
  @Parameters(paramLabel = "DIR", description = "The folder: data_directory/history of an edge.")
  private Path directory;

  @Option(
      names = "--from",
      defaultValue = "0",
      description = "The number to begin at (default ${DEFAULT-VALUE}).")
  private long from;

  @Override
  public Integer call() throws IOException {
    if (!Files.exists(directory.resolve("identity"))) {
      System.err.println("gorseladder: " + directory + " holds no history");
      return Main.BAD_USAGE;
    }
    try (History history = History.open(directory, History.Bounds.DEFAULT)) {
      History.Batch batch = history.read(from, Integer.MAX_VALUE);
      batch.rows().forEach(row -> System.out.println(Json.write(line(row))));
      Map<String, Object> end = new LinkedHashMap<>();
      end.put("history", history.identity());
      end.put("from", batch.from());
      end.put("next", batch.next());
      System.out.println(Json.write(end));
    }
    return Main.GOOD;
  }

  private static Map<String, Object> line(HistoryRow r) {
    Map<String, Object> line = new LinkedHashMap<>();
    line.put("from", java.time.Instant.ofEpochSecond(r.startMinute() * 60).toString());
    line.put("minutes", r.minutes());
    line.put("function", r.function());
    line.put("class", r.requestClass());
    line.put("tenant", r.tenant());
    line.put("calls", r.calls());
    line.put("found", r.found());
    line.put("began", r.began());
    line.put("awaited", r.awaited());
    line.put("refused", r.refused());
    line.put("failed", r.failed());
    line.put("loads", r.loads());
    line.put("load_us", r.loadMicros());
    return line;
  }
}
