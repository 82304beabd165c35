package gorseladder.edge;

import gorseladder.runtime.Threads;
import gorseladder.store.LedgerFiles;
import java.util.concurrent.ThreadFactory;

/**
 * The file system and the threads that an edge uses; tests pass ones that fail.
 *
 * @param ledgerFiles file operations of the ledger
 * @param clientThreads creates the threads that serve client connections
 * @param attemptThreads creates the threads that carry attempts and load orders to runners
 */
public record EdgeSystem(
    LedgerFiles ledgerFiles, ThreadFactory clientThreads, ThreadFactory attemptThreads) {
  /** The real file system, and threads with the given stack size. */
  public static EdgeSystem defaults(int stackBytes) {
    return new EdgeSystem(
        LedgerFiles.DEFAULT,
        Threads.factory("webhook", stackBytes),
        Threads.factory("attempt", stackBytes));
  }
}
