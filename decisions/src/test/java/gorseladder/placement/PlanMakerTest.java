package gorseladder.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.forecast.Forecasts.Forecast;
import gorseladder.forecast.SlotCalendar;
import gorseladder.placement.PlanMaker.CopyProfile;
import gorseladder.placement.PlanMaker.Order;
import gorseladder.placement.PlanMaker.Settings;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class PlanMakerTest {
  private static final SlotCalendar SLOTS = new SlotCalendar(96, 0, Map.of());
  private static final Settings SETTINGS =
      new Settings(900, 10, 20, 50, new Prices(0.05, 0.002, 0));
  private static final List<WorkerCapacity> WORKERS = IntStream.range(0, 6)
      .mapToObj(i -> new WorkerCapacity("h" + i, 4_000, 9, 1))
      .toList();

  /** Calls in office hours: none before slot 32 of a day, then 60 in each slot until slot 72. */
  private static int officeCalls(long slot) {
    return slot % 96 >= 32 && slot % 96 < 72 ? 60 : 0;
  }

  private static PlanMaker makerAfter(int days) {
    PlanMaker maker = new PlanMaker(SLOTS, SETTINGS);
    maker.learn("office", new CopyProfile(500, 2, 0.2, 0.8));
    for (long slot = 0; slot < days * 96L + 32; slot++) {
      maker.plan(slot, Map.of("office", officeCalls(slot - 1)), 1, WORKERS);
      maker.observe(slot, Map.of("office", officeCalls(slot)));
    }
    return maker;
  }

  @Test
  void theFirstBusySlotOfADayIsPreparedAndTheOthersAreLeftAlone() {
    PlanMaker maker = makerAfter(9);
    List<Order> orders = maker.plan(9 * 96 + 32, Map.of("office", 0), 1, WORKERS);
    assertEquals(1, orders.size());
    Order order = orders.get(0);
    assertEquals("office", order.placed().function());
    assertTrue(
        order.from() < -0.8 && order.from() > -30,
        "loaded before the slot, but not long before: " + order.from());
    assertTrue(order.until() > 0);
    maker.observe(9 * 96 + 32, Map.of("office", 60));
    for (long slot = 9 * 96 + 33; slot < 9 * 96 + 72; slot++) {
      List<Order> whileBusy = maker.plan(slot, Map.of("office", 60), 1, WORKERS);
      assertTrue(whileBusy.size() <= 1
          && (whileBusy.isEmpty()
              || whileBusy.get(0).placed().netBenefit() < order.placed().netBenefit()));
      maker.observe(slot, Map.of("office", 60));
    }
  }

  @Test
  void nothingIsKnownNothingIsOrderedAndAHoleIsNoWarmth() {
    assertEquals(List.of(), new PlanMaker(SLOTS, SETTINGS).plan(0, Map.of(), 1, WORKERS));
    PlanMaker maker = makerAfter(9);
    maker.observe(9 * 96 + 32, Map.of("office", 60));
    assertFalse(
        maker.plan(10 * 96 + 32, Map.of(), 1, WORKERS).isEmpty(),
        "a day of history is missing, so which copies are loaded is unknown");
  }

  /** Forecasts of calls in slots that have none soon lead to no orders; once they are right, confidence returns. */
  @Test
  void aWrongForecastLosesItsBudget() {
    boolean[] sourceIsWrong = {true};
    PlanMaker[] makerHolder = new PlanMaker[1];
    makerHolder[0] = new PlanMaker(SLOTS, SETTINGS, (f, slot) -> {
      boolean oddSlot = sourceIsWrong[0] && slot % 2 == 1;
      return sourceIsWrong[0]
          ? new Forecast(f, oddSlot ? 30 : 0, oddSlot ? 40 : 0, "wrong")
          : makerHolder[0].forecasts().forecast(f, slot);
    });
    PlanMaker maker = makerHolder[0];
    maker.learn("f", new CopyProfile(500, 2, 0.2, 0.8));
    int earlyOrders = 0;
    int lateOrders = 0;
    for (long slot = 0; slot < 200; slot++) {
      int orders =
          maker.plan(slot, Map.of("f", slot % 2 == 1 ? 6 : 0), 1, WORKERS).size();
      earlyOrders += slot < 24 && slot % 2 == 1 ? orders : 0;
      lateOrders += slot >= 150 && slot % 2 == 1 ? orders : 0;
      maker.observe(slot, Map.of("f", slot % 2 == 0 ? 6 : 0));
    }
    assertTrue(earlyOrders > 0, "the wrong forecast leads to orders at first");
    assertEquals(0, lateOrders);
    double factorWhenWrong = maker.confidence().occurrenceFactor("f");
    sourceIsWrong[0] = false;
    for (long slot = 200; slot < 400; slot++) {
      maker.plan(slot, Map.of("f", slot % 2 == 1 ? 6 : 0), 1, WORKERS);
      maker.observe(slot, Map.of("f", slot % 2 == 0 ? 6 : 0));
    }
    assertTrue(
        maker.confidence().occurrenceFactor("f") > 0.7 && factorWhenWrong < 0.2,
        factorWhenWrong + " then " + maker.confidence().occurrenceFactor("f"));
  }
}
