package gorseladder.edge.runners;

/**
 * Settings of the runner connections; times in microseconds.
 *
 * @param unsafeConnectionIdleLimit as {@code connectionIdleLimit}, for calls of an unsafe class
 * @param mayDuplicate two attempts of a call may be in progress at a time
 */
public record RunnerSettings(
    int edgeOrdinal,
    long connectTimeout,
    long orderTimeout,
    long connectionIdleLimit,
    long unsafeConnectionIdleLimit,
    int maxAnswerBytes,
    boolean mayDuplicate) {}
