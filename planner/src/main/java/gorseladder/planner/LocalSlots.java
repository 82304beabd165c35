package gorseladder.planner;

import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.time.ZonedDateTime;

/**
 * Slots of local days in a time zone, counted from midnight of 1970-01-01, a Thursday. On the day that skips an hour
 * some slots do not occur; on the day that repeats an hour, its slots occur twice and count together. Thread safe.
 */
final class LocalSlots {
  private final ZoneId zone;
  private final int slotMinutes;

  /**
   * Creates slots in a time zone.
   *
   * @param slotMinutes length of a slot; divides a day
   */
  LocalSlots(ZoneId zone, int slotMinutes) {
    this.zone = zone;
    this.slotMinutes = slotMinutes;
  }

  int slotsPerDay() {
    return 24 * 60 / slotMinutes;
  }

  /** The slot at a time in seconds since 1970. */
  long slotAt(long epochSeconds) {
    ZonedDateTime time = Instant.ofEpochSecond(epochSeconds).atZone(zone);
    return time.toLocalDate().toEpochDay() * slotsPerDay()
        + (time.getHour() * 60 + time.getMinute()) / slotMinutes;
  }

  /**
   * The start of a slot in seconds since 1970. A slot that occurs twice starts at its first occurrence; a skipped slot
   * starts at the local time moved forward by the skipped hour.
   */
  long startOf(long slot) {
    LocalDateTime local = LocalDateTime.ofEpochSecond(slot * slotMinutes * 60, 0, ZoneOffset.UTC);
    return local.atZone(zone).toEpochSecond();
  }

  /** The number of a day as {@link gorseladder.forecast.SlotCalendar} counts days. */
  static int dayNumber(LocalDate date) {
    return (int) date.toEpochDay();
  }

  /** The weekday of day 0, Monday being 0. */
  static int firstWeekday() {
    return LocalDate.EPOCH.getDayOfWeek().getValue() - 1;
  }
}
