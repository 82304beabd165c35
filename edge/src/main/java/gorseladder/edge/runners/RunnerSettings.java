package gorseladder.edge.runners;

/** What the runner side is told; times in microseconds. */
public record RunnerSettings(
    int edge,
    long connect,
    long order,
    long connectionIdle,
    long unsafeConnectionIdle,
    int maxAnswerBytes,
    int mostThreads,
    int stackBytes) {}
