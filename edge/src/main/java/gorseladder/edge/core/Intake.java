package gorseladder.edge.core;

import gorseladder.RouterApi.RequestClass;
import gorseladder.answers.Reason;
import gorseladder.core.Core;
import gorseladder.core.FinalAnswer;
import gorseladder.repeats.Repeats;
import gorseladder.repeats.Repeats.Decision;
import gorseladder.runtime.Clock;
import gorseladder.runtime.ThreadCache;
import gorseladder.store.Digests;
import gorseladder.store.Ledger;
import gorseladder.store.LedgerClock;
import gorseladder.store.LedgerEntry;
import gorseladder.store.LedgerEntry.Stage;
import gorseladder.store.LedgerException;
import gorseladder.store.RequestKey;
import gorseladder.wire.webhook.SignatureValue;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connects the webhook front with the core: looks a delivery up in the ledger, asks {@link Repeats} what to do with it,
 * and then starts a call, joins a call in progress or answers at once. Deliveries of the same message are handled one
 * after the other.
 *
 * <p>Thread safe.
 */
public final class Intake {
  private static final Logger LOG = LoggerFactory.getLogger(Intake.class);
  private static final int LOCK_STRIPES = 256;
  private static final int CONTENT_DIGEST_BYTES = 16;

  /**
   * What a delivery asks to be run.
   *
   * @param loadTime of a copy that the delivery states, in microseconds
   */
  public record Work(
      RequestClass requestClass,
      String tenant,
      String function,
      byte[] body,
      double memoryMb,
      int lanes,
      long loadTime) {}

  /**
   * A delivery whose signature is valid; times in microseconds.
   *
   * @param messages the identities that its message may have, that of its own path first; not empty
   * @param request identifies the signed request
   * @param goodSignatures those of its signatures that a secret of its endpoint made
   * @param requestKeepUntil how long the signed request is kept, by the ledger's clock
   * @param clientTimeout how long the client waits from {@code arrivedAt} on
   */
  public record Delivery(
      List<MessageId> messages,
      SignedRequest request,
      Set<SignatureValue> goodSignatures,
      long requestKeepUntil,
      Work work,
      long arrivedAt,
      long clientTimeout,
      AdmissionCheck.Pass pass,
      BooleanSupplier clientHasLeft) {
    RequestClass requestClass() {
      return work.requestClass();
    }

    RequestKeys keysFor(MessageId message) {
      return new RequestKeys(request.keysToRecord(message, goodSignatures), requestKeepUntil);
    }
  }

  /** The outcome for a delivery: a call to wait for, or an immediate answer. */
  public record Result(TakenCall call, boolean joined, FinalAnswer answer) {}

  /** Receives the start of each accepted call, before the core does, and its end. */
  public interface Listener {
    void callAccepted(TakenCall call);

    void callEnded(TakenCall call);
  }

  private final Ledger ledger;
  private final RecordLookup lookup;
  private final Semaphore freeCalls;
  private final long keepMicros;
  private final int maxStoredAnswerBytes;
  private final long answerReserve;
  private final Listener listener;
  private final Map<MessageId, TakenCall> callsByMessage = new ConcurrentHashMap<>();
  /** Keys of signed requests of calls in progress that are recorded only with the end. */
  private final Set<RequestKey> requestsInProgress = ConcurrentHashMap.newKeySet();

  /** Chosen by the sender's id, which all deliveries of a message and all copies of a signed request share. */
  private final Object[] stripeLocks = new Object[LOCK_STRIPES];

  private final AtomicLong lastId = new AtomicLong();
  private volatile Core<TakenCall> core;
  private final StopLimits stopLimits = new StopLimits();
  private volatile boolean stopping;

