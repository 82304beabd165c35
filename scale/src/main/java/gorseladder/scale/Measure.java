package gorseladder.scale;

/** What a cell of a scale run measures. Costs are of the processor, not of the clock on the wall. */
public enum Measure {
  /** Request, answer and sweeps, over all calls of the cell. */
  CALL_MICROS("processor a call", "us"),
  /** The request alone, first call of a function at a dispatcher, median of the wall clock. */
  NEW_FUNCTION_MICROS("request, new function, p50", "us"),
  /** The request alone, function known before, median of the wall clock. */
  KNOWN_FUNCTION_MICROS("request, known function, p50", "us"),
  /** One line of the change log about one worker: parsing and router. */
  CHANGE_MICROS("processor a change of one worker", "us"),
  /** The whole list as one line, for each worker in it. */
  LIST_MICROS_A_WORKER("processor a worker of a whole list", "us"),
  EXAMINED_A_CALL("workers examined a call", "workers"),
  EXAMINED_A_CHANGE("workers examined a change", "workers"),
  /** Calls that found nobody among their candidates, of a thousand. */
  FALL_THROUGHS("calls that fell through to the fleet", "in 1000"),
  BYTES_A_WORKER("heap a worker", "bytes"),
  BYTES_A_FUNCTION("heap a function met", "bytes"),
  CONTROL_BYTES_PER_SECOND("control bytes in", "bytes/s"),
  MESSAGES_OUT_PER_SECOND("messages out", "messages/s"),
  /** From the first dispatcher's turn to the last one's, all on one thread. */
  IN_FORCE_MILLIS("a change handled by all", "ms"),
  /** Largest share of first places over the share that the weight gives; far above 1 where calls are few. */
  FIRST_PLACE_PEAK("largest share of first places", "times its weight's share"),
  CONNECTIONS_PER_SECOND("workers newly contacted, all dispatchers", "connections/s"),
  START_SECONDS("start until live", "s"),
  RESIDENT_MEGABYTES("resident memory, live", "MB"),
  IDLE_CORE_PERCENT("idle", "% of a core"),
  LIST_IN_FORCE_MILLIS("a whole new list in force everywhere", "ms"),
  CHANGE_IN_FORCE_MILLIS("a change of one worker in force everywhere", "ms");

  private final String title;
  private final String unit;

  Measure(String title, String unit) {
    this.title = title;
    this.unit = unit;
  }

  /** Title and unit for tables and plots. */
  public String title() {
    return title + ", " + unit;
  }
}
