package gorseladder.edge.runners;

/**
 * What the runner side is told; times in microseconds.
 *
 * @param mayDuplicate two attempts of a call may be out at a time
 */
public record RunnerSettings(
    int edge,
    long connect,
    long order,
    long connectionIdle,
    long unsafeConnectionIdle,
    int maxAnswerBytes,
    boolean mayDuplicate) {}
