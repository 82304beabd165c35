package gorseladder.edge.front;

import gorseladder.RouterApi.RequestClass;
import gorseladder.admission.ReadTurns;
import gorseladder.admission.Turns;
import gorseladder.answers.Reason;
import gorseladder.core.Core;
import gorseladder.core.FinalAnswer;
import gorseladder.core.StallDetector;
import gorseladder.core.ThreadReclaimer;
import gorseladder.edge.core.AdmissionCheck;
import gorseladder.edge.core.Intake;
import gorseladder.edge.core.MessageId;
import gorseladder.edge.core.SignedRequest;
import gorseladder.edge.core.TakenCall;
import gorseladder.edge.front.RequestTimeline.Step;
import gorseladder.edge.front.WebhookSettings.Endpoint;
import gorseladder.edge.front.WebhookSettings.Route;
import gorseladder.runtime.ArrivalTimes;
import gorseladder.runtime.Clock;
import gorseladder.runtime.HttpConnection;
import gorseladder.runtime.HttpServer;
import gorseladder.runtime.MessageMemory;
import gorseladder.runtime.NoRoomException;
import gorseladder.runtime.ThreadCache;
import gorseladder.runtime.TurnQueue;
import gorseladder.runtime.Watchdog;
import gorseladder.wire.http1.BadMessage;
import gorseladder.wire.http1.BodyParser;
import gorseladder.wire.http1.Head;
import gorseladder.wire.webhook.Delivery;
import gorseladder.wire.webhook.Delivery.Verification;
import gorseladder.wire.webhook.Payload;
import gorseladder.wire.webhook.Secret;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts signed webhooks over HTTP/1.1 (Standard Webhooks specification; RFC 9112) and answers with the runner's
 * result or problem details (RFC 9457). Each connection has a thread that reads a request, waits for its answer, writes
 * it and reads the next request, so pipelined requests are answered in order. The front makes no decisions about
 * workers.
 */
public final class WebhookFront {
  private static final Logger LOG = LoggerFactory.getLogger(WebhookFront.class);
  /** How often a waiting thread checks whether its client has left: no attempt may start more than 0.1 s after that. */
  private static final long CLIENT_CHECK_MICROS = 50_000;

  /** The part of a client's timeout that is reserved for writing its answer. */
  private static final long WRITE_RESERVE_MICROS = 5_000;
  /** How often a thread that delays a refusal checks whether it still should. */
  private static final long DELAY_STEP_MILLIS = 100;

  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;
  private static final long LINGER_MICROS = 300_000;
  private static final byte[] CONTINUE_RESPONSE =
      "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
  private static final String NO_MEMORY_DETAIL = "as much memory as there is for messages is held";
  private static final Pattern PREFER_WAIT =
      Pattern.compile("(?:^|[,;\\s])wait=\"?([0-9]{1,6})\"?(?:$|[,;\\s])");

  private final WebhookSettings settings;
  private final Intake intake;
  private final Core<TakenCall> core;
  private final AdmissionCheck admission;
  private final AnswerWriter answers;
  private final StallDetector stallDetector;
  private final CallLog log;
  private final AtomicInteger inProgress = new AtomicInteger();
  private final TurnQueue turnQueue;
  private final Set<HttpConnection> connections = ConcurrentHashMap.newKeySet();
  private final IdleConnections idleConnections = new IdleConnections();
  private final UnfinishedRequests unfinishedRequests;
  private final ThreadReclaimer threadReclaimer = new ThreadReclaimer(idleConnections);
  private volatile boolean stopping;

  /**
   * Creates a front.
   *
   * @param unfinishedRequests bounds the memory of requests
   */
  public WebhookFront(
      WebhookSettings settings,
      UnfinishedRequests unfinishedRequests,
      AdmissionCheck admission,
      Intake intake,
      Core<TakenCall> core,
      Watchdog watchdog,
      StallDetector stallDetector,
      CallLog log) {
    this.settings = settings;
    this.unfinishedRequests = unfinishedRequests;
    this.admission = admission;
    this.intake = intake;
    this.core = core;
    this.answers = new AnswerWriter(watchdog, settings.answerWriteTimeout());
    this.stallDetector = stallDetector;
    this.log = log;
    Turns<TurnQueue.Turn> turns = new Turns<>(Runtime.getRuntime().availableProcessors());
    this.turnQueue = new TurnQueue(turns::tryStart, turns::finish, ReadTurns.MAX_HELD_MICROS);
  }

