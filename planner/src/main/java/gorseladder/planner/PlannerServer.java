package gorseladder.planner;

import com.google.protobuf.InvalidProtocolBufferException;
import gorseladder.config.Address;
import gorseladder.config.Networks;
import gorseladder.config.exchange.Ask;
import gorseladder.config.proto.PlannerSettings;
import gorseladder.runtime.ByteBudget;
import gorseladder.runtime.Clock;
import gorseladder.runtime.HttpConnection;
import gorseladder.runtime.HttpServer;
import gorseladder.runtime.MessageMemory;
import gorseladder.runtime.NoRoomException;
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
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A running planner with its HTTP server and its planning thread. */
public final class PlannerServer implements Closeable {
  private static final Logger LOG = LoggerFactory.getLogger(PlannerServer.class);
  private static final long TICK_MILLIS = 200;
  private static final long IDLE_TIMEOUT_MICROS = 120_000_000;
  private static final long REQUEST_TIMEOUT_MICROS = 30_000_000;
  private static final HttpLimits LIMITS = new HttpLimits(8_192, 64, 32_768, 64L << 20);

  /** All requests together take at most this part of the heap. */
  private static final int HEAP_DIVISOR = 4;

  private final ByteBudget messages;
  private final Planner planner;
  private final Networks allowedNetworks;
  private final HttpServer server;
  private final Thread planningThread;
  private volatile boolean closed;

  /**
   * Starts a planner.
   *
   * @param settings settings without faults
   * @param wall clock in microseconds since 1970
   */
  public PlannerServer(PlannerSettings settings, LongSupplier wall) throws IOException {
    this(settings, wall, Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
  }

  /** Starts a planner whose requests together take at most the given number of bytes. */
  PlannerServer(PlannerSettings settings, LongSupplier wall, long maxMessageBytes)
      throws IOException {
    messages = new ByteBudget(maxMessageBytes);
    allowedNetworks = new Networks(settings.getAllowNetworkList());
    planner = new Planner(settings, wall);
    HttpServer startedServer = null;
    try {
      startedServer = HttpServer.listen(
          Address.parse(settings.getListen()), "planner", settings.getStackBytes(), this::serve);
    } finally {
      server = startedServer;
      if (startedServer == null) {
        planner.close();
      }
    }
    planningThread = Threads.start("planning", settings.getStackBytes(), this::tick);
  }

  /** The address on which edges reach the planner. */
  public InetSocketAddress address() {
    return server.address();
  }

  public Planner planner() {
    return planner;
  }

  private void tick() {
    try {
      while (!closed) {
        try {
          planner.tick();
        } catch (RuntimeException | Error e) {
          LOG.error("planning failed; the edges' plans will expire", e);
        }
        Thread.sleep(TICK_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void serve(SocketChannel channel) throws IOException {
    if (!allowedNetworks.contains(((InetSocketAddress) channel.getRemoteAddress()).getAddress())) {
      return;
    }
    try (HttpConnection connection = new HttpConnection(channel, LIMITS)) {
      boolean keeps = true;
      while (keeps && !closed && connection.awaitMessage(Clock.micros() + IDLE_TIMEOUT_MICROS)) {
        keeps = exchange(connection);
      }
    } catch (SocketTimeoutException e) {
      LOG.debug("a connection was idle for too long or too slow");
    } catch (BadMessage e) {
      LOG.warn("not a valid HTTP/1.1 message: {}", e.getMessage());
    }
  }

  /** Answers one request; returns whether the connection carries further ones. */
  private boolean exchange(HttpConnection connection) throws IOException, BadMessage {
    MessageMemory memory = new MessageMemory(List.of(messages), bytes -> false);
    connection.takeMemoryFrom(memory);
    try {
      Head head = connection.readRequest(Clock.micros() + REQUEST_TIMEOUT_MICROS);
      byte[] body = connection.readBody(
          BodyParser.forRequest(head, LIMITS), Clock.micros() + REQUEST_TIMEOUT_MICROS);
      connection.write(answer(head, body));
      return head.keepsConnection();
    } catch (NoRoomException e) {
      LOG.warn("a request was refused: {}", e.getMessage());
      connection.write(text(503, "as much memory as there is for requests is held"));
      return false;
    } finally {
      memory.end();
    }
  }

  private byte[] answer(Head head, byte[] body) throws IOException {
    String methodAndPath = head.method() + " " + head.path();
    try {
      if (methodAndPath.equals("POST /v1/exchange")) {
        return HeadWriter.response(200)
            .field("Content-Type", "application/x-protobuf")
            .with(planner.exchange(Ask.parseFrom(body)).toByteArray());
      }
      Object value = switch (methodAndPath) {
        case "GET /v1/state" -> planner.state();
        case "GET /v1/account" -> summaryValues(planner.account());
        case "GET /v1/forecast" -> planner.forecast(head.query());
        default -> null;
      };
      return value == null
          ? text(404, "there is /v1/exchange, /v1/state, /v1/account and /v1/forecast?FUNCTION")
          : HeadWriter.response(200)
              .field("Content-Type", "application/json")
              .with((Json.write(value) + "\n").getBytes(StandardCharsets.UTF_8));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      LOG.warn("message rejected: {}", e.getMessage());
      return text(400, e.getMessage());
    }
  }

  private static byte[] text(int status, String text) {
    return HeadWriter.response(status)
        .field("Content-Type", "text/plain")
        .with((text + "\n").getBytes(StandardCharsets.UTF_8));
  }

  private static Map<String, Object> summaryValues(LoadAheadSummary account) {
    Map<String, Object> functions = new LinkedHashMap<>();
    account.byFunction().forEach((f, totals) -> functions.put(f, totals.values()));
    Map<String, Object> summary = new LinkedHashMap<>();
    summary.put("all", account.all().values());
    summary.put("functions", functions);
    return summary;
  }

  @Override
  public void close() {
    closed = true;
    server.close();
    planningThread.interrupt();
    try {
      planningThread.join(5_000);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    planner.close();
  }
}
