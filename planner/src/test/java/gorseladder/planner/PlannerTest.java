package gorseladder.planner;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import gorseladder.config.exchange.Answer;
import gorseladder.config.exchange.Ask;
import gorseladder.config.exchange.LoadAhead;
import gorseladder.config.exchange.Seen;
import gorseladder.config.exchange.Worker;
import gorseladder.config.proto.PlannerSettings;
import gorseladder.store.history.HistoryRow;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PlannerTest {
  private static final long DAY_MINUTES = 1440;
  /** 2026-11-02 00:00 UTC in minutes, a Monday. */
  private static final long START_MINUTE = 1_793_577_600L / 60;

  @TempDir
  Path dir;

  private double nowSeconds;

  private PlannerSettings settings() {
    return PlannerSettings.newBuilder()
        .setDataDirectory(dir.toString())
        .setSlotMinutes(15)
        .build();
  }

  private Planner planner() throws IOException {
    return new Planner(settings(), () -> (long) (nowSeconds * 1e6));
  }

  private static HistoryRow row(long minute, String function, long calls) {
    return new HistoryRow(minute, 1, function, "safe", "", calls, calls, 0, 0, 0, 0, 0, 0);
  }

  private static Ask.Builder ask(int edge, String history, long from, HistoryRow... rows) {
    Ask.Builder ask = Ask.newBuilder()
        .setOrdinal(edge)
        .setEdges(2)
        .setBoot(1)
        .setHistory(history)
        .setAsked(from)
        .setFrom(from)
        .setNext(from + rows.length)
        .setCaughtUp(true);
    for (HistoryRow row : rows) {
      ask.addRow(ByteString.copyFrom(row.toBytes()));
    }
    return ask.addWorker(Worker.newBuilder().setName("w1").setWeight(1))
        .addWorker(Worker.newBuilder().setName("w2").setWeight(1));
  }

  /**
   * Ten days on which f is called from 9:00 to 9:15; the rows without calls show that the edge ran in the other slots.
   */
  private static HistoryRow[] tenDays() {
    List<HistoryRow> rows = new ArrayList<>();
    for (long day = 0; day < 10; day++) {
      for (long quarterHour = 0; quarterHour < 96; quarterHour++) {
        rows.add(row(
            START_MINUTE + day * DAY_MINUTES + quarterHour * 15, "f", quarterHour == 36 ? 120 : 0));
      }
    }
    return rows.toArray(new HistoryRow[0]);
  }

  private static Seen seen() {
    return Seen.newBuilder()
        .setFunction("f")
        .setCalls(0)
        .setMemoryMb(400)
        .setLanes(2)
        .setWorkUs(200_000)
        .setLoadUs(700_000)
        .build();
  }

  @Test
  void aPlanIsMadeJustBeforeTheSlotAndGivenToEachEdgeOnceWithOneOwner() throws IOException {
    nowSeconds = (START_MINUTE + 10 * DAY_MINUTES + 9 * 60) * 60 - 60;
    try (Planner planner = planner()) {
      planner.exchange(ask(0, "h0", 0, tenDays()).addSeen(seen()).build());
      planner.exchange(ask(1, "h1", 0).build());
      // An edge that has just started has no worker list yet.
      planner.exchange(ask(2, "h2", 0).clearWorker().build());
      nowSeconds += 20;
      planner.tick();
      assertFalse(planner.exchange(ask(0, "h0", 960).build()).hasPlan(), "too early");
      nowSeconds += 10;
      planner.tick();
      Answer first = planner.exchange(ask(0, "h0", 960).build());
      Answer second = planner.exchange(ask(1, "h1", 0).build());
      assertEquals(
          List.of("f"),
          first.getPlan().getItemList().stream()
              .map(item -> item.getFunction())
              .distinct()
              .toList());
      Answer third = planner.exchange(ask(2, "h2", 0).build());
      assertEquals(
          1,
          List.of(first, second, third).stream()
              .filter(a -> a.getPlan().getItem(0).getMine())
              .count());
      assertTrue(first.getPlan().getItem(0).getFromMs() > 0
          && first.getPlan().getItem(0).getFromMs() < 30_000);
      Ask sameVersion = ask(0, "h0", 960)
          .setEpoch(first.getPlan().getEpoch())
          .setVersion(first.getPlan().getVersion())
          .build();
      assertFalse(planner.exchange(sameVersion).hasPlan(), "the edge has the plan already");
    }
  }

  /** Rows count once even if they are sent twice, out of order or to a planner that was killed in between. */
  @Test
  void rowsCountOnce() throws IOException {
    nowSeconds = (START_MINUTE + 30) * 60;
    HistoryRow[] rows = {
      row(START_MINUTE, "f", 1), row(START_MINUTE + 1, "f", 2), row(START_MINUTE + 2, "f", 3)
    };
    try (Planner planner = planner()) {
      assertEquals(3, planner.exchange(ask(0, "h", 0, rows).build()).getWant());
      assertEquals(3, planner.exchange(ask(0, "h", 0, rows).build()).getWant(), "sent twice");
      assertEquals(
          3,
          planner.exchange(ask(0, "h", 7, rows).build()).getWant(),
          "not the rows that are wanted");
      assertEquals(3L, planner.state().get("rows"));
      Files.copy(dir.resolve("planner.mv"), dir.resolve("copy.mv"));
    }
    Files.move(
        dir.resolve("copy.mv"), dir.resolve("planner.mv"), StandardCopyOption.REPLACE_EXISTING);
    try (Planner planner = planner()) {
      assertEquals(3L, planner.state().get("rows"), "rows that were acknowledged survive a kill");
      assertEquals(2L, planner.state().get("epoch"));
      assertEquals(3, planner.exchange(ask(0, "h", 3).build()).getWant());
      assertEquals(
          0,
          planner.exchange(ask(0, "other", 5, rows).build()).getWant(),
          "a new history is read from its start");
      assertEquals(3, planner.exchange(ask(0, "other", 0, rows).build()).getWant());
      assertEquals(6L, planner.state().get("rows"));
      Ask compacted =
          ask(0, "other", 1, row(START_MINUTE, "f", 6)).setAsked(3).setNext(4).build();
      assertEquals(4, planner.exchange(compacted).getWant());
      assertEquals(
          5L, planner.state().get("rows"), "compacted rows replace those from their number on");
    }
  }

  @Test
  void recordsOfLoadsAheadCountOnceAlsoOverLives() throws IOException {
    LoadAhead.Builder load = LoadAhead.newBuilder()
        .setWorker("w")
        .setFunction("f")
        .setOrderedAt(START_MINUTE * 60_000_000L)
        .setLoadUs(700_000)
        .setMegabyteSeconds(1024);
    try (Planner planner = planner()) {
      Ask.Builder ask = ask(0, "h", 0)
          .addLoad(load.setNumber(1).setFound(2).setSavedUs(900_000))
          .addLoad(load.setNumber(2).setFound(0).setSavedUs(0));
      assertEquals(2, planner.exchange(ask.build()).getLoadsKept());
      assertEquals(2, planner.exchange(ask.build()).getLoadsKept());
      assertEquals(
          1,
          planner
              .exchange(ask(0, "h", 0).setBoot(2).addLoad(load.setNumber(1)).build())
              .getLoadsKept());
      LoadAheadSummary summary = planner.account();
      assertEquals(3, summary.all().loads());
      assertEquals(2, summary.all().wasted());
      assertEquals(2, summary.byFunction().get("f").found());
      assertEquals(900_000, summary.all().savedMicros());
      assertEquals(3.0, summary.all().values().get("gb_seconds"));
    }
    assertEquals(3, Planner.account(dir).all().loads());
  }

  /** An invalid message is rejected as a whole and changes nothing. */
  @Test
  void badMessagesAreNamedAndNothingOfThemIsTaken() throws IOException {
    try (Planner planner = planner()) {
      Ask invalidRow = ask(0, "h", 0, row(START_MINUTE, "f", 1))
          .addRow(ByteString.copyFromUtf8("x"))
          .build();
      assertThrows(IllegalArgumentException.class, () -> planner.exchange(invalidRow));
      for (Ask.Builder invalidAsk : List.of(
          ask(-1, "h", 0),
          ask(0, "a b", 0),
          ask(0, "h", 5).setNext(1),
          ask(0, "h", 0).addSeen(seen().toBuilder().setLanes(0)))) {
        assertThrows(IllegalArgumentException.class, () -> planner.exchange(invalidAsk.build()));
      }
      assertThrows(
          IllegalArgumentException.class,
          () -> planner.exchange(Ask.getDefaultInstance()),
          "a message without fields");
      assertEquals(0L, planner.state().get("rows"));
      assertEquals(List.of(), planner.state().get("edges"));
    }
  }

  /**
   * A planner waits with a plan until its edges have sent all rows it missed; slots in which no edge ran are skipped.
   */
  @Test
  void aPlannerThatWasAwayReadsWhatItMissedBeforeItPlans() throws IOException {
    nowSeconds = (START_MINUTE + 10 * DAY_MINUTES + 9 * 60) * 60 - 40;
    HistoryRow[] rows = tenDays();
    try (Planner planner = planner()) {
      planner.exchange(ask(0, "h0", 0, Arrays.copyOf(rows, 500))
          .setCaughtUp(false)
          .addSeen(seen())
          .build());
      nowSeconds += 15;
      planner.tick();
      assertEquals(0L, planner.state().get("version"), "not caught up");
      planner.exchange(
          ask(0, "h0", 500, Arrays.copyOfRange(rows, 500, rows.length)).build());
      planner.tick();
      assertEquals(1L, planner.state().get("version"));
      assertTrue((int) planner.state().get("holds") > 0);
    }
  }

  @Test
  void slotsFollowTheLocalDayAlsoWhenTheClocksChange() {
    LocalSlots slots = new LocalSlots(ZoneId.of("Europe/Stockholm"), 15);
    ZoneId zone = ZoneId.of("Europe/Stockholm");
    for (LocalDateTime day : List.of(
        LocalDateTime.of(2026, 3, 28, 9, 0),
        LocalDateTime.of(2026, 3, 29, 9, 0),
        LocalDateTime.of(2026, 10, 25, 9, 0))) {
      long slot = slots.slotAt(day.atZone(zone).toEpochSecond());
      assertEquals(36, Math.floorMod(slot, 96L), "the slot of nine o'clock stays the same");
      assertEquals(day.atZone(zone).toEpochSecond(), slots.startOf(slot));
    }
    long before = LocalDateTime.of(2026, 3, 29, 1, 45).atZone(zone).toEpochSecond();
    assertEquals(slots.slotAt(before) + 5, slots.slotAt(before + 900), "four slots are skipped");
    long second = LocalDateTime.of(2026, 10, 25, 2, 0).atZone(zone).toEpochSecond();
    assertEquals(slots.slotAt(second), slots.slotAt(second + 3600), "an hour occurs twice");
  }

  @Test
  void settingsAreCheckedWithLineAndField() throws IOException {
    Path file = dir.resolve("planner.txtpb");
    Files.writeString(
        file,
        "data_directory: \"x\"\nslot_minutes: 7\ntime_zone: \"Mars\"\ndate { name: \"t\" day: \"soon\" }\n");
    List<String> faults = PlannerFile.load(file).faults().stream()
        .map(f -> f.line() + " " + f.field())
        .toList();
    assertEquals(List.of("2 slot_minutes", "3 time_zone", "4 date"), faults);
    Files.writeString(file, "data_directory: \"x\"\ndate { name: \"t\" day: \"2026-12-18\" }\n");
    assertEquals(List.of(), PlannerFile.load(file).faults());
    Files.writeString(file, "no_such: 1\n");
    assertEquals(1, PlannerFile.load(file).faults().get(0).line());
  }
}
