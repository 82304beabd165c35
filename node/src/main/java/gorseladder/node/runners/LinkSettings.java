package gorseladder.node.runners;

import gorseladder.runtime.ThreadCache;
import java.util.concurrent.Executor;
import java.util.concurrent.Semaphore;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Settings and resources that all links share. Times are microseconds.
 *
 * @param idleLimit idle time after which a connection is closed
 * @param maxRequestsPerConnection maximum number of requests in flight on a connection
 * @param maxAnswerBytes maximum size of the body of an answer
 * @param descriptors free descriptors of all links together
 * @param channels opens the channel of a connection
 * @param threads each connection occupies one
 * @param writers runs writes that may block
 * @param answerMemory creates the memory account of a new connection
 */
record LinkSettings(
    long connectTimeout,
    long idleLimit,
    int maxRequestsPerConnection,
    int maxAnswerBytes,
    Semaphore descriptors,
    ChannelSource channels,
    ThreadCache threads,
    Executor writers,
    CloseCounter closeCounter,
    Supplier<AnswerMemory> answerMemory,
    Consumer<String> warnings) {

  /** Counts how connections ended. */
  interface CloseCounter {
    void count(boolean everOpen, String why);
  }
}
