package gorseladder.planner;

import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.TextFormatParseInfoTree;
import gorseladder.config.Address;
import gorseladder.config.Fault;
import gorseladder.config.Networks;
import gorseladder.config.TextFile;
import gorseladder.config.proto.KnownDate;
import gorseladder.config.proto.PlannerSettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.LocalDate;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Loads the settings of a planner and reports every fault in them. */
public final class PlannerFile {
  private static final Descriptor TYPE = PlannerSettings.getDescriptor();

  private final String file;
  private final List<Fault> faults = new ArrayList<>();
  private PlannerSettings settings = PlannerSettings.getDefaultInstance();
  private TextFormatParseInfoTree parseTree;

  private PlannerFile(String file) {
    this.file = file;
  }

  /** Reads and checks a file; its settings may be used only if there are no faults. */
  public static PlannerFile load(Path path) {
    PlannerFile loaded = new PlannerFile(path.toString());
    try {
      PlannerSettings.Builder builder = PlannerSettings.newBuilder();
      loaded.parseTree =
          TextFile.parse(loaded.file, Files.readString(path), builder, loaded.faults);
      if (loaded.faults.isEmpty()) {
        loaded.settings = builder.build();
        loaded.check();
      }
    } catch (IOException e) {
      loaded.faults.add(new Fault(loaded.file, 0, "", "cannot be read: " + e));
    }
    loaded.faults.sort(Comparator.comparingInt(Fault::line));
    return loaded;
  }

  /** The settings as read. */
  public PlannerSettings settings() {
    return settings;
  }

  /** All faults in the order of their lines. */
  public List<Fault> faults() {
    return List.copyOf(faults);
  }

  private void require(boolean condition, String field, int index, String reason) {
    if (!condition) {
      var locations = parseTree.getLocations(TYPE.findFieldByName(field));
      faults.add(new Fault(
          file, index < locations.size() ? locations.get(index).getLine() + 1 : 0, field, reason));
    }
  }

  private static boolean parses(Runnable parse) {
    try {
      parse.run();
      return true;
    } catch (IllegalArgumentException | DateTimeException e) {
      return false;
    }
  }

  private void check() {
    PlannerSettings s = settings;
    require(
        parses(() -> Address.parse(s.getListen())),
        "listen",
        0,
        "is not a numeric address with a port");
    require(!s.getDataDirectory().isEmpty(), "data_directory", 0, "is needed");
    require(parses(() -> ZoneId.of(s.getTimeZone())), "time_zone", 0, "is no time zone");
    require(
        s.getSlotMinutes() > 0 && 1440 % Math.max(1, s.getSlotMinutes()) == 0,
        "slot_minutes",
        0,
        "must divide a day");
    require(
        s.getSlotMinutes() * 60_000L >= 5 * s.getKeepAliveMs(),
        "slot_minutes",
        0,
        "must be five keep-alives or more");
    require(
        s.getKeepDays() >= 1 && s.getKeepDays() <= 3660, "keep_days", 0, "must be from 1 to 3660");
    require(s.getKeepAliveMs() >= 100, "keep_alive_ms", 0, "must be 100 or more");
    require(s.getRunnerMemoryMb() >= 0, "runner_memory_mb", 0, "must not be negative");
    require(s.getArchiveLoadsPerS() > 0, "archive_loads_per_s", 0, "must be above 0");
    require(s.getOrdersPerPlan() >= 0, "orders_per_plan", 0, "must not be negative");
    require(s.getFetchPrice() >= 0, "fetch_price", 0, "must not be negative");
    require(s.getGigabyteSecondPrice() >= 0, "gigabyte_second_price", 0, "must not be negative");
    require(s.getOrderPrice() >= 0, "order_price", 0, "must not be negative");
    require(s.getStackBytes() >= 65_536, "stack_bytes", 0, "must be 65536 or more");
    require(s.getEdgeSilentMs() >= 1_000, "edge_silent_ms", 0, "must be 1000 or more");
    for (int i = 0; i < s.getDateCount(); i++) {
      KnownDate d = s.getDate(i);
      require(
          !d.getName().isEmpty() && parses(() -> LocalDate.parse(d.getDay())),
          "date",
          i,
          "needs a name and a day as 2026-12-18");
    }
    for (int i = 0; i < s.getAllowNetworkCount(); i++) {
      String network = s.getAllowNetwork(i);
      require(
          parses(() -> new Networks(List.of(network))),
          "allow_network",
          i,
          "is not an address or network");
    }
  }
}
