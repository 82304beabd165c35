package gorseladder.testbed;

import gorseladder.runtime.Clock;
import gorseladder.store.LedgerFiles;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.io.RandomAccessFile;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

/** Ledger files whose writes or reads can be delayed; they succeed after the delay. Thread-safe. */
public final class StallingDisk implements LedgerFiles {
  private long stalledUntil;
  private long readsStalledUntil;

  /** Delays all writes, also those in progress, until the given time has passed. */
  public synchronized void stallFor(long millis) {
    stalledUntil = Clock.micros() + millis * 1000;
  }

  /** Delays reads that start from now on until the given time has passed. */
  public synchronized void stallReadsFor(long millis) {
    readsStalledUntil = Clock.micros() + millis * 1000;
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

  private synchronized long readsStalled() {
    return readsStalledUntil - Clock.micros();
  }

  @Override
  public byte[] read(RandomAccessFile from, int at) throws IOException {
    try {
      Thread.sleep(Math.max(0, readsStalled()) / 1_000);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new InterruptedIOException();
    }
    return DEFAULT.read(from, at);
  }

  @Override
  public void write(FileChannel to, ByteBuffer bytes) throws IOException {
    awaitStall();
    DEFAULT.write(to, bytes);
  }
}
