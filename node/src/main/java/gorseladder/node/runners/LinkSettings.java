package gorseladder.node.runners;

import gorseladder.runtime.ThreadCache;
import java.util.concurrent.Executor;
import java.util.concurrent.Semaphore;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * What every link is told. Times are microseconds.
 *
 * @param idle how long a connection may carry nothing, at most
 * @param multiplex calls on one connection at the most
 * @param mostAnswer bytes of an answer's body at the most
 * @param answerBytes counts what a new connection has this process keep
 * @param descriptors descriptors left for all links together
 * @param channels makes what a connection is opened on
 */
record LinkSettings(
    long connect,
    long idle,
    int multiplex,
    int mostAnswer,
    Semaphore descriptors,
    ChannelSource channels,
    ThreadCache threads,
    Executor writers,
    Closes closes,
    Supplier<AnswerBytes> answerBytes,
    Consumer<String> log) {

  /** Counts how connections ended. */
  interface Closes {
    void count(boolean everOpen, String why);
  }
}
