package gorseladder.planner;

import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.time.ZonedDateTime;

/**
 * Slots of the days that people live by, in a time zone. Slots are counted from midnight of 1970-01-01, a Thursday. On
 * the day that skips an hour some slots do not occur; on the day that repeats one, its slots are met twice and count
 * together. Any thread.
 */
final class LocalSlots {
  private final ZoneId zone;
  private final int minutes;

  /** Slots of so many minutes, which divide a day. */
  LocalSlots(ZoneId zone, int minutes) {
    this.zone = zone;
    this.minutes = minutes;
  }

  int perDay() {
    return 24 * 60 / minutes;
  }

  /** The slot of a wall time in seconds since 1970. */
  long slot(long seconds) {
    ZonedDateTime t = Instant.ofEpochSecond(seconds).atZone(zone);
    return t.toLocalDate().toEpochDay() * perDay() + (t.getHour() * 60 + t.getMinute()) / minutes;
  }

  /**
   * When a slot begins, in seconds since 1970; the first time where it occurs twice, and where one is skipped the time
   * it is skipped to.
   */
  long begins(long slot) {
    LocalDateTime local = LocalDateTime.ofEpochSecond(slot * minutes * 60, 0, ZoneOffset.UTC);
    return local.atZone(zone).toEpochSecond();
  }

  /** The number of a day, as {@link gorseladder.forecast.SlotCalendar} counts them from these slots. */
  static int day(LocalDate date) {
    return (int) date.toEpochDay();
  }

  /** The weekday of day 0, Monday being 0. */
  static int firstWeekday() {
    return LocalDate.EPOCH.getDayOfWeek().getValue() - 1;
  }
}
