package gorseladder.node;

import gorseladder.runtime.Clock;
import gorseladder.runtime.InMemoryChannel;
import gorseladder.wire.fastcgi.RecordParser;

/** The web server of a warm-up; counts the answered requests. Thread safe. */
final class WarmUpClient implements InMemoryChannel.Peer {
  private static final int HEADER_BYTES = 8;

  private long answered;

  @Override
  public synchronized void received(InMemoryChannel channel, byte[] bytes) {
    int at = 0;
    while (at + HEADER_BYTES <= bytes.length) {
      answered += bytes[at + 1] == RecordParser.END_REQUEST ? 1 : 0;
      int content = (bytes[at + 4] & 0xff) << 8 | bytes[at + 5] & 0xff;
      int padding = bytes[at + 6] & 0xff;
      at += HEADER_BYTES + content + padding;
    }
    notifyAll();
  }

  /** Waits until this many requests in total are answered; returns false if they are not by the deadline. */
  synchronized boolean await(long count, long deadline) throws InterruptedException {
    for (long left = deadline - Clock.micros(); answered < count && left > 0; ) {
      wait(left / 1_000 + 1);
      left = deadline - Clock.micros();
    }
    return answered >= count;
  }
}
