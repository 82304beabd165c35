package gorseladder.forecast;

import java.util.Map;

/**
 * The told division of time into slots of a day, and the known dates. A slot is counted from the first slot of day 0;
 * day 0 is a told weekday. Days are those of the caller's calendar, so that a change to summer time shifts nothing
 * here: a day that is an hour short or long has its last slots empty or added to the last one.
 *
 * @param slotsPerDay slots in a day, 1 to 1440
 * @param firstWeekday the weekday of day 0, 0 to 6
 * @param dateNames what a known day is called, by its number; days of one name are expected to be alike
 */
public record SlotCalendar(int slotsPerDay, int firstWeekday, Map<Integer, String> dateNames) {
  public SlotCalendar {
    if (slotsPerDay < 1 || slotsPerDay > 1440 || firstWeekday < 0 || firstWeekday > 6) {
      throw new IllegalArgumentException("impossible slots: perDay or firstWeekday");
    }
    dateNames = Map.copyOf(dateNames);
  }

  /** The slot of the day. */
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

  /** The name of the known date, empty on a common day. */
  public String dateName(long slot) {
    return dateNames.getOrDefault(day(slot), "");
  }
}