  /**
   * Starts to listen.
   *
   * @param threads one for each connection
   */
  public HttpServer listen(InetSocketAddress at, ThreadCache threads) throws IOException {
    ConnectionHandler handler = new ConnectionHandler();
    HttpServer server = HttpServer.listen(
        at, "webhook", settings.stackBytes(), threads.share(Integer.MAX_VALUE), handler);
    handler.setServer(server);
    return server;
  }

  /** Serves the connections of the listener; each waits until {@link #setServer} was called. */
  private final class ConnectionHandler implements HttpServer.Handler {
    private final CountDownLatch ready = new CountDownLatch(1);
    private volatile HttpServer server;

    void setServer(HttpServer listening) {
      server = listening;
      ready.countDown();
    }

    @Override
    public void serve(SocketChannel channel) throws IOException {
      serve(channel, Clock.micros());
    }

    @Override
    public void serve(SocketChannel channel, long earliest) throws IOException {
      try {
        ready.await();
      } catch (InterruptedException e) {
        return;
      }
      // It may have arrived during a stall of this process that ended just before the accept.
      WebhookFront.this.serve(channel, server, stallDetector.earliestArrival(earliest));
    }

    @Override
    public void reclaimThread(long waited) {
      threadReclaimer.reclaim(waited);
    }
  }

  /** Serves no further requests on open connections; accepted calls are still answered. */
  public void stop() {
    stopping = true;
  }

  /** Returns the number of requests of which a byte has arrived and whose answer is not fully written. */
  public int inProgress() {
    return inProgress.get();
  }

  /**
   * Returns true if a client may still wait for an answer: a thread has bytes that it has not answered, or writes an
   * answer. Threads that wait for bytes owe nothing, also in the middle of a request.
   */
  public boolean owesAnswers() {
    return connections.stream().anyMatch(connection -> !connection.isWaitingForBytes());
  }

  private void serve(SocketChannel channel, HttpServer server, long earliest) throws IOException {
    HttpConnection connection = new HttpConnection(channel, settings.limits());
    connections.add(connection);
    try {
      serve(connection, server, earliest);
    } finally {
      connections.remove(connection);
    }
  }

  private void serve(HttpConnection c, HttpServer server, long earliest) throws IOException {
    c.arrivals(new ArrivalTimes(stallDetector::earliestArrival, earliest));
    if (!settings.allowedNetworks().contains(c.peer().getAddress())) {
      reject(c, Reason.FORBIDDEN_NETWORK, Reason.FORBIDDEN_NETWORK.text);
      return;
    }
    if (server.connections() > settings.maxConnections()) {
      reject(c, Reason.BUSY, "as many connections as the settings allow");
      return;
    }
    TurnQueue.Turn turn = turnQueue.newTurn();
    // A thread needs a turn to read and check bytes; it has none while it waits for bytes, a
    // record, an answer or a slow client.
    c.aroundWaits(turn::release, turn::acquire);
    try {
      boolean more = true;
      while (more) {
        more = request(c, turn);
      }
    } catch (BadMessage e) {
      turn.release();
      reject(c, reason(e), e.getMessage());
    } finally {
      turn.release();
    }
  }

  private static Reason reason(BadMessage e) {
    return switch (e.fault()) {
      case MALFORMED -> Reason.BAD_MESSAGE;
      case TOO_LARGE -> Reason.TOO_LARGE;
      case HEADERS_TOO_LARGE -> Reason.HEADERS_TOO_LARGE;
      case NOT_IMPLEMENTED -> Reason.NOT_IMPLEMENTED;
      case WRONG_VERSION -> Reason.WRONG_VERSION;
      case WRONG_EXPECTATION -> Reason.WRONG_EXPECTATION;
    };
  }

  /** Answers a request that cannot be read further, and closes so that the client still receives the answer. */
  private void reject(HttpConnection c, Reason reason, String detail) throws IOException {
    c.aroundWaits(() -> {}, () -> {});
    log.rejected(c.peer(), reason, detail);
    answers.write(c, FinalAnswer.of(reason), detail, false);
    c.closeGracefully(Clock.micros() + LINGER_MICROS);
  }

