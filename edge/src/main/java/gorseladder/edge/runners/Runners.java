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
 * Owns the connections to the runners. Each attempt and each load order runs on a thread of its own that blocks on a
 * socket, and ends in exactly one report to the core. What an end is worth is judged by {@link AttemptOutcomes}; whether
 * bytes may still leave by {@link SendGate}, asked last before the write.
 *
 * <p>Any thread.
 */
public final class Runners implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Runners.class);
  private static final byte[] NOTHING = {};

  /** Bytes of memory that making a request takes for each byte of its payload, beside its head. */
  private static final int REQUEST_COST = 5;

  private final RunnerSettings settings;
  private final HttpLimits limits;
  private final UnfinishedAnswers unfinished;
  private final Ledger ledger;
  private final SendGate gate;
  private final Function<String, InetSocketAddress> addresses;
  private final ThreadCache threads;
  private final Watchdog watchdog;
  private final RuleLog rules;
  private final Map<String, ArrayDeque<Kept>> idle = new ConcurrentHashMap<>();
  private final Map<TakenCall, Map<Integer, Exchange>> out = new ConcurrentHashMap<>();
  private volatile Hearer hearer;

  /** Who hears how attempts and load orders ended: exactly one report for each. */
  public interface Hearer {
    void attemptEnded(AttemptEnd<TakenCall> end);

    void loadEnded(Loaded loaded);
  }

  private record Kept(HttpConnection connection, long since) {}

  /**
   * Runner connections by these settings.
   *
   * @param unfinished bounds the memory of requests to runners and of their answers
   * @param addresses gives the socket address of a worker id
   * @param threads each attempt and each order has one while it is out; closed with this
   */
  public Runners(
      RunnerSettings settings,
      UnfinishedAnswers unfinished,
      Ledger ledger,
      SendGate gate,
      Function<String, InetSocketAddress> addresses,
      Watchdog watchdog,
      ThreadCache threads,
      RuleLog rules) {
    this.settings = settings;
    this.unfinished = unfinished;
    this.limits = new HttpLimits(16_384, 100, 65_536, settings.maxAnswerBytes());
    this.ledger = ledger;
    this.gate = gate;
    this.addresses = addresses;
    this.watchdog = watchdog;
    this.rules = rules;
    this.threads = threads;
  }

  /** Names who hears the ends; once, before anything is sent. */
  public void reportTo(Hearer hears) {
    hearer = hears;
  }

  /**
   * News of a worker.
   *
   * @param born when it started, 0 for long ago
   * @param news the number of the list's news that it comes with, from 1
   * @param at when its bytes reached this process
   */
  public void told(String worker, Phase phase, long born, long news, long at) {
    synchronized (gate) {
      gate.phaseReported(worker, phase, at);
      if (phase != Phase.GONE) {
        gate.startReported(worker, born, news, at);
      }
    }
  }

  /** A call was taken. */
  public void taken(long at) {
    synchronized (gate) {
      gate.callAccepted(at);
    }
  }

  /** Calls and orders that were stopped at the last look, for the log. */
  public String gateSummary() {
    synchronized (gate) {
      return gate.refusedCalls() + " calls, " + gate.refusedOrders() + " orders";
    }
  }

  /** Starts an attempt. */
  public void send(TakenCall call, int number, String worker, long timeout) {
    Exchange exchange = new Exchange(call, number, worker, timeout);
    out.computeIfAbsent(call, c -> new ConcurrentHashMap<>()).put(number, exchange);
    exchange.start();
  }

  /** Stops an attempt; its end still comes. */
  public void cancel(TakenCall call, int number) {
    Exchange exchange = out.getOrDefault(call, Map.of()).get(number);
    if (exchange != null) {
      exchange.cancel();
    }
  }

  /**
   * Orders copies of a function held; its end comes by {@link Hearer#loadEnded}.
   *
   * @param news how many news of the list were known when it was decided
   */
  public void load(String worker, String function, int copies, long news) {
    long began = Clock.micros();
    if (!threads.execute(() -> hearer.loadEnded(order(worker, function, copies, news, began)))) {
      hearer.loadEnded(new Loaded(worker, function, 0, Outcome.MOOT, 0));
    }
  }

  /** One attempt on its way. */
  private final class Exchange {
    private final TakenCall call;
    private final int number;
    private final String worker;
    private final long began = Clock.micros();
    private final long until;
    private final MessageMemory memory = unfinished.memory();
    private Progress progress = Progress.WAITING;
    private HttpConnection connection;
    private boolean cancelled;
    /** The time that its runner is told, in microseconds, and when its bytes began to leave. */
    private long timePassed;

    private long leftAt;
    private Verdict lastLook;
    /** Bytes of the request that are written, and what ends a write that is stuck. */
    private int written;

    private Watchdog.Timer guard;

    Exchange(TakenCall call, int number, String worker, long timeout) {
      this.call = call;
      this.number = number;
      this.worker = worker;
      long deadline = call.facts().deadlineAt();
      this.until = timeout > 0 ? Math.min(deadline, began + timeout) : deadline;
    }

    /** Gives it a thread; where the system has none it waits for one, for as long as {@link ConnectionWait} says. */
    void start() {
      if (threads.execute(this::run)) {
        return;
      }
      long now = Clock.micros();
      long look = isCancelled() ? -1 : ConnectionWait.retryDelay(now - began, until - now);
      if (look < 0) {
        end(Ending.NO_RESOURCE);
      } else {
        watchdog.after(look, this::start);
      }
    }

    void run() {
      try {
        exchange();
      } catch (BadMessage e) {
        LOG.warn("runner {} answered what is not HTTP/1.1: {}", worker, e.getMessage());
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
      if (!hold(borrow(worker, effect))) {
        long wait = Math.min(settings.connect(), until - Clock.micros()) / 1000;
        if (!hold(HttpConnection.open(address, wait, limits))) {
          end(Ending.CANCELLED);
          return;
        }
      }
      progress = Progress.CONNECTED;
      if (Repeats.recordBeforeSend(effect)) {
        try {
          long ticket = call.recordLeaving(ledger.clock().micros());
          if (!RecordWait.until(ledger, ticket, until)) {
            LOG.warn("an attempt was not sent: it was not on record in its time");
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
      lookAgain(Clock.micros());
      unfinished.begin(memory, this::cancel);
      connection.takeMemoryFrom(memory);
      Head head = connection.readResponse(until);
      progress = Progress.RESPONDING;
      byte[] body = connection.readBody(BodyParser.forResponse(head, limits), until);
      if (!unfinished.finish(memory)) {
        memory.requireNotEnded();
      }
      answered(head, body);
    }

    /** Writes the request where the last look allows it; false where it does not. */
    private boolean writeRequest() throws IOException {
      memory.take(
          HttpConnection.BUFFER_BYTES + (long) REQUEST_COST * call.facts().body().length);
      byte[] message = message();
      memory.shrinkTo(message.length);
      boolean left = write(message);
      memory.shrinkTo(0);
      return left;
    }

    private boolean write(byte[] message) throws IOException {
      try {
        if (!call.sendAtomically(() -> leave(message))) {
          // Without the call's lock: who hears of it has locks of its own.
          end(AttemptOutcomes.endingOfDenied(lastLook));
          return false;
        }
        connection.writeFrom(message, written);
      } finally {
        if (guard != null) {
          guard.cancel();
        }
      }
      return true;
    }

    /** The last look and the first bytes; the call's lock is held, so that nobody may be told of it here. */
    private boolean leave(byte[] message) throws IOException {
      lastLook = look();
      if (!lastLook.allowed()) {
        return false;
      }
      progress = Progress.SENDING;
      guard = watchdog.after(Math.max(0, until - Clock.micros()), connection::abort);
      written = connection.writeAtOnce(message);
      return true;
    }

    /** The last look; nothing but the write itself comes after it. */
    private Verdict look() {
      Verdict verdict;
      synchronized (gate) {
        long now = Clock.micros();
        Call.SendConditions look = new Call.SendConditions(
            isCancelled() ? now : until,
            !gate.maySendCall(worker),
            gate.restartedSince(worker, call.attempt(number).listUpdatesAtDecision()),
            0,
            settings.mayDuplicate());
        verdict = call.trySend(number, look, now);
        leftAt = now;
      }
      if (!verdict.allowed()) {
        LOG.debug(
            "request={} worker={} held back: {}", call.facts().message(), worker, verdict.word());
      }
      return verdict;
    }

    /** Has the rules looked at once more, now that its bytes were written. */
    private void lookAgain(long writtenAt) {
      long drainToldAt;
      long restartToldAt;
      synchronized (gate) {
        drainToldAt = gate.drainToldAt(worker);
        restartToldAt = gate.restartToldAt(worker);
      }
      TakenCall.Facts facts = call.facts();
      Written written = new Written(
          leftAt,
          writtenAt,
          drainToldAt,
          gate.drainGrace(),
          restartToldAt,
          call.attempt(number).decidedAt(),
          call.endedAt(),
          timePassed,
          facts.deadlineAt(),
          facts.requestClass().effect(),
          facts.requestClass().repeatWindow(),
          settings.mayDuplicate(),
          call.otherSentAttempts(number));
      rules.written(facts.message(), written);
    }

    private synchronized boolean isCancelled() {
      return cancelled;
    }

    private synchronized boolean hold(HttpConnection opened) {
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
      long millisLeft = Math.max(0, (until - Clock.micros()) / 1000);
      timePassed = millisLeft * 1_000;
      HeadWriter w = HeadWriter.request("POST", Oip.inferTarget(f.function()), worker)
          .field("Content-Type", "application/json")
          .field("X-Request-Id", f.message().substring(f.message().indexOf(' ') + 1))
          .field(Oip.EDGE_ORDINAL, settings.edge())
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

    /** The connection's end here: a cancel that comes now must not reach whoever uses it next. */
    private synchronized HttpConnection release() {
      HttpConnection released = connection;
      connection = null;
      return released;
    }

    private void answered(Head head, byte[] body) throws NoRoomException {
      giveBack(worker, release(), head, call.facts().requestClass().effect());
      boolean neverRan = "no".equals(head.get(Oip.EXECUTED));
      Outcome outcome = AttemptOutcomes.of(progress, Ending.RESPONSE, head.status(), neverRan);
      byte[] result = null;
      if (outcome == Outcome.OK) {
        try {
          result = AnswerReader.result(body, memory);
        } catch (IllegalArgumentException e) {
          LOG.warn(
              "runner {} answered what is not an inference response: {}", worker, e.getMessage());
          outcome = Outcome.ERROR;
        }
      }
      report(outcome, head, result);
    }

    private void end(Ending ending) {
      Ending told = isCancelled() ? Ending.CANCELLED : ending;
      synchronized (this) {
        if (connection != null) {
          connection.abort();
        }
      }
      report(AttemptOutcomes.of(progress, told, 0, false), null, null);
    }

    private void report(Outcome outcome, Head head, byte[] result) {
      unfinished.finish(memory);
      if (result == null) {
        memory.end();
      } else {
        call.keep(memory);
      }
      out.computeIfPresent(call, (c, all) -> {
        all.remove(number);
        return all.isEmpty() ? null : all;
      });
      CopyStatus note = head == null ? CopyStatus.NONE : note(head.get(Oip.COPY_STATUS));
      Map<String, Double> load =
          head == null ? Map.of() : LoadReport.parse(head.get(LoadReport.HEADER));
      hearer.attemptEnded(new AttemptEnd<>(
          call, number, outcome, result, note, head == null ? -1 : crowd(head), load));
    }
  }

  private static CopyStatus note(String copy) {
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

  private static int crowd(Head head) {
    String crowd = head.get(Oip.CONCURRENCY);
    return crowd != null && crowd.matches("[0-9]{1,6}") ? Integer.parseInt(crowd) : -1;
  }

  private Loaded order(String worker, String function, int copies, long decidedWith, long began) {
    Progress progress = Progress.CONNECTING;
    long until = began + settings.order();
    InetSocketAddress address = addresses.apply(worker);
    MessageMemory memory = unfinished.memory();
    try (HttpConnection connection =
        address == null ? null : HttpConnection.open(address, settings.connect() / 1000, limits)) {
      boolean open;
      synchronized (gate) {
        open = connection != null
            && gate.maySendLoadOrder(worker, decidedWith, Clock.micros()).allowed();
      }
      if (!open) {
        return loaded(
            worker, function, 0, connection == null ? Outcome.CONNECT_FAILED : Outcome.MOOT, began);
      }
      progress = Progress.SENDING;
      connection.write(HeadWriter.request("POST", Oip.loadTarget(function), worker)
          .field("Content-Type", "application/json")
          .field("Connection", "close")
          .field(Oip.EDGE_ORDINAL, settings.edge())
          .with(Oip.loadRequest(copies)));
      connection.takeMemoryFrom(memory);
      Head head = connection.readResponse(until);
      byte[] body = connection.readBody(BodyParser.forResponse(head, limits), until);
      Outcome outcome = AttemptOutcomes.of(
          Progress.RESPONDING, Ending.RESPONSE, head.status(), "no".equals(head.get(Oip.EXECUTED)));
      return loaded(
          worker, function, Oip.copiesIn(outcome == Outcome.OK ? body : NOTHING), outcome, began);
    } catch (SocketTimeoutException e) {
      return loaded(
          worker, function, 0, AttemptOutcomes.of(progress, Ending.TIMED_OUT, 0, false), began);
    } catch (NoRoomException e) {
      LOG.warn("an order to {} was given up: {}", worker, e.getMessage());
      return loaded(
          worker, function, 0, AttemptOutcomes.of(progress, Ending.CANCELLED, 0, false), began);
    } catch (IOException | BadMessage | IllegalArgumentException e) {
      return loaded(
          worker, function, 0, AttemptOutcomes.of(progress, Ending.BROKEN, 0, false), began);
    } finally {
      memory.end();
    }
  }

  private static Loaded loaded(
      String worker, String function, int copies, Outcome outcome, long began) {
    return new Loaded(
        worker, function, outcome == Outcome.OK ? copies : 0, outcome, Clock.micros() - began);
  }

  /** The newest kept connection that this call may use and whose other side still stands; null where there is none. */
  private HttpConnection borrow(String worker, Effect effect) {
    ArrayDeque<Kept> kept = idle.get(worker);
    while (kept != null) {
      Kept newest;
      synchronized (kept) {
        newest = kept.pollLast();
      }
      if (newest == null) {
        return null;
      }
      long age = Clock.micros() - newest.since();
      if (ConnectionChoice.mayReuse(
              effect, age, settings.connectionIdle(), settings.unsafeConnectionIdle())
          && !newest.connection().peerGone()
          && !newest.connection().hasBufferedBytes()) {
        return newest.connection();
      }
      boolean onlyTooOldForThis = effect == Effect.UNSAFE
          && ConnectionChoice.mayReuse(Effect.SAFE, age, settings.connectionIdle(), 0);
      if (onlyTooOldForThis) {
        keep(kept, newest);
        return null;
      }
      newest.connection().close();
    }
    return null;
  }

  private static void keep(ArrayDeque<Kept> kept, Kept connection) {
    synchronized (kept) {
      kept.addLast(connection);
    }
  }

  private void giveBack(String worker, HttpConnection connection, Head head, Effect effect) {
    ArrayDeque<Kept> kept = idle.computeIfAbsent(worker, w -> new ArrayDeque<>());
    synchronized (kept) {
      if (head.keepsConnection()
          && !connection.hasBufferedBytes()
          && ConnectionChoice.mayKeep(effect, kept.size())) {
        keep(kept, new Kept(connection, Clock.micros()));
        return;
      }
    }
    connection.close();
  }

  /** Drops what belongs to workers that are gone, and connections idle too long; called now and then. */
  public void check() {
    long now = Clock.micros();
    idle.forEach((worker, kept) -> {
      synchronized (kept) {
        while (!kept.isEmpty()
            && (addresses.apply(worker) == null
                || now - kept.peekFirst().since() >= settings.connectionIdle())) {
          kept.pollFirst().connection().close();
        }
      }
    });
    idle.keySet().removeIf(worker -> addresses.apply(worker) == null);
    Set<String> inUse = new HashSet<>();
    out.values().forEach(all -> all.values().forEach(exchange -> inUse.add(exchange.worker)));
    synchronized (gate) {
      gate.retainWorkers(worker -> addresses.apply(worker) != null || inUse.contains(worker));
    }
  }

  @Override
  public void close() {
    threads.close();
    out.values().forEach(all -> all.values().forEach(Exchange::cancel));
    idle.values().forEach(kept -> {
      synchronized (kept) {
        kept.forEach(k -> k.connection().close());
        kept.clear();
      }
    });
  }
}
