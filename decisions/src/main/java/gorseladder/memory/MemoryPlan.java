package gorseladder.memory;

/**
 * Divides the memory limit of a dispatcher among everything that it can be made to hold: the Java heap, the threads of
 * connections, the threads that write, and within the heap the bytes kept for messages, the connections, the functions
 * remembered and the lines of the worker list.
 *
 * <p>The parts add up to at most the limit, whatever clients, runners and peers send. Without this sum each part has a
 * limit of its own and together they exceed that of the process. The fixed parts are sizes of resident memory; a test
 * measures them. The drawback: a process with little memory serves few connections at a time.
 *
 * <p>Pure functions; thread safe. Sizes are bytes.
 *
 * @param limit the memory that the process may use
 * @param heap maximum size of the Java heap
 * @param messageBytes memory for requests, calls and answers that are held
 * @param connectionThreads threads for connections of clients and to runners together
 * @param clientThreads the part of these threads that connections of clients may use
 * @param writerThreads threads that write to peers that read slowly
 * @param maxListLineBytes longest line of the change log that is read
 * @param maxFunctions functions that are remembered
 * @param maxSentIds ids of calls that may have run that are remembered
 */
public record MemoryPlan(
    long limit,
    long heap,
    long messageBytes,
    int connectionThreads,
    int clientThreads,
    int writerThreads,
    int maxListLineBytes,
    int maxFunctions,
    int maxSentIds) {
  /** The least limit with which a dispatcher starts. */
  public static final long MIN_LIMIT = 80L << 20;

  /** The Java machine without heap and connections: its code, class data, compiled methods and own threads. */
  private static final long FIXED_BYTES = 52L << 20;
  /** A connection's thread outside the heap: the touched part of its stack and the system's and machine's records. */
  private static final long THREAD_BYTES = 120L << 10;
  /** A writer's thread, with the bytes of its current write on the heap and outside it. */
  private static final long WRITER_BYTES = THREAD_BYTES + (32L << 10);
  /** A connection on the heap: its thread, socket, parser, buffers and queue. */
  private static final long CONNECTION_HEAP_BYTES = 10L << 10;
  /** Live heap of a dispatcher that holds nothing. */
  private static final long IDLE_HEAP_BYTES = 5L << 20;

  private static final long FUNCTION_BYTES = 700;
  private static final long SENT_ID_BYTES = 32;
  /** The parsed entries of a list, for each byte of its line. */
  private static final int LIST_MEMORY_FACTOR = 8;

  private static final int MAX_WRITERS = 64;
  private static final int MIN_WRITERS = 8;
  private static final int MAX_FUNCTIONS = 1 << 20;
  private static final int MAX_SENT_IDS = 1 << 17;

  /** Thrown if the limit is too low for a dispatcher. */
  public static final class TooLittleMemoryException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private TooLittleMemoryException(long limit) {
      super((limit >> 20) + " MB are too little, the least is " + (MIN_LIMIT >> 20) + " MB");
    }
  }

  /**
   * The maximum size of the heap for a memory limit; the launcher of the Java machine sets the same. It grows with the
   * limit, so that a long worker list needs nothing but a higher limit.
   */
  public static long heapFor(long limit) {
    return limit * 7 / 24 - (8L << 20);
  }

  /**
   * Divides the limit.
   *
   * @param maxHeap maximum size of the heap with which the Java machine was started
   * @throws TooLittleMemoryException if the limit is below {@link #MIN_LIMIT}
   */
  public static MemoryPlan of(long limit, long maxHeap) {
    if (limit < MIN_LIMIT) {
      throw new TooLittleMemoryException(limit);
    }
    long heap = Math.min(maxHeap, heapFor(limit));
    long outside = limit - FIXED_BYTES - heap;
    int writers = (int) Math.max(MIN_WRITERS, Math.min(MAX_WRITERS, outside / 8 / WRITER_BYTES));
    int threads = (int) ((outside - writers * WRITER_BYTES) / THREAD_BYTES);
    long functionBytes = heap / 16;
    long sentIdBytes = heap / 64;
    // After a full collection the live objects are in the old generation, two thirds of the heap; a
    // tenth of it stays
    // free, so that collections do not follow each other.
    long live = heap * 2 / 3 * 9 / 10;
    long left =
        live - IDLE_HEAP_BYTES - functionBytes - sentIdBytes - threads * CONNECTION_HEAP_BYTES;
    return new MemoryPlan(
        limit,
        heap,
        Math.max(heap / 16, Math.min(heap / 4, left)),
        threads,
        threads * 2 / 3,
        writers,
        (int) Math.min(4 << 20, heap / 3 / LIST_MEMORY_FACTOR),
        (int) Math.min(MAX_FUNCTIONS, functionBytes / FUNCTION_BYTES),
        (int) Math.min(MAX_SENT_IDS, sentIdBytes / SENT_ID_BYTES));
  }

  /** The sum of all parts at their limits. */
  public long total() {
    return FIXED_BYTES + heap + connectionThreads * THREAD_BYTES + writerThreads * WRITER_BYTES;
  }

  /** The plan in one line, for the log. */
  public String describe() {
    return (limit >> 20) + " MB: heap " + (heap >> 20) + " MB, messages " + (messageBytes >> 10)
        + " KB, " + connectionThreads + " threads for connections, " + clientThreads
        + " of them for clients, " + writerThreads + " writers, " + maxFunctions + " functions";
  }
}