  /** Serves one request; returns false if the connection carries no further one. */
  private boolean request(HttpConnection c, TurnQueue.Turn turn) throws IOException, BadMessage {
    turn.resetWaited();
    if (!awaitRequest(c)) {
      return false;
    }
    inProgress.incrementAndGet();
    MessageMemory memory = unfinishedRequests.begin();
    try {
      return exchange(c, turn, memory);
    } finally {
      unfinishedRequests.finish(memory);
      memory.end();
      inProgress.decrementAndGet();
    }
  }

  /** Waits for the first byte of a request; returns false if none comes or the connection was chosen to be closed. */
  private boolean awaitRequest(HttpConnection c) throws IOException {
    boolean arrived = false;
    idleConnections.add(c);
    try {
      arrived = c.awaitMessage(Clock.micros() + settings.idleTimeout());
    } catch (SocketTimeoutException e) {
      LOG.debug("{} sent no request within the idle timeout", c.peer());
    } finally {
      arrived &= idleConnections.remove(c);
    }
    return arrived;
  }

  private boolean exchange(HttpConnection c, TurnQueue.Turn turn, MessageMemory memory)
      throws IOException, BadMessage {
    // The client has waited since the request arrived: behind another request, during a stall of
    // this process, or for a turn.
    long arrivedAt = c.earliestArrival();
    long deadline = Clock.micros() + settings.arrivalTimeout();
    Head head;
    byte[] body;
    try {
      c.takeMemoryFrom(memory);
      memory.take(HttpConnection.BUFFER_BYTES);
      head = c.readRequest(deadline);
      BodyParser parser = BodyParser.forRequest(head, settings.limits());
      answerExpect(c, head, parser);
      body = c.readBody(parser, deadline);
      if (!unfinishedRequests.finish(memory)) {
        memory.requireNotEnded();
      }
    } catch (SocketTimeoutException e) {
      turn.release();
      reject(c, Reason.SLOW_SENDER, Reason.SLOW_SENDER.text);
      return false;
    } catch (NoRoomException e) {
      turn.release();
      reject(c, Reason.BUSY, NO_MEMORY_DETAIL);
      return false;
    }
    RequestTimeline times = new RequestTimeline(arrivedAt, turn.waited());
    Exchange exchange = new Exchange(c, turn, head, body, times);
    try {
      return exchange.run(head.keepsConnection());
    } finally {
      exchange.end();
    }
  }

