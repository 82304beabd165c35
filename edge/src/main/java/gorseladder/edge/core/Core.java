package gorseladder.edge.core;

import gorseladder.Router;
import gorseladder.RouterApi.Action;
import gorseladder.RouterApi.Answer;
import gorseladder.RouterApi.Cancel;
import gorseladder.RouterApi.ClientGone;
import gorseladder.RouterApi.Event;
import gorseladder.RouterApi.Fail;
import gorseladder.RouterApi.Load;
import gorseladder.RouterApi.Loaded;
import gorseladder.RouterApi.Log;
import gorseladder.RouterApi.Note;
import gorseladder.RouterApi.Outcome;
import gorseladder.RouterApi.Refuse;
import gorseladder.RouterApi.Request;
import gorseladder.RouterApi.Send;
import gorseladder.RouterApi.SetTimer;
import gorseladder.RouterApi.Settings;
import gorseladder.RouterApi.TellPeers;
import gorseladder.RouterApi.TimerDue;
import gorseladder.RouterApi.WatchList;
import gorseladder.RouterApi.Workers;
import gorseladder.answers.Endings;
import gorseladder.answers.Reason;
import gorseladder.answers.RetryAdvice;
import gorseladder.runtime.Clock;
import gorseladder.runtime.Mailbox;
import gorseladder.runtime.Threads;
import gorseladder.structures.TimerWheel;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One thread that owns the router. Others post what happened; it tells the router, and carries out what the router
 * decides. It translates and decides nothing about workers.
 */
