package gorseladder.testbed.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.runtime.Clock;
import gorseladder.testbed.LagMeter;
import gorseladder.testbed.platform.FastCgiClient.Answer;
import gorseladder.testbed.platform.PlatformRunner.Reaction;
import gorseladder.wire.fastcgi.RecordWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against requests that are answered long after their time, or not at all, beside clients that send half
 * requests at full speed. Each of their records walked all connections for the oldest half request, on all threads at
 * once.
 */
class HalfRequestsTest extends DispatcherFixture {
  private static final int BAD_CLIENTS = 60;
  private static final int USUAL_CLIENTS = 8;
  private static final int OPEN_REQUESTS = 32;
  private static final int RECORD_HEADER_BYTES = 8;
  private static final long PLAY_MILLIS = 4_000;
  private static final long TIMEOUT_MILLIS = 1_500;
  /** A final answer may come half a second after its time, and 50 ms later on sockets. */
  private static final long MAX_LATE_MILLIS = 550;

  /** What the bad clients leave unfinished. */
  enum Shape {
    LONG_BODIES(15_000),
    SHORT_BODIES(2_000),
    HEADS_ONLY(0),
    ONE_BYTE_A_RECORD(200);

    private final int bodyBytes;

    Shape(int bodyBytes) {
      this.bodyBytes = bodyBytes;
    }

    /** Requests without the record that ends the body, or without those that end the parameters. */
    private byte[] requests() throws IOException {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      for (int number = 1; number <= OPEN_REQUESTS; number++) {
        Map<String, String> params =
            FastCgiClient.params("safe", id(number), FUNCTION, TIMEOUT_MILLIS);
        byte[] whole = RecordWriter.request(
            number, true, params, new byte[this == ONE_BYTE_A_RECORD ? 0 : bodyBytes]);
        int dropped = this == HEADS_ONLY ? 2 * RECORD_HEADER_BYTES : RECORD_HEADER_BYTES;
        all.write(Arrays.copyOf(whole, whole.length - dropped));
        for (int i = 0; this == ONE_BYTE_A_RECORD && i < bodyBytes; i++) {
          all.write(new byte[] {1, 5, 0, (byte) number, 0, 1, 0, 0, 'x'});
        }
      }
      return all.toByteArray();
    }
  }

  private final LagMeter lag = new LagMeter();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private volatile boolean stopping;

  @AfterEach
  void stopClients() {
    stopping = true;
    threads.shutdownNow();
    lag.close();
  }

  @ParameterizedTest
  @EnumSource(Shape.class)
  void usualRequestsAreAnsweredInTimeAndNoMemoryIsLeft(Shape shape) throws Exception {
    start(4, arrival -> Reaction.SERVE);
    byte[] requests = shape.requests();
    for (int i = 0; i < BAD_CLIENTS; i++) {
      threads.execute(() -> sendHalfRequests(requests));
    }
    List<Future<Integer>> usual = new ArrayList<>();
    for (int i = 0; i < USUAL_CLIENTS; i++) {
      int number = i;
      usual.add(threads.submit(() -> usualClient(number)));
    }
    int served = 0;
    for (Future<Integer> client : usual) {
      served += client.get();
    }
    assertTrue(served > 0, "nothing was served");
    stopping = true;
    assertTrue(
        within(5_000, () -> node.summary().contains(" 0 bytes kept")),
        () -> "memory is left: " + node.summary());
  }

  /** Sends one request after the other; returns how many were served. */
  private int usualClient(int number) throws Exception {
    int served = 0;
    long until = System.nanoTime() + PLAY_MILLIS * 1_000_000;
    try (FastCgiClient client = new FastCgiClient(node.address())) {
      for (int i = 1; System.nanoTime() < until; i++) {
        long sentAt = System.nanoTime();
        String id = id(1_000_000L * (number + 1) + i);
        client.send(i, FastCgiClient.params("safe", id, FUNCTION, TIMEOUT_MILLIS), body(i));
        Answer answer = client.await(i, 4 * TIMEOUT_MILLIS);
        assertTrue(answer != null, "request " + i + " got no answer");
        long tookMillis = (answer.at() - sentAt) / 1_000_000;
        long lagMillis = lag.callLagAt(Clock.micros()) / 1_000;
        assertTrue(
            tookMillis <= TIMEOUT_MILLIS + MAX_LATE_MILLIS + lagMillis,
            "request " + i + " was answered after " + tookMillis + " ms");
        served += answer.status() == 200 ? 1 : 0;
        Thread.sleep(20);
      }
    }
    return served;
  }

  private void sendHalfRequests(byte[] requests) {
    byte[] answers = new byte[4_096];
    while (!stopping) {
      try (Socket socket =
          new Socket(node.address().getAddress(), node.address().getPort())) {
        socket.setSoTimeout((int) TIMEOUT_MILLIS);
        socket.getOutputStream().write(requests);
        InputStream in = socket.getInputStream();
        for (int read = 0; read < OPEN_REQUESTS * RECORD_HEADER_BYTES; ) {
          int count = in.read(answers);
          read += count < 0 ? Integer.MAX_VALUE / 2 : count;
        }
      } catch (IOException e) {
        // It was turned away: the same again.
      }
    }
  }
}
