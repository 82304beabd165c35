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

/** {@code history DIR}: prints the rows of a history that no edge has open. */
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
      return Main.EXIT_BAD_USAGE;
    }
    try (History history = History.open(directory, History.Bounds.DEFAULT)) {
      History.Batch batch = history.read(from, Integer.MAX_VALUE);
      batch.rows().forEach(row -> System.out.println(Json.write(fields(row))));
      Map<String, Object> summary = new LinkedHashMap<>();
      summary.put("history", history.identity());
      summary.put("from", batch.from());
      summary.put("next", batch.next());
      System.out.println(Json.write(summary));
    }
    return Main.EXIT_OK;
  }

  private static Map<String, Object> fields(HistoryRow row) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("from", java.time.Instant.ofEpochSecond(row.startMinute() * 60).toString());
    fields.put("minutes", row.minutes());
    fields.put("function", row.function());
    fields.put("class", row.requestClass());
    fields.put("tenant", row.tenant());
    fields.put("calls", row.calls());
    fields.put("found", row.found());
    fields.put("began", row.began());
    fields.put("awaited", row.awaited());
    fields.put("refused", row.refused());
    fields.put("failed", row.failed());
    fields.put("loads", row.loads());
    fields.put("load_us", row.loadMicros());
    return fields;
  }
}
