package gorseladder.emulator;

/**
 * The archive that runners fetch functions from. Up to {@code fullSpeedFetches} concurrent fetches run at full speed,
 * more slow each other down; from {@code maxFetches} on a new fetch is rejected.
 */
final class EmulatedArchive {
  private final ProcessorSharing<Object> fetches;
  private final int maxFetches;
  private long fetchCount;

  EmulatedArchive(EventScheduler scheduler, double fullSpeedFetches, int maxFetches) {
    this.fetches = new ProcessorSharing<>(scheduler, n -> Math.min(1, fullSpeedFetches / n));
    this.maxFetches = maxFetches;
  }

  /**
   * Starts a fetch.
   *
   * @param fetchMicros duration at full speed
   * @return whether the fetch was accepted
   */
  boolean fetch(Object key, double fetchMicros, Runnable onDone) {
    if (fetches.size() >= maxFetches) {
      return false;
    }
    fetchCount++;
    fetches.start(key, fetchMicros, onDone);
    return true;
  }

  void cancel(Object key) {
    fetches.remove(key);
  }

  long fetchCount() {
    return fetchCount;
  }
}
