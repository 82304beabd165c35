package gorseladder.planner;

import com.google.protobuf.InvalidProtocolBufferException;
import gorseladder.config.Address;
import gorseladder.config.Networks;
import gorseladder.config.exchange.Ask;
import gorseladder.config.proto.PlannerSettings;
import gorseladder.runtime.Clock;
import gorseladder.runtime.HttpConnection;
import gorseladder.runtime.HttpServer;
import gorseladder.runtime.Threads;
import gorseladder.wire.http1.BadMessage;
import gorseladder.wire.http1.BodyParser;
import gorseladder.wire.http1.Head;
import gorseladder.wire.http1.HeadWriter;
import gorseladder.wire.http1.HttpLimits;
import gorseladder.wire.json.Json;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The running planner: its sockets and its ticking. */
public final class PlannerServer implements Closeable {
  private static final Logger LOG = LoggerFactory.getLogger(PlannerServer.class);
  private static final long TICK_MILLIS = 200;
  private static final long IDLE = 120_000_000;
  private static final long ARRIVES = 30_000_000;
  private static final HttpLimits LIMITS = new HttpLimits(8_192, 64, 32_768, 64L << 20);

  private final Planner planner;
  private final Networks allowed;
  private final HttpServer server;
  private final Thread ticking;
  private volatile boolean closed;

  /** Starts a planner by checked settings; {@code wall} gives microseconds since 1970. */
  public PlannerServer(PlannerSettings settings, LongSupplier wall) throws IOException {
    allowed = new Networks(settings.getAllowNetworkList());
    planner = new Planner(settings, wall);
    HttpServer listening = null;
    try {
      listening = HttpServer.listen(
          Address.parse(settings.getListen()), "planner", settings.getStackBytes(), this::serve);
    } finally {
      server = listening;
      if (listening == null) {
        planner.close();
      }
    }
    ticking = Threads.start("planning", settings.getStackBytes(), this::tick);
  }

  /** Where edges ask. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** The planner itself. */
  public Planner planner() {
    return planner;
  }

  private void tick() {
    try {
      while (!closed) {
        try {
          planner.tick();
        } catch (RuntimeException | Error e) {
          LOG.error("planning failed; the edges' plans run out", e);
        }
        Thread.sleep(TICK_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void serve(SocketChannel channel) throws IOException {
    if (!allowed.contains(((InetSocketAddress) channel.getRemoteAddress()).getAddress())) {
      return;
    }
    try (HttpConnection c = new HttpConnection(channel, LIMITS)) {
      while (!closed && c.awaitMessage(Clock.micros() + IDLE)) {
        Head head = c.readRequest(Clock.micros() + ARRIVES);
        byte[] body = c.readBody(BodyParser.forRequest(head, LIMITS), Clock.micros() + ARRIVES);
        c.write(answer(head, body));
        if (!head.keepsConnection()) {
          return;
        }
      }
    } catch (SocketTimeoutException e) {
      LOG.debug("a connection was silent or slow");
    } catch (BadMessage e) {
      LOG.warn("what came is not HTTP/1.1: {}", e.getMessage());
    }
  }

  private byte[] answer(Head head, byte[] body) throws IOException {
    String what = head.method() + " " + head.path();
    try {
      if (what.equals("POST /v1/exchange")) {
        return HeadWriter.response(200)
            .field("Content-Type", "application/x-protobuf")
            .with(planner.exchange(Ask.parseFrom(body)).toByteArray());
      }
      Object value = switch (what) {
        case "GET /v1/state" -> planner.state();
        case "GET /v1/account" -> sheet(planner.account());
        case "GET /v1/forecast" -> planner.forecast(head.query());
        default -> null;
      };
      return value == null
          ? text(404, "there is /v1/exchange, /v1/state, /v1/account and /v1/forecast?FUNCTION")
          : HeadWriter.response(200)
              .field("Content-Type", "application/json")
              .with((Json.write(value) + "\n").getBytes(StandardCharsets.UTF_8));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      LOG.warn("a message is passed over: {}", e.getMessage());
      return text(400, e.getMessage());
    }
  }

  private static byte[] text(int status, String text) {
    return HeadWriter.response(status)
        .field("Content-Type", "text/plain")
        .with((text + "\n").getBytes(StandardCharsets.UTF_8));
  }

  private static Map<String, Object> sheet(LoadAheadSummary account) {
    Map<String, Object> out = new LinkedHashMap<>();
    account.byFunction().forEach((f, line) -> out.put(f, line.values()));
    Map<String, Object> whole = new LinkedHashMap<>();
    whole.put("all", account.all().values());
    whole.put("functions", out);
    return whole;
  }

  @Override
  public void close() {
    closed = true;
    server.close();
    ticking.interrupt();
    try {
      ticking.join(5_000);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    planner.close();
  }
}