  /**
   * Creates an intake; {@link #setCore} must follow.
   *
   * @param maxCalls the most calls in progress at a time
   * @param keepMicros how long a message is remembered
   * @param maxStoredAnswerBytes the longest answer that is stored for repeats
   * @param answerReserve part of the client's timeout that is reserved for writing the answer, in microseconds
   * @param ledgerReaders threads for reads from the ledger
   */
  public Intake(
      Ledger ledger,
      int maxCalls,
      long keepMicros,
      int maxStoredAnswerBytes,
      long answerReserve,
      ThreadCache ledgerReaders,
      Listener listener) {
    this.ledger = ledger;
    this.lookup = new RecordLookup(ledger, ledgerReaders, stopLimits);
    this.freeCalls = new Semaphore(maxCalls);
    this.keepMicros = keepMicros;
    this.maxStoredAnswerBytes = maxStoredAnswerBytes;
    this.answerReserve = answerReserve;
    this.listener = listener;
    for (int i = 0; i < LOCK_STRIPES; i++) {
      stripeLocks[i] = new Object();
    }
  }

  /** Sets the core that accepted calls go to; called once, before the first delivery. */
  public void setCore(Core<TakenCall> target) {
    core = target;
  }

  /**
   * Accepts no new calls from now on. Calls in progress continue, and a repeat of one joins it: a refusal would tell
   * its sender that the message did not run.
   */
  public void stop() {
    stopping = true;
  }

  /**
   * Ends all waits for records, since the process is about to exit: at once for calls that the core does not have yet,
   * which get an answer without it, and at the given time for calls with a final answer.
   *
   * @param recordBy on {@link Clock#micros()}
   */
  public void endWaits(long recordBy) {
    stopLimits.set(Clock.micros(), recordBy);
  }

  /** Returns when a client must get its answer in any case since the process exits; far in the future before. */
  public long answerBy() {
    return stopLimits.answerBy();
  }

  /** Returns the clock that the ledger uses for expiry. */
  public LedgerClock clock() {
    return ledger.clock();
  }

  /** Returns the number of calls in progress. */
  public int callsInProgress() {
    return callsByMessage.size();
  }

