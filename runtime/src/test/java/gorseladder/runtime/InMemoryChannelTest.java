package gorseladder.runtime;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class InMemoryChannelTest {
  private static final int ROUNDS = 1_000;
  private static final long JOIN_TIMEOUT_MILLIS = 20_000;

  /** Guards against a deadlock between an interrupted reader and a thread that closes the channel. */
  @Test
  void anInterruptedReaderAndACloseBothEnd() throws Exception {
    for (int i = 0; i < ROUNDS; i++) {
      InMemoryChannel channel = new InMemoryChannel((from, bytes) -> {});
      Thread reader = start(() -> channel.read(ByteBuffer.allocate(1)));
      while (reader.getState() != Thread.State.WAITING) {
        TimeUnit.MICROSECONDS.sleep(10);
      }
      Thread closer = start(channel::close);
      reader.interrupt();
      reader.join(JOIN_TIMEOUT_MILLIS);
      closer.join(JOIN_TIMEOUT_MILLIS);
      assertFalse(reader.isAlive() || closer.isAlive(), "still there in round " + i);
    }
  }

  private interface Step {
    void run() throws IOException;
  }

  private static Thread start(Step step) {
    return Threads.start("step", 256 << 10, () -> {
      try {
        step.run();
      } catch (IOException e) {
        // Expected: the channel was closed.
      }
    });
  }
}
