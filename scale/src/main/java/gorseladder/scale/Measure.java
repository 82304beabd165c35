package gorseladder.scale;

/** What a cell of a scale run measures. Costs are processor time unless said otherwise. */
public enum Measure {
  /** Processor time of requests, answers and router sweeps, per call. */
  CALL_MICROS("processor a call", "us"),
  /** Median elapsed time of the request alone, for the first call of a function at a dispatcher. */
  NEW_FUNCTION_MICROS("request, new function, p50", "us"),
  /** Median elapsed time of the request alone, for later calls of a function. */
  KNOWN_FUNCTION_MICROS("request, known function, p50", "us"),
  /** Parsing and routing of a change log line about one worker. */
  CHANGE_MICROS("processor a change of one worker", "us"),
  /** Handling of the whole worker list as one line, per worker. */
  LIST_MICROS_A_WORKER("processor a worker of a whole list", "us"),
  EXAMINED_A_CALL("workers examined a call", "workers"),
  EXAMINED_A_CHANGE("workers examined a change", "workers"),
  /** Calls that found no worker among their candidates, per thousand. */
  FALL_THROUGHS("calls that fell through to the fleet", "in 1000"),
  BYTES_A_WORKER("heap a worker", "bytes"),
  BYTES_A_FUNCTION("heap a function met", "bytes"),
  CONTROL_BYTES_PER_SECOND("control bytes in", "bytes/s"),
  MESSAGES_OUT_PER_SECOND("messages out", "messages/s"),
  /** Time until all dispatchers have handled a change, one after the other on one thread. */
  IN_FORCE_MILLIS("a change handled by all", "ms"),
  /** Largest ratio of a worker's share of first places to its share of the weight; far above 1 with few calls. */
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
