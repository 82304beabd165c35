package gorseladder.testbed;

import gorseladder.runtime.Clock;
import gorseladder.store.LedgerFiles;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

/** A disk on which writes take long while it is told so, and succeed then. Any thread. */
public final class StallingDisk implements LedgerFiles {
  private long stalledUntil;

  /** Writes that begin or stand from now on end no earlier than after this time. */
  public synchronized void stallFor(long millis) {
    stalledUntil = Clock.micros() + millis * 1000;
  }

  private synchronized void awaitStall() throws IOException {
    try {
      for (long left = stalledUntil - Clock.micros();
          left > 0;
          left = stalledUntil - Clock.micros()) {
        wait(left / 1000 + 1);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new InterruptedIOException();
    }
  }

  @Override
  public void write(FileChannel to, ByteBuffer bytes) throws IOException {
    awaitStall();
    PLAIN.write(to, bytes);
  }
}
