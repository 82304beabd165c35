package gorseladder.edge.runners;

import gorseladder.RouterApi.CopyStatus;
import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Loaded;
import gorseladder.RouterApi.Outcome;
import gorseladder.RouterApi.Phase;
import gorseladder.attempts.AttemptOutcomes;
import gorseladder.attempts.AttemptOutcomes.Ending;
import gorseladder.attempts.AttemptOutcomes.Progress;
import gorseladder.attempts.ConnectionChoice;
import gorseladder.core.Call;
import gorseladder.core.Core.AttemptEnd;
import gorseladder.core.RuleLog;
import gorseladder.edge.core.RecordWait;
import gorseladder.edge.core.TakenCall;
import gorseladder.gate.SendGate;
import gorseladder.permits.ClientView;
import gorseladder.permits.Verdict;
import gorseladder.repeats.Repeats;
import gorseladder.rules.RuleWatch.Written;
import gorseladder.runtime.Clock;
import gorseladder.runtime.HttpConnection;
import gorseladder.runtime.LocalShortage;
import gorseladder.runtime.MessageMemory;
import gorseladder.runtime.NoRoomException;
import gorseladder.runtime.ThreadCache;
import gorseladder.runtime.Watchdog;
import gorseladder.store.Ledger;
import gorseladder.store.LedgerException;
import gorseladder.threads.ConnectionWait;
import gorseladder.wire.http1.BadMessage;
import gorseladder.wire.http1.BodyParser;
import gorseladder.wire.http1.Head;
import gorseladder.wire.http1.HeadWriter;
import gorseladder.wire.http1.HttpLimits;
import gorseladder.wire.oip.LoadReport;
import gorseladder.wire.oip.Oip;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Owns the connections to the runners. Each attempt and each load order runs on its own thread with blocking I/O and
 * ends in exactly one report to the core. {@link AttemptOutcomes} gives the outcome of an end; {@link SendGate} decides
 * whether a call or a load order may still be sent, and is asked immediately before the write.
 *
 * <p>Thread safe.
 */
