package gorseladder.edge.runners;

/**
 * What the runner side is told; times in microseconds.
 *
 * @param mayDuplicate two attempts of a call may be out at a time
 */
public record RunnerSettings(
    int edgeOrdinal,
    long connectTimeout,
    long orderTimeout,
    long connectionIdleLimit,
    long unsafeConnectionIdleLimit,
    int maxAnswerBytes,
    boolean mayDuplicate) {}
