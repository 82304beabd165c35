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
  private static final List<WorkerCapacity> HOSTS = IntStream.range(0, 6)
      .mapToObj(i -> new WorkerCapacity("h" + i, 4_000, 9, 1))
      .toList();

  /** Office hours: silent until slot 32, then busy until 72. */
  private static int office(long slot) {
    return slot % 96 >= 32 && slot % 96 < 72 ? 60 : 0;
  }

  private static PlanMaker taught(int days) {
    PlanMaker maker = new PlanMaker(SLOTS, SETTINGS);
    maker.learn("office", new CopyProfile(500, 2, 0.2, 0.8));
    for (long slot = 0; slot < days * 96L + 32; slot++) {
      maker.plan(slot, Map.of("office", office(slot - 1)), 1, HOSTS);
      maker.observe(slot, Map.of("office", office(slot)));
    }
    return maker;
  }

  @Test
  void theFirstBusySlotOfADayIsPreparedAndTheOthersAreLeftAlone() {
    PlanMaker maker = taught(9);
    List<Order> orders = maker.plan(9 * 96 + 32, Map.of("office", 0), 1, HOSTS);
    assertEquals(1, orders.size());
    Order o = orders.get(0);
    assertEquals("office", o.placed().function());
    assertTrue(
        o.from() < -0.8 && o.from() > -30, "stands before the slot and not long: " + o.from());
    assertTrue(o.until() > 0);
    maker.observe(9 * 96 + 32, Map.of("office", 60));
    for (long slot = 9 * 96 + 33; slot < 9 * 96 + 72; slot++) {
      List<Order> warm = maker.plan(slot, Map.of("office", 60), 1, HOSTS);
      assertTrue(warm.size() <= 1
          && (warm.isEmpty() || warm.get(0).placed().netBenefit() < o.placed().netBenefit()));
      maker.observe(slot, Map.of("office", 60));
    }
  }

  @Test
  void nothingIsKnownNothingIsOrderedAndAHoleIsNoWarmth() {
    assertEquals(List.of(), new PlanMaker(SLOTS, SETTINGS).plan(0, Map.of(), 1, HOSTS));
    PlanMaker maker = taught(9);
    maker.observe(9 * 96 + 32, Map.of("office", 60));
    assertFalse(
        maker.plan(10 * 96 + 32, Map.of(), 1, HOSTS).isEmpty(),
        "a day of history is missing: what stands is not known");
  }

  /** A forecast that is wrong by ten times loses its budget by itself and earns it back once it is right. */
  @Test
  void aWrongForecastLosesItsBudget() {
    boolean[] wrong = {true};
    PlanMaker[] made = new PlanMaker[1];
    made[0] = new PlanMaker(SLOTS, SETTINGS, (f, slot) -> {
      boolean other = wrong[0] && slot % 2 == 1;
      return wrong[0]
          ? new Forecast(f, other ? 30 : 0, other ? 40 : 0, "wrong")
          : made[0].forecasts().forecast(f, slot);
    });
    PlanMaker maker = made[0];
    maker.learn("f", new CopyProfile(500, 2, 0.2, 0.8));
    int early = 0;
    int late = 0;
    for (long slot = 0; slot < 200; slot++) {
      int orders =
          maker.plan(slot, Map.of("f", slot % 2 == 1 ? 6 : 0), 1, HOSTS).size();
      early += slot < 24 && slot % 2 == 1 ? orders : 0;
      late += slot >= 150 && slot % 2 == 1 ? orders : 0;
      maker.observe(slot, Map.of("f", slot % 2 == 0 ? 6 : 0));
    }
    assertTrue(early > 0, "the wrong forecast was acted on at first");
    assertEquals(0, late);
    double lost = maker.confidence().occurrenceFactor("f");
    wrong[0] = false;
    for (long slot = 200; slot < 400; slot++) {
      maker.plan(slot, Map.of("f", slot % 2 == 1 ? 6 : 0), 1, HOSTS);
      maker.observe(slot, Map.of("f", slot % 2 == 0 ? 6 : 0));
    }
    assertTrue(
        maker.confidence().occurrenceFactor("f") > 0.7 && lost < 0.2,
        lost + " then " + maker.confidence().occurrenceFactor("f"));
  }
}