public final class Runners implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Runners.class);
  private static final byte[] EMPTY = {};

  /** Bytes of memory that building a request takes for each byte of its payload, in addition to its head. */
  private static final int MEMORY_PER_PAYLOAD_BYTE = 5;

  private final RunnerSettings settings;
  private final HttpLimits limits;
  private final UnfinishedAnswers unfinishedAnswers;
  private final Ledger ledger;
  private final SendGate gate;
  private final Function<String, InetSocketAddress> addresses;
  private final ThreadCache threads;
  private final Watchdog watchdog;
  private final RuleLog rules;
  private final Map<String, ArrayDeque<IdleConnection>> idleConnections = new ConcurrentHashMap<>();
  private final Map<TakenCall, Map<Integer, Exchange>> exchanges = new ConcurrentHashMap<>();
  private volatile Listener listener;

  /** Receives the end of each attempt and each load order, exactly once. */
  public interface Listener {
    void attemptEnded(AttemptEnd<TakenCall> end);

    void loadEnded(Loaded loaded);
  }

  private record IdleConnection(HttpConnection connection, long idleSince) {}

  /**
   * Creates the runner connections; {@link #setListener} must follow.
   *
   * @param unfinishedAnswers bounds the memory of requests to runners and of their answers
   * @param addresses gives the socket address of a worker id, null for a worker that is gone
   * @param threads one for each attempt and each load order in progress; closed with this object
   */
  public Runners(
      RunnerSettings settings,
      UnfinishedAnswers unfinishedAnswers,
      Ledger ledger,
      SendGate gate,
      Function<String, InetSocketAddress> addresses,
      Watchdog watchdog,
      ThreadCache threads,
      RuleLog rules) {
    this.settings = settings;
    this.unfinishedAnswers = unfinishedAnswers;
    this.limits = new HttpLimits(16_384, 100, 65_536, settings.maxAnswerBytes());
    this.ledger = ledger;
    this.gate = gate;
    this.addresses = addresses;
    this.watchdog = watchdog;
    this.rules = rules;
    this.threads = threads;
  }

  /** Sets the listener; called once, before anything is sent. */
  public void setListener(Listener target) {
    listener = target;
  }

  /**
   * Passes on what the worker list reports of a worker.
   *
   * @param startedAt when the worker started, 0 for long ago
   * @param listUpdates the number of the list update that reports it, from 1
   * @param receivedAt when the bytes of the update reached this process
   */
  public void workerReported(
      String worker, Phase phase, long startedAt, long listUpdates, long receivedAt) {
    synchronized (gate) {
      gate.phaseReported(worker, phase, receivedAt);
      if (phase != Phase.GONE) {
        gate.startReported(worker, startedAt, listUpdates, receivedAt);
      }
    }
  }

  /** Notes the arrival of an accepted call. */
  public void callAccepted(long acceptedAt) {
    synchronized (gate) {
      gate.callAccepted(acceptedAt);
    }
  }

  /** Returns the number of calls and orders that the send gate stopped, for the log. */
  public String gateSummary() {
    synchronized (gate) {
      return gate.refusedCalls() + " calls, " + gate.refusedOrders() + " orders";
    }
  }

  public void send(TakenCall call, int number, String worker, long timeout) {
    Exchange exchange = new Exchange(call, number, worker, timeout);
    exchanges.computeIfAbsent(call, c -> new ConcurrentHashMap<>()).put(number, exchange);
    exchange.start();
  }

  /** Cancels an attempt; its end is still reported. */
  public void cancel(TakenCall call, int number) {
    Exchange exchange = exchanges.getOrDefault(call, Map.of()).get(number);
    if (exchange != null) {
      exchange.cancel();
    }
  }

  /**
   * Orders a runner to hold copies of a function; the end is reported by {@link Listener#loadEnded}.
   *
   * @param listUpdates the number of list updates known when the order was decided
   */
  public void load(String worker, String function, int copies, long listUpdates) {
    long startedAt = Clock.micros();
    if (!threads.execute(() ->
        listener.loadEnded(sendLoadOrder(worker, function, copies, listUpdates, startedAt)))) {
      listener.loadEnded(new Loaded(worker, function, 0, Outcome.MOOT, 0));
    }
  }

  /** An attempt in progress. */
  private final class Exchange {
    private final TakenCall call;
    private final int number;
    private final String worker;
    private final long startedAt = Clock.micros();
    private final long deadline;
    private final MessageMemory memory = unfinishedAnswers.newMemory();
    private Progress progress = Progress.WAITING;
    private HttpConnection connection;
    private boolean cancelled;
    /** The timeout that the runner is told, in microseconds. */
    private long timeoutSent;

    /** When the send conditions were checked, immediately before the first bytes. */
    private long sentAt;

    private Verdict sendVerdict;
    /** Bytes of the request written so far. */
    private int writtenBytes;

    /** Aborts a write that does not end. */
    private Watchdog.Timer writeTimer;

    Exchange(TakenCall call, int number, String worker, long timeout) {
      this.call = call;
      this.number = number;
      this.worker = worker;
      long callDeadline = call.facts().deadlineAt();
      this.deadline = timeout > 0 ? Math.min(callDeadline, startedAt + timeout) : callDeadline;
    }

    /**
     * Starts the attempt on its own thread. If the system has no thread, retries for as long as {@link ConnectionWait}
     * says.
     */
    void start() {
      if (threads.execute(this::run)) {
        return;
      }
      long now = Clock.micros();
      long delay = isCancelled() ? -1 : ConnectionWait.retryDelay(now - startedAt, deadline - now);
      if (delay < 0) {
        end(Ending.NO_RESOURCE);
      } else {
        watchdog.after(delay, this::start);
      }
    }

    void run() {
      try {
        exchange();
      } catch (BadMessage e) {
        LOG.warn("runner {} sent a response that is not HTTP/1.1: {}", worker, e.getMessage());
        end(Ending.MALFORMED);
      } catch (SocketTimeoutException e) {
        end(Ending.TIMED_OUT);
      } catch (NoRoomException e) {
        LOG.warn("an attempt at {} was given up: {}", worker, e.getMessage());
        end(Ending.CANCELLED);
      } catch (IOException e) {
        end(LocalShortage.is(e) ? Ending.NO_RESOURCE : Ending.BROKEN);
      } catch (RuntimeException | Error e) {
        LOG.error("an attempt at {} failed", worker, e);
        end(Ending.BROKEN);
      }
    }

    private void exchange() throws IOException, BadMessage {
      InetSocketAddress address = addresses.apply(worker);
      if (address == null) {
        end(Ending.CONNECT_FAILED);
        return;
      }
      Effect effect = call.facts().requestClass().effect();
      progress = Progress.CONNECTING;
      if (!attach(takeIdle(worker, effect))) {
        long wait = Math.min(settings.connectTimeout(), deadline - Clock.micros()) / 1000;
        if (!attach(HttpConnection.open(address, wait, limits))) {
          end(Ending.CANCELLED);
          return;
        }
      }
      progress = Progress.CONNECTED;
      if (Repeats.recordBeforeSend(effect)) {
        try {
          long ticket = call.recordSending(ledger.clock().micros());
          if (!RecordWait.awaitUntil(ledger, ticket, deadline)) {
            LOG.warn("an attempt was not sent: its record was not written before its deadline");
            end(Ending.GATE_CLOSED);
            return;
          }
        } catch (LedgerException e) {
          LOG.error("an attempt was not sent: {}", e.getMessage());
          end(Ending.GATE_CLOSED);
          return;
        }
      }
      if (!writeRequest()) {
        return;
      }
      checkRules(Clock.micros());
      unfinishedAnswers.register(memory, this::cancel);
      connection.takeMemoryFrom(memory);
      Head head = connection.readResponse(deadline);
      progress = Progress.RESPONDING;
      byte[] body = connection.readBody(BodyParser.forResponse(head, limits), deadline);
      if (!unfinishedAnswers.finish(memory)) {
        memory.requireNotEnded();
      }
      answered(head, body);
    }

    /** Writes the request if the send conditions allow it; returns false if they do not. */
    private boolean writeRequest() throws IOException {
      memory.take(HttpConnection.BUFFER_BYTES
          + (long) MEMORY_PER_PAYLOAD_BYTE * call.facts().body().length);
      byte[] message = message();
      memory.shrinkTo(message.length);
      boolean sent = write(message);
      memory.shrinkTo(0);
      return sent;
    }

    private boolean write(byte[] message) throws IOException {
      try {
        if (!call.sendAtomically(() -> checkAndWrite(message))) {
          // The call's lock must not be held here: the listener takes locks of its own.
          end(AttemptOutcomes.endingOfDenied(sendVerdict));
          return false;
        }
        connection.writeFrom(message, writtenBytes);
      } finally {
        if (writeTimer != null) {
          writeTimer.cancel();
        }
      }
      return true;
    }

    /**
     * Checks the send conditions and writes the first bytes. The caller holds the call's lock, so listeners must not be
     * called from here.
     */
    private boolean checkAndWrite(byte[] message) throws IOException {
      sendVerdict = checkSend();
      if (!sendVerdict.allowed()) {
        return false;
      }
      progress = Progress.SENDING;
      writeTimer = watchdog.after(Math.max(0, deadline - Clock.micros()), connection::abort);
      writtenBytes = connection.writeAtOnce(message);
      return true;
    }

    /** Checks the send conditions; only the write itself may follow. */
    private Verdict checkSend() {
      Verdict verdict;
      ClientView client = call.clientView();
      synchronized (gate) {
        long now = Clock.micros();
        Call.SendConditions conditions = new Call.SendConditions(
            isCancelled() ? now : deadline,
            !gate.maySendCall(worker),
            gate.restartedSince(worker, call.attempt(number).listUpdatesAtDecision()),
            0,
            settings.mayDuplicate(),
            client);
        verdict = call.trySend(number, conditions, now);
        sentAt = now;
      }
      if (!verdict.allowed()) {
        LOG.debug(
            "request={} worker={} held back: {}", call.facts().message(), worker, verdict.word());
      }
      return verdict;
    }

    /** Checks the rules again now that the bytes are written. */
    private void checkRules(long writtenAt) {
      long drainReportedAt;
      long restartReportedAt;
      synchronized (gate) {
        drainReportedAt = gate.drainToldAt(worker);
        restartReportedAt = gate.restartToldAt(worker);
      }
      TakenCall.Facts facts = call.facts();
      Written write = new Written(
          sentAt,
          writtenAt,
          drainReportedAt,
          gate.drainGrace(),
          restartReportedAt,
          call.attempt(number).decidedAt(),
          call.endedAt(),
          timeoutSent,
          facts.deadlineAt(),
          facts.requestClass().effect(),
          facts.requestClass().repeatWindow(),
          settings.mayDuplicate(),
          call.otherSentAttempts(number));
      rules.written(facts.message(), write);
    }

    private synchronized boolean isCancelled() {
      return cancelled;
    }

    private synchronized boolean attach(HttpConnection opened) {
      if (opened != null && cancelled) {
        opened.close();
        return false;
      }
      connection = opened;
      return opened != null;
    }

    synchronized void cancel() {
      cancelled = true;
      if (connection != null) {
        connection.abort();
      }
    }

    private byte[] message() {
      TakenCall.Facts f = call.facts();
      long millisLeft = Math.max(0, (deadline - Clock.micros()) / 1000);
      timeoutSent = millisLeft * 1_000;
      HeadWriter w = HeadWriter.request("POST", Oip.inferTarget(f.function()), worker)
          .field("Content-Type", "application/json")
          .field("X-Request-Id", f.message().substring(f.message().indexOf(' ') + 1))
          .field(Oip.EDGE_ORDINAL, settings.edgeOrdinal())
          .field(Oip.TIMEOUT_MILLIS, millisLeft)
          .field(Oip.MEMORY_MB, (long) f.memoryMb())
          .field(Oip.LANES, f.lanes());
      if (f.loadTime() > 0) {
        w.field(Oip.LOAD_MILLIS, f.loadTime() / 1000);
      }
      if (f.requestClass().effect() == Effect.KEYED) {
        w.field(
            "Idempotency-Key", "\"" + f.message().replace("\"", "%22").replace("\\", "%5C") + "\"");
      }
      return w.with(Oip.request(f.message(), f.body()));
    }

    /** Detaches the connection, so that a later cancel does not reach its next user. */
    private synchronized HttpConnection release() {
      HttpConnection released = connection;
      connection = null;
      return released;
    }

    private void answered(Head head, byte[] body) throws NoRoomException {
      returnConnection(worker, release(), head, call.facts().requestClass().effect());
      boolean neverRan = "no".equals(head.get(Oip.EXECUTED));
      Outcome outcome = AttemptOutcomes.of(progress, Ending.RESPONSE, head.status(), neverRan);
      byte[] result = null;
      if (outcome == Outcome.OK) {
        try {
          result = AnswerReader.result(body, memory);
        } catch (IllegalArgumentException e) {
          LOG.warn(
              "runner {} sent a body that is not an inference response: {}",
              worker,
              e.getMessage());
          outcome = Outcome.ERROR;
        }
      }
      report(outcome, head, result);
    }

    private void end(Ending ending) {
      Ending reportedEnding = isCancelled() ? Ending.CANCELLED : ending;
      synchronized (this) {
        if (connection != null) {
          connection.abort();
        }
      }
      report(AttemptOutcomes.of(progress, reportedEnding, 0, false), null, null);
    }

    private void report(Outcome outcome, Head head, byte[] result) {
      unfinishedAnswers.finish(memory);
      if (result == null) {
        memory.end();
      } else {
        call.holdAnswerMemory(memory);
      }
      exchanges.computeIfPresent(call, (c, all) -> {
        all.remove(number);
        return all.isEmpty() ? null : all;
      });
      CopyStatus copyStatus =
          head == null ? CopyStatus.NONE : copyStatus(head.get(Oip.COPY_STATUS));
      Map<String, Double> load =
          head == null ? Map.of() : LoadReport.parse(head.get(LoadReport.HEADER));
      listener.attemptEnded(new AttemptEnd<>(
          call, number, outcome, result, copyStatus, head == null ? -1 : concurrency(head), load));
    }
  }

  private static CopyStatus copyStatus(String copy) {
    return copy == null
        ? CopyStatus.NONE
        : switch (copy) {
          case "found" -> CopyStatus.WARM;
          case "began" -> CopyStatus.BEGAN;
          case "awaited" -> CopyStatus.WAITED;
          case "load-failed" -> CopyStatus.LOAD_FAILED;
          default -> CopyStatus.NONE;
        };
  }

  private static int concurrency(Head head) {
    String concurrency = head.get(Oip.CONCURRENCY);
    return concurrency != null && concurrency.matches("[0-9]{1,6}")
        ? Integer.parseInt(concurrency)
        : -1;
  }

  private Loaded sendLoadOrder(
      String worker, String function, int copies, long listUpdates, long startedAt) {
    Progress progress = Progress.CONNECTING;
    long deadline = startedAt + settings.orderTimeout();
    InetSocketAddress address = addresses.apply(worker);
    MessageMemory memory = unfinishedAnswers.newMemory();
    try (HttpConnection connection = address == null
        ? null
        : HttpConnection.open(address, settings.connectTimeout() / 1000, limits)) {
      boolean open;
      synchronized (gate) {
        open = connection != null
            && gate.maySendLoadOrder(worker, listUpdates, Clock.micros()).allowed();
      }
      if (!open) {
        return loaded(
            worker,
            function,
            0,
            connection == null ? Outcome.CONNECT_FAILED : Outcome.MOOT,
            startedAt);
      }
      progress = Progress.SENDING;
      connection.write(HeadWriter.request("POST", Oip.loadTarget(function), worker)
          .field("Content-Type", "application/json")
          .field("Connection", "close")
          .field(Oip.EDGE_ORDINAL, settings.edgeOrdinal())
          .with(Oip.loadRequest(copies)));
      connection.takeMemoryFrom(memory);
      Head head = connection.readResponse(deadline);
      byte[] body = connection.readBody(BodyParser.forResponse(head, limits), deadline);
      Outcome outcome = AttemptOutcomes.of(
          Progress.RESPONDING, Ending.RESPONSE, head.status(), "no".equals(head.get(Oip.EXECUTED)));
      return loaded(
          worker, function, Oip.copiesIn(outcome == Outcome.OK ? body : EMPTY), outcome, startedAt);
    } catch (SocketTimeoutException e) {
      return loaded(
          worker, function, 0, AttemptOutcomes.of(progress, Ending.TIMED_OUT, 0, false), startedAt);
    } catch (NoRoomException e) {
      LOG.warn("an order to {} was given up: {}", worker, e.getMessage());
      return loaded(
          worker, function, 0, AttemptOutcomes.of(progress, Ending.CANCELLED, 0, false), startedAt);
    } catch (IOException | BadMessage | IllegalArgumentException e) {
      return loaded(
          worker, function, 0, AttemptOutcomes.of(progress, Ending.BROKEN, 0, false), startedAt);
    } finally {
      memory.end();
    }
  }

  private static Loaded loaded(
      String worker, String function, int copies, Outcome outcome, long startedAt) {
    return new Loaded(
        worker, function, outcome == Outcome.OK ? copies : 0, outcome, Clock.micros() - startedAt);
  }

  /**
   * Takes the newest idle connection that this call may use and that the runner has not closed; null if there is none.
   */
  private HttpConnection takeIdle(String worker, Effect effect) {
    ArrayDeque<IdleConnection> workerConnections = idleConnections.get(worker);
    while (workerConnections != null) {
      IdleConnection newest;
      synchronized (workerConnections) {
        newest = workerConnections.pollLast();
      }
      if (newest == null) {
        return null;
      }
      long age = Clock.micros() - newest.idleSince();
      if (ConnectionChoice.mayReuse(
              effect, age, settings.connectionIdleLimit(), settings.unsafeConnectionIdleLimit())
          && !newest.connection().peerGone()
          && !newest.connection().hasBufferedBytes()) {
        return newest.connection();
      }
      boolean onlyTooOldForThis = effect == Effect.UNSAFE
          && ConnectionChoice.mayReuse(Effect.SAFE, age, settings.connectionIdleLimit(), 0);
      if (onlyTooOldForThis) {
        addIdle(workerConnections, newest);
        return null;
      }
      newest.connection().close();
    }
    return null;
  }

  private static void addIdle(
      ArrayDeque<IdleConnection> workerConnections, IdleConnection connection) {
    synchronized (workerConnections) {
      workerConnections.addLast(connection);
    }
  }

  private void returnConnection(
      String worker, HttpConnection connection, Head head, Effect effect) {
    ArrayDeque<IdleConnection> workerConnections =
        idleConnections.computeIfAbsent(worker, w -> new ArrayDeque<>());
    synchronized (workerConnections) {
      if (head.keepsConnection()
          && !connection.hasBufferedBytes()
          && ConnectionChoice.mayKeep(effect, workerConnections.size())) {
        addIdle(workerConnections, new IdleConnection(connection, Clock.micros()));
        return;
      }
    }
    connection.close();
  }

  /**
   * Closes connections that belong to workers that are gone or have been idle too long, and drops the state of workers
   * that are gone. Called periodically.
   */
  public void cleanUp() {
    long now = Clock.micros();
    idleConnections.forEach((worker, workerConnections) -> {
      synchronized (workerConnections) {
        while (!workerConnections.isEmpty()
            && (addresses.apply(worker) == null
                || now - workerConnections.peekFirst().idleSince()
                    >= settings.connectionIdleLimit())) {
          workerConnections.pollFirst().connection().close();
        }
      }
    });
    idleConnections.keySet().removeIf(worker -> addresses.apply(worker) == null);
    Set<String> busyWorkers = new HashSet<>();
    exchanges
        .values()
        .forEach(all -> all.values().forEach(exchange -> busyWorkers.add(exchange.worker)));
    synchronized (gate) {
      gate.retainWorkers(worker -> addresses.apply(worker) != null || busyWorkers.contains(worker));
    }
  }

  @Override
  public void close() {
    threads.close();
    exchanges.values().forEach(all -> all.values().forEach(Exchange::cancel));
    idleConnections.values().forEach(workerConnections -> {
      synchronized (workerConnections) {
        workerConnections.forEach(k -> k.connection().close());
        workerConnections.clear();
      }
    });
  }
}
