package gorseladder.runtime;

import java.io.IOException;

/**
 * Tries again what fails at the start because this machine lacks something for a moment: a descriptor, an address, a
 * buffer, a file that cannot be read.
 *
 * <p>Guards against a process that ends before it began, for what is over in a moment. It could harm where the want is
 * there to stay: the start then fails so much later. Pure of state; any thread.
 */
public final class Retry {
  private static final long PAUSE_MILLIS = 50;
  private static final int TRIES = 60;

  private Retry() {}

  /** Something that may fail. */
  public interface Call<T> {
    T call() throws IOException;
  }

  /** Tells failures that may be over in a moment. */
  public interface TransientFailure {
    boolean test(IOException failure);
  }

  /**
   * The call's result; tried for about three seconds.
   *
   * @throws IOException the first failure that does not pass, or the last one
   */
  public static <T> T whileTransient(TransientFailure isTransient, Call<T> call)
      throws IOException {
    for (int tries = 1; ; tries++) {
      try {
        return call.call();
      } catch (IOException e) {
        if (tries >= TRIES || !isTransient.test(e)) {
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
