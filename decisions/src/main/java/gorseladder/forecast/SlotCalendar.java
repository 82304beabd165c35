package gorseladder.forecast;

import java.util.Map;

/**
 * Divides days into slots and names the known dates. Slots are counted from the first slot of day 0. Days are those of
 * the caller's calendar, so that a daylight-saving change shifts no slots here: on a day that is an hour short some
 * slots are empty, and on a day that is an hour long some slots are counted together.
 *
 * @param slotsPerDay slots in a day, 1 to 1440
 * @param firstWeekday the weekday of day 0, 0 to 6
 * @param dateNames names of known dates by day number; days with the same name are expected to be alike
 */
public record SlotCalendar(int slotsPerDay, int firstWeekday, Map<Integer, String> dateNames) {
  public SlotCalendar {
    if (slotsPerDay < 1 || slotsPerDay > 1440 || firstWeekday < 0 || firstWeekday > 6) {
      throw new IllegalArgumentException("slotsPerDay or firstWeekday is out of range");
    }
    dateNames = Map.copyOf(dateNames);
  }

  /** The slot within its day, from 0. */
  public int slotOfDay(long slot) {
    return (int) Math.floorMod(slot, (long) slotsPerDay);
  }

  /** The number of the day. */
  public int day(long slot) {
    return (int) Math.floorDiv(slot, (long) slotsPerDay);
  }

  /** The weekday, 0 to 6. */
  public int weekday(long slot) {
    return Math.floorMod(day(slot) + firstWeekday, 7);
  }

  /** The name of the known date, empty on an ordinary day. */
  public String dateName(long slot) {
    return dateNames.getOrDefault(day(slot), "");
  }
}