  /**
   * Returns true if the message is in progress or recorded under one of its identities; such a delivery must not be
   * refused without a look at its record. Never waits for the disk.
   */
  public boolean remembers(List<MessageId> messages) {
    for (MessageId message : messages) {
      if (callsByMessage.containsKey(message) || ledger.isMessageIndexed(message.name())) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the identity of a delivery as a signed request.
   *
   * @param tenant the tenant of its endpoint
   * @param headers verified or not
   */
  public SignedRequest signedRequest(
      String tenant, gorseladder.wire.webhook.Delivery headers, byte[] body) {
    return new SignedRequest(tenant, headers, body, ledger::requestKey);
  }

  /**
   * Returns true if a request with one of these signatures was accepted, at any endpoint; meaningful only if one of
   * them is good. Never waits for the disk.
   */
  public boolean isReplay(SignedRequest request) {
    return isAnyOnRecord(request.signatureKeys());
  }

  private boolean isAnyOnRecord(List<RequestKey> requestKeys) {
    // This order matters: a call that ends in between puts its record before it is removed.
    return !Collections.disjoint(requestsInProgress, requestKeys)
        || ledger.isAnyRequestIndexed(requestKeys);
  }

  /** Handles a delivery whose signature is valid. */
  public Result handle(Delivery d) {
    List<RequestKey> requestKeys = d.request().keysToLookUp(d.messages());
    try {
      Result result = null;
      while (result == null) {
        long deadline = d.arrivedAt() + d.clientTimeout() - answerReserve;
        result = handle(d, requestKeys, lookup.find(d.messages(), deadline));
      }
      return result;
    } catch (LedgerException e) {
      // The tables in memory tell a replay also if no record can be read.
      return isAnyOnRecord(requestKeys)
          ? new Result(null, false, FinalAnswer.of(Reason.REPLAYED))
          : recordUnreadable(d, e.getMessage());
    }
  }

  /** Answers a delivery whose message has a record that cannot be read. */
  private static Result recordUnreadable(Delivery d, String why) {
    if (Repeats.mayRefuseUnreadable(d.requestClass().effect())) {
      return recordUnavailable(null, why);
    }
    LOG.error("{}", why);
    return new Result(null, false, FinalAnswer.of(Reason.FAILED_UNKNOWN_EFFECT));
  }

  /**
   * Handles a delivery given the stored record of its message.
   *
   * @param requestKeys those of its signed request that may be on record
   * @return null if the stored record is no longer the newest
   */
  private Result handle(
      Delivery d, List<RequestKey> requestKeys, RecordLookup.StoredRecord stored) {
    TakenCall call = null;
    long ticket;
    try {
      synchronized (lockOf(d.request())) {
        byte[] content = digest(d.work());
        boolean replay = isAnyOnRecord(requestKeys);
        TakenCall inProgress = callInProgress(d.messages());
        if (inProgress == null && !lookup.isNewest(d.messages(), stored)) {
          return null;
        }
        LedgerEntry known = inProgress != null ? inProgress.entry() : stored.entry();
        long now = ledger.clock().micros();
        Decision decision = Repeats.onDelivery(
            d.requestClass(),
            replay,
            known == null ? null : toRecordedMessage(known, inProgress != null, content),
            now,
            d.clientTimeout());
        LOG.debug(
            "message={} request={} known={} in_progress={} decision={}",
            stored.message().name(),
            requestKeys,
            known == null ? "no" : known.stage(),
            inProgress != null,
            decision.action());
        if (decision.action() != Repeats.Action.RUN) {
          return answerDuplicate(decision, d, stored.message(), known, inProgress);
        }
        if (stopping) {
          return new Result(null, false, FinalAnswer.of(Reason.STOPPING));
        }
        if (!ledger.hasRoom()) {
          return new Result(null, false, FinalAnswer.of(Reason.LEDGER_UNAVAILABLE));
        }
        if (!freeCalls.tryAcquire()) {
          return new Result(null, false, FinalAnswer.of(Reason.BUSY));
        }
        LedgerEntry entry = new LedgerEntry(
            Stage.ACCEPTED,
            known != null && known.mayHaveRun(),
            now,
            known == null ? 0 : known.leftAt(),
            known == null ? now + keepMicros : known.keepUntil(),
            content,
            "",
            0,
            null);
        MessageId message = stored.message();
        RequestKeys newKeys = d.keysFor(message);
        boolean recordFirst = Repeats.recordBeforeAccepting(d.requestClass().effect());
        call = new TakenCall(
            lastId.incrementAndGet(),
            facts(d, message, decision.timeLimit(), known != null),
            ledger,
            entry,
            recordFirst ? RequestKeys.NONE : newKeys,
            maxStoredAnswerBytes,
            d.pass(),
            c -> callEnded(c, message, newKeys));
        call.addClient(d.clientHasLeft());
        callsByMessage.put(message, call);
        if (recordFirst) {
          ticket = ledger.put(message.name(), entry, newKeys.keys(), newKeys.keepUntil());
        } else {
          requestsInProgress.addAll(newKeys.keys());
          ticket = 0;
        }
      }
      listener.callAccepted(call);
      long deadline = call.facts().deadlineAt();
      if (ticket > 0
          && !RecordWait.awaitUntil(
              ledger, ticket, () -> Math.min(deadline, stopLimits.acceptBy()))) {
        return recordUnavailable(call, "the record of a call was not written before its deadline");
      }
    } catch (LedgerException e) {
      return recordUnavailable(call, e.getMessage());
    }
    if (!core.offer(call)) {
      call.finish(FinalAnswer.of(Reason.BUSY), Clock.micros());
    }
    return new Result(call, false, null);
  }

  private Object lockOf(SignedRequest request) {
    return stripeLocks[Math.floorMod(request.senderId().hashCode(), LOCK_STRIPES)];
  }

  /** Returns the call in progress of a message; null for none. */
  private TakenCall callInProgress(List<MessageId> messages) {
    for (MessageId message : messages) {
      TakenCall call = callsByMessage.get(message);
      if (call != null) {
        return call;
      }
    }
    return null;
  }

  /**
   * Refuses a delivery that could not be recorded.
   *
   * @param call the call, not yet offered to the core; null if none was created
   */
  private static Result recordUnavailable(TakenCall call, String why) {
    LOG.error("{}", why);
    FinalAnswer unavailable = FinalAnswer.of(Reason.LEDGER_UNAVAILABLE);
    if (call != null) {
      call.finish(unavailable, Clock.micros());
    }
    return new Result(null, false, unavailable);
  }

  private TakenCall.Facts facts(Delivery d, MessageId message, long timeLimit, boolean repeat) {
    Work work = d.work();
    return new TakenCall.Facts(
        message.name(),
        work.requestClass(),
        work.tenant(),
        work.function(),
        work.body(),
        work.memoryMb(),
        work.lanes(),
        work.loadTime(),
        repeat,
        d.arrivedAt(),
        d.arrivedAt() + Math.max(1, Math.min(timeLimit, d.clientTimeout()) - answerReserve));
  }

  private static Repeats.RecordedMessage toRecordedMessage(
      LedgerEntry entry, boolean inProgress, byte[] content) {
    return new Repeats.RecordedMessage(
        Repeats.Phase.valueOf(entry.stage().name()),
        inProgress,
        entry.mayHaveRun(),
        entry.leftAt(),
        Arrays.equals(entry.contentDigest(), content));
  }

  /**
   * Answers a delivery that starts no call. The signed request of a joined or repeated delivery is recorded too, so
   * that a replay of it gets 409.
   */
  private Result answerDuplicate(
      Decision decision, Delivery d, MessageId message, LedgerEntry known, TakenCall inProgress)
      throws LedgerException {
    if (decision.action() != Repeats.Action.REPLAYED) {
      RequestKeys newKeys = d.keysFor(message);
      ledger.putRequests(newKeys.keys(), newKeys.keepUntil());
      ledger.flushSoon();
    }
    if (decision.action() == Repeats.Action.JOIN) {
      inProgress.join();
      inProgress.addClient(d.clientHasLeft());
    }
    return switch (decision.action()) {
      case JOIN -> new Result(inProgress, true, null);
      case RETURN_STORED_ANSWER ->
        new Result(null, false, new FinalAnswer(Reason.SERVED_AGAIN, known.answer(), 0));
      case REPLAYED -> new Result(null, false, FinalAnswer.of(Reason.REPLAYED));
      case CONFLICT -> new Result(null, false, FinalAnswer.of(Reason.CONFLICT));
      default -> new Result(null, false, FinalAnswer.of(Reason.FAILED_UNKNOWN_EFFECT));
    };
  }

  private void callEnded(TakenCall call, MessageId message, RequestKeys requestKeys) {
    callsByMessage.remove(message, call);
    requestKeys.keys().forEach(requestsInProgress::remove);
    freeCalls.release();
    listener.callEnded(call);
  }

  /**
   * Waits until the end of a call may be answered: for some classes the record of the end must be durable first, unless
   * that takes too long.
   *
   * @param deadline when the answer must be given in any case, on {@link Clock#micros()}
   */
  public void awaitRecord(TakenCall call, long deadline) {
    if (!Repeats.recordBeforeAnswer(call.facts().requestClass().effect())) {
      ledger.flushSoon();
      return;
    }
    try {
      if (!RecordWait.awaitUntil(
          ledger, call.endTicket(), () -> Math.min(deadline, stopLimits.answerBy()))) {
        LOG.warn(
            "{} is answered before the record of its end is written",
            call.facts().message());
      }
    } catch (LedgerException e) {
      // The answer is correct and is given anyway; after a kill the message counts as one that may
      // have run.
      LOG.error("{}", e.getMessage());
    }
  }

  private static byte[] digest(Work work) {
    String prefix = work.requestClass().name() + "\0" + work.function() + "\0";
    byte[] digest = Digests.sha256(prefix.getBytes(StandardCharsets.UTF_8), work.body());
    return Arrays.copyOf(digest, CONTENT_DIGEST_BYTES);
  }
}
