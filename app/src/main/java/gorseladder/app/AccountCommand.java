package gorseladder.app;

import gorseladder.planner.LoadAheadSummary;
import gorseladder.planner.Planner;
import gorseladder.wire.json.Json;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code account DIR}: prints what loads ahead cost and saved, from the data directory of a stopped planner. */
@Command(
    name = "account",
    mixinStandardHelpOptions = true,
    description =
        "Print what loads ahead cost and saved, a line of JSON for each function and one for all, from the folder of a "
            + "stopped planner. A running one answers GET /v1/account.")
final class AccountCommand implements Callable<Integer> {
  @Parameters(paramLabel = "DIR", description = "The data_directory of the planner.")
  private Path directory;

  @Override
  public Integer call() throws IOException {
    if (!Files.exists(directory.resolve("planner.mv"))) {
      System.err.println("gorseladder: " + directory + " holds no planner's store");
      return Main.EXIT_BAD_USAGE;
    }
    LoadAheadSummary summary = Planner.account(directory);
    summary.byFunction().forEach((function, totals) -> print(function, totals));
    print("", summary.all());
    return Main.EXIT_OK;
  }

  private static void print(String function, LoadAheadSummary.Totals totals) {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put(function.isEmpty() ? "all" : "function", function.isEmpty() ? true : function);
    out.putAll(totals.values());
    System.out.println(Json.write(out));
  }
}
