package gorseladder.forecast;

import java.util.Map;

/**
 * The told division of time into slots of a day, and the known dates. A slot is counted from the first slot of day 0;
 * day 0 is a told weekday. Days are those of the caller's calendar, so that a change to summer time shifts nothing
 * here: a day that is an hour short or long has its last slots empty or added to the last one.
 *
 * @param perDay slots in a day, 1 to 1440
 * @param firstWeekday the weekday of day 0, 0 to 6
 * @param dates what a known day is called, by its number; days of one name are expected to be alike
 */
public record Slots(int perDay, int firstWeekday, Map<Integer, String> dates) {
  public Slots {
    if (perDay < 1 || perDay > 1440 || firstWeekday < 0 || firstWeekday > 6) {
      throw new IllegalArgumentException("impossible slots: perDay or firstWeekday");
    }
    dates = Map.copyOf(dates);
  }

  /** The slot of the day. */
  public int ofDay(long slot) {
    return (int) Math.floorMod(slot, (long) perDay);
  }

  /** The number of the day. */
  public int day(long slot) {
    return (int) Math.floorDiv(slot, (long) perDay);
  }

  /** The weekday, 0 to 6. */
  public int weekday(long slot) {
    return Math.floorMod(day(slot) + firstWeekday, 7);
  }

  /** The name of the known date, empty on a common day. */
  public String date(long slot) {
    return dates.getOrDefault(day(slot), "");
  }
}
