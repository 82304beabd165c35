package gorseladder.edge;

import gorseladder.runtime.Threads;
import gorseladder.store.LedgerFiles;
import java.util.concurrent.ThreadFactory;

/**
 * What an edge has of its machine; tests give one that fails.
 *
 * @param ledgerFiles where the ledger is kept
 * @param clientThreads makes the threads that serve connections of clients
 * @param attemptThreads makes the threads that carry attempts and orders to runners
 */
public record EdgeSystem(
    LedgerFiles ledgerFiles, ThreadFactory clientThreads, ThreadFactory attemptThreads) {
  /** The machine as it is, with threads of that stack. */
  public static EdgeSystem defaults(int stackBytes) {
    return new EdgeSystem(
        LedgerFiles.DEFAULT,
        Threads.factory("webhook", stackBytes),
        Threads.factory("attempt", stackBytes));
  }
}