  /** Delays a refusal for as long as the admission says, but not past the client's timeout. */
  private void delayRefusal(long deadline) {
    long since = Clock.micros();
    long last = deadline - WRITE_RESERVE_MICROS - DELAY_STEP_MILLIS * 1_000;
    try {
      while (!stopping
          && Clock.micros() < last
          && Clock.micros() - since < admission.refusalDelay()) {
        Thread.sleep(DELAY_STEP_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void answerExpect(HttpConnection c, Head head, BodyParser body)
      throws IOException, BadMessage {
    String expect = head.get("expect");
    if (expect != null && !expect.equalsIgnoreCase("100-continue")) {
      throw new BadMessage(BadMessage.Fault.WRONG_EXPECTATION, Reason.WRONG_EXPECTATION.text);
    }
    if (expect != null && head.minorVersion() >= 1 && !body.done() && !c.hasBufferedBytes()) {
      c.write(CONTINUE_RESPONSE);
    }
  }

  /** A request that is being answered. */
  private final class Exchange {
    private final HttpConnection c;
    private final TurnQueue.Turn turn;
    private final Head head;
    private final byte[] body;
    private final RequestTimeline times;
    private String message = "";
    private String detail;
    private AdmissionCheck.Pass pass;
    /** The call that the client waits for; null if none was accepted. */
    private TakenCall call;

    Exchange(HttpConnection c, TurnQueue.Turn turn, Head head, byte[] body, RequestTimeline times) {
      this.c = c;
      this.turn = turn;
      this.head = head;
      this.body = body;
      this.times = times;
    }

    /**
     * Determines the answer and writes it; returns false if the connection carries no further request.
     *
     * @param mayKeep the client allows further requests; while the process stops, only those that have arrived are read
     */
    boolean run(boolean mayKeep) throws IOException {
      FinalAnswer answer;
      try {
        answer = answer();
      } finally {
        turn.release();
        if (pass != null) {
          pass.ended();
        }
      }
      if (answer.reason() == Reason.GONE) {
        c.abort();
        return false;
      }
      if (answer.reason() == Reason.OVERLOADED) {
        delayRefusal(times.deadline());
      }
      boolean keep = mayKeep && (!stopping || c.hasBufferedBytes() || c.hasBytesToRead());
      answers.write(c, answer, detail, keep);
      times.mark(Step.WRITTEN);
      log.answerWritten(message, answer.reason(), times);
      return keep;
    }

    /** Releases the answer, which is no longer read. */
    void end() {
      if (call != null) {
        call.readerDone();
      }
    }

    private FinalAnswer reject(Reason reason, String why) {
      detail = why == null ? reason.text : why;
      log.rejected(c.peer(), reason, detail);
      return FinalAnswer.of(reason);
    }

    FinalAnswer answer() {
      times.clientTimeout(clientTimeout(head));
      Endpoint endpoint = settings.endpoints().get(head.path());
      if (endpoint == null) {
        return reject(Reason.UNKNOWN_PATH, null);
      }
      if (!head.method().equals("POST")) {
        return reject(Reason.WRONG_METHOD, null);
      }
      Delivery delivery;
      try {
        delivery = Delivery.of(
            head.get(Delivery.ID), head.get(Delivery.TIMESTAMP), head.get(Delivery.SIGNATURE));
      } catch (IllegalArgumentException e) {
        return reject(Reason.BAD_SIGNATURE, e.getMessage());
      }
      message = new MessageId(endpoint.path(), delivery.id()).name();
      SignedRequest request = intake.signedRequest(endpoint.tenant(), delivery, body);
      times.mark(Step.READ);
      // A replay is not a delivery of its message: it takes no part in the admission, and no state
      // of the edge turns
      // its refusal into an invitation to retry.
      boolean replay = intake.isReplay(request);
      if (!replay) {
        FinalAnswer refusal = admit(endpoint, delivery);
        if (refusal != null) {
          return refusal;
        }
      }
      Verification verification = delivery.verify(
          body,
          endpoint.secrets(),
          Clock.wallMicros() / MICROS_PER_SECOND,
          endpoint.toleranceSeconds());
      FinalAnswer rejection = rejection(delivery, verification);
      if (rejection != null) {
        return rejection;
      }
      if (replay) {
        return answeredAtOnce(FinalAnswer.of(Reason.REPLAYED));
      }
      try {
        return route(endpoint, delivery, request, verification, Payload.parse(body));
      } catch (IllegalArgumentException e) {
        return reject(Reason.BAD_PAYLOAD, e.getMessage());
      }
    }

    /**
     * Admits a delivery before the signature check, so that a refusal is cheap. Nothing in the request is trusted yet.
     *
     * @return null if it is admitted
     */
    private FinalAnswer admit(Endpoint endpoint, Delivery delivery) {
      boolean remembered =
          intake.remembers(settings.links().candidates(endpoint.path(), delivery.id()));
      if (stopping && !remembered) {
        return reject(Reason.STOPPING, null);
      }
      pass = admission.enter(
          messageKey(message, delivery),
          endpoint.tenant(),
          endpoint.maxLatencyTarget(),
          turn.waited(),
          remembered);
      return pass == null ? overloaded() : null;
    }

    /** Returns the answer to a delivery that cannot be trusted; null if it can. */
    private FinalAnswer rejection(Delivery delivery, Verification verification) {
      if (verification.check() == Delivery.Check.BAD_SIGNATURE) {
        return reject(Reason.BAD_SIGNATURE, null);
      }
      boolean maybeForgotten =
          onLedgerClock(delivery.timestamp()) < settings.requestsRecordedSince();
      return verification.check() == Delivery.Check.STALE || maybeForgotten
          ? reject(Reason.STALE_TIMESTAMP, null)
          : null;
    }

    private long onLedgerClock(long wallSeconds) {
      return intake.clock().fromWallClock(wallSeconds * MICROS_PER_SECOND, Clock.wallMicros());
    }

    private FinalAnswer overloaded() {
      log.countRefusal(Reason.OVERLOADED);
      detail = Reason.OVERLOADED.text;
      return new FinalAnswer(Reason.OVERLOADED, null, admission.retryAfter() * 1_000_000L);
    }

    private FinalAnswer route(
        Endpoint endpoint,
        Delivery delivery,
        SignedRequest request,
        Verification verification,
        Payload payload) {
      Route route = endpoint.routes().get(payload.type());
      String function =
          payload.function() != null || route == null ? payload.function() : route.function();
      if (route == null || function == null || function.isEmpty()) {
        return reject(Reason.UNKNOWN_TYPE, route == null ? null : "the payload names no function");
      }
      RequestClass requestClass = route.requestClass();
      boolean admitted = pass.mayStay(
          messageKey(message, delivery),
          requestClass.worth() / settings.maxWorth(),
          requestClass.latencyTarget());
      List<MessageId> messages = settings
          .links()
          .candidates(
              endpoint.path(),
              delivery.id(),
              verification.secrets().stream().map(Secret::fingerprint).toList());
      // Another delivery of the message may have been accepted meanwhile.
      if (!admitted && !intake.remembers(messages) && !intake.isReplay(request)) {
        return overloaded();
      }
      times.clientTimeout(Math.min(requestClass.deadline(), times.clientTimeout()));
      turn.release();
      times.mark(Step.ADMITTED);
      Intake.Result result = intake.handle(new Intake.Delivery(
          messages,
          request,
          verification.good(),
          onLedgerClock(delivery.timestamp() + settings.requestKeepSeconds()),
          work(endpoint, route, function, payload),
          times.arrivedAt(),
          times.clientTimeout(),
          pass,
          c::isClosedByPeer));
      times.mark(Step.TAKEN);
      call = result.call();
      if (call == null) {
        return answeredAtOnce(result.answer());
      }
      message = call.facts().message();
      FinalAnswer answer = await(result.joined());
      detail = answer.reason().text;
      return answer;
    }

    private Intake.Work work(Endpoint endpoint, Route route, String function, Payload payload) {
      return new Intake.Work(
          route.requestClass(),
          endpoint.tenant(),
          function,
          body,
          payload.memoryMb() > 0 ? payload.memoryMb() : route.memoryMb(),
          payload.lanes() > 0 ? payload.lanes() : route.lanes(),
          payload.loadMillis() * 1000);
    }

    private FinalAnswer answeredAtOnce(FinalAnswer answer) {
      detail = answer.reason().text;
      log.answeredFromLedger(message, answer.reason(), Clock.micros() - times.arrivedAt());
      return answer;
    }

    private long messageKey(String message, Delivery delivery) {
      return message.hashCode() * HASH_MULTIPLIER ^ delivery.id().hashCode();
    }

    /** When the client stops waiting, or the process exits. */
    private long answerBy() {
      return Math.min(times.deadline(), intake.answerBy());
    }

    private FinalAnswer await(boolean joined) {
      long deadline = times.deadline();
      try {
        for (long now = Clock.micros(); now < answerBy(); now = Clock.micros()) {
          FinalAnswer answer = call.await(Math.min(answerBy(), now + CLIENT_CHECK_MICROS));
          if (answer != null) {
            times.mark(Step.ENDED);
            intake.awaitRecord(call, deadline - WRITE_RESERVE_MICROS);
            times.mark(Step.RECORDED);
            boolean ownerLeft = answer.reason() == Reason.GONE;
            return ownerLeft ? new FinalAnswer(Reason.FAILED_OVERDUE, null, 0) : answer;
          }
          if (c.peerGone()) {
            if (call.waiterLeft()
                && call.finish(new FinalAnswer(Reason.GONE, null, 0), Clock.micros())) {
              core.clientGone(call);
            }
            return new FinalAnswer(Reason.GONE, null, 0);
          }
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      FinalAnswer overdue = new FinalAnswer(Reason.FAILED_OVERDUE, null, 0);
      if (!joined && call.finish(overdue, Clock.micros())) {
        core.clientGone(call);
      }
      return joined ? overdue : call.answer();
    }
  }

  /** Returns the client's timeout from {@code Prefer: wait=} (RFC 7240 section 4.3), in microseconds. */
  private static long clientTimeout(Head head) {
    for (String prefer : head.all("prefer")) {
      Matcher m = PREFER_WAIT.matcher(prefer);
      if (m.find() && Long.parseLong(m.group(1)) > 0) {
        return Long.parseLong(m.group(1)) * 1_000_000;
      }
    }
    return Long.MAX_VALUE / 4;
  }
}
