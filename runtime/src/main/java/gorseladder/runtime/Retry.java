package gorseladder.runtime;

import java.io.IOException;

/**
 * Retries operations at startup that fail because of a transient lack of a local resource: a descriptor, an address, a
 * buffer, a readable file.
 *
 * <p>Without retries a transient shortage would end the process at its start. If the shortage persists, the start fails
 * later. Stateless; thread safe.
 */
public final class Retry {
  private static final long PAUSE_MILLIS = 50;
  private static final int MAX_TRIES = 60;

  private Retry() {}

  /** An operation that may fail. */
  public interface Call<T> {
    T call() throws IOException;
  }

  /** Recognizes transient failures. */
  public interface TransientFailure {
    boolean test(IOException failure);
  }

  /**
   * Returns the result of the call, which is retried for about three seconds.
   *
   * @throws IOException the first failure that is not transient, or the last one
   */
  public static <T> T whileTransient(TransientFailure isTransient, Call<T> call)
      throws IOException {
    for (int tries = 1; ; tries++) {
      try {
        return call.call();
      } catch (IOException e) {
        if (tries >= MAX_TRIES || !isTransient.test(e)) {
          throw e;
        }
        pause();
      }
    }
  }

  private static void pause() throws IOException {
    try {
      Thread.sleep(PAUSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }
}