public final class Core implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Core.class);
  private static final long IDLE_NANOS = 1_000_000_000L;

  /** Carries out what leaves this process; must not block. Its reports come back by the core's methods. */
  public interface Hands {
    /** Starts an attempt; ends in exactly one {@link Core#attemptEnded}. */
    void send(TakenCall call, int attempt, String worker, long timeout);

    /** Stops an attempt; its end still comes. */
    void cancel(TakenCall call, int attempt);

    /** Orders copies; ends in exactly one {@link Core#loadEnded}. */
    void load(String worker, String function, int copies);

    /** Sends text to every other edge. */
    void tellPeers(String text);

    /** Asks for the worker list. */
    void watchList();
  }

  /** How an attempt ended, as the runner side saw it. */
  public record AttemptEnd(TakenCall call, int attempt, Outcome outcome, byte[] body, Note note, int crowd,
      Map<String, Double> report) {}

  private sealed interface Message {}

  private record Arrived(TakenCall call) implements Message {}

  private record Ended(AttemptEnd end) implements Message {}

  private record News(Event event) implements Message {}

  private record Left(TakenCall call) implements Message {}

  private final Settings settings;
  private final Router router;
  private final Hands hands;
  private final RetryAdvice advice;
  private final Mailbox<Message> mailbox;
  private final TimerWheel<String> timers;
  private final Map<Long, TakenCall> calls = new HashMap<>();
  private final Map<TakenCall, Integer> attemptsOut = new HashMap<>();
  private final Thread thread;
  private volatile boolean stopped;
  private long now;

  /**
   * Starts the core.
   *
   * @param mostOffers calls that may wait to be looked at; further ones are not taken
   */
  public Core(Settings settings, long seed, Hands hands, int mostOffers, int stackBytes) {
    this.settings = settings;
    this.router = new Router(settings, seed);
    this.hands = hands;
    this.advice = new RetryAdvice(settings.limits().maxRetryAfter(), seed);
    this.mailbox = new Mailbox<>(mostOffers);
    this.timers = new TimerWheel<>(Math.max(100, settings.tick() / 2), Clock.micros());
    this.thread = Threads.start("core", stackBytes, this::run);
  }

  /** Offers a call; false where too many wait already, and then it is not taken. */
  public boolean offer(TakenCall call) {
    return mailbox.offer(new Arrived(call));
  }

  /** An attempt ended; exactly once for each. */
  public void attemptEnded(AttemptEnd end) {
    mailbox.put(new Ended(end));
  }

  /** A load order ended. */
  public void loadEnded(Loaded loaded) {
    mailbox.put(new News(loaded));
  }

  /** The client of a call left, or the call was answered without the router. */
  public void clientGone(TakenCall call) {
    mailbox.put(new Left(call));
  }

  /** The worker list has news. */
  public void listNews(Workers news) {
    mailbox.put(new News(news));
  }

  /** Another edge sent a message. */
  public void peerMessage(int sender, String text) {
    mailbox.put(new News(new gorseladder.RouterApi.PeerMessage(sender, text)));
  }

  private void run() {
    try {
      while (!stopped) {
        now = Clock.micros();
        timers.advance(now, token -> tell(new TimerDue(token)));
        long wait = Math.min((timers.nextDue() - now) * 1000, IDLE_NANOS);
        Message message = mailbox.take(timers.nextDue() == Long.MAX_VALUE ? IDLE_NANOS : Math.max(0, wait));
        if (message != null) {
          now = Clock.micros();
          handle(message);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void handle(Message message) {
    if (message instanceof Arrived m) {
      arrived(m.call());
    } else if (message instanceof Ended m) {
      ended(m.end());
    } else if (message instanceof Left m) {
      tell(new ClientGone(m.call().id()));
      release(m.call());
    } else if (message instanceof News m) {
      tell(m.event());
    }
  }

  /** An error of the router must not end the thread: the other calls go on, and the log says where it was. */
  private void tell(Event event) {
    try {
      router.on(now, event, this::carryOut);
    } catch (RuntimeException e) {
      LOG.error("the router failed at {}", event.getClass().getSimpleName(), e);
    }
  }

  private void arrived(TakenCall call) {
    TakenCall.Facts f = call.facts();
    calls.put(call.id(), call);
    tell(new Request(call.id(), f.requestClass().name(), f.tenant(), f.function(), Math.max(0, f.deadlineAt() - now), 0,
        f.memoryMb(), f.lanes(), f.loadTime(), f.repeat()));
  }

  private void ended(AttemptEnd end) {
    TakenCall call = end.call();
    call.ended(end.attempt(), end.outcome());
    TakenCall.Attempt attempt = call.attempt(end.attempt());
    boolean served = end.outcome() == Outcome.OK;
    Outcome outcome = end.outcome();
    // An answer that comes after its time is not served: the client may have gone, and what it is told must be one thing.
    if (served && !call.over()) {
      if (now <= call.facts().deadlineAt() + settings.tick()) {
        finish(call, Reason.SERVED, end.body());
      } else {
        outcome = Outcome.TIMEOUT;
      }
    }
    if (served) {
      call.servedLate(end.body());
    }
    attemptsOut.merge(call, -1, (a, b) -> a + b == 0 ? null : a + b);
    tell(new Answer(call.id(), end.attempt(), attempt.worker(), outcome, call.over(), now - attempt.decidedAt(), end.note(),
        end.crowd(), end.report()));
    release(call);
  }

  private boolean finish(TakenCall call, Reason reason, byte[] body) {
    boolean refused = reason.kind == Reason.Kind.REFUSED;
    advice.noted(refused);
    return call.finish(new FinalAnswer(reason, body, refused ? advice.seconds() : 0), now);
  }

  /** Forgets a call that is over and has no attempt out. */
  private void release(TakenCall call) {
    if (call.over() && !attemptsOut.containsKey(call)) {
      calls.remove(call.id());
    }
  }

  private void carryOut(Action action) {
    if (action instanceof Send a) {
      TakenCall call = calls.get(a.id());
      int number = call.begin(a.worker(), now);
      attemptsOut.merge(call, 1, Integer::sum);
      hands.send(call, number, a.worker(), a.timeout());
    } else if (action instanceof SetTimer a) {
      timers.schedule(now + a.in(), a.token());
    } else if (action instanceof Refuse a) {
      TakenCall call = calls.get(a.id());
      finish(call, Endings.refused(call.outcomes()), null);
      release(call);
    } else if (action instanceof Fail a) {
      TakenCall call = calls.get(a.id());
      finish(call, Endings.failed(call.outcomes()), null);
      release(call);
    } else if (action instanceof Cancel a) {
      hands.cancel(calls.get(a.id()), a.attempt());
    } else if (action instanceof Load a) {
      hands.load(a.worker(), a.function(), a.copies());
    } else if (action instanceof TellPeers a) {
      hands.tellPeers(a.text());
    } else if (action instanceof WatchList) {
      hands.watchList();
    } else if (action instanceof Log a) {
      LOG.info("{}", a.text());
    }
  }

  /** Ends the thread; what it held is answered by the fronts' own time limits. */
  @Override
  public void close() {
    stopped = true;
    thread.interrupt();
  }
}
