package gorseladder.node;

import gorseladder.Router;
import gorseladder.RouterApi.Action;
import gorseladder.RouterApi.Answer;
import gorseladder.RouterApi.ListKind;
import gorseladder.RouterApi.Note;
import gorseladder.RouterApi.Outcome;
import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.Request;
import gorseladder.RouterApi.RequestClass;
import gorseladder.RouterApi.Send;
import gorseladder.RouterApi.Settings;
import gorseladder.RouterApi.WorkerEntry;
import gorseladder.RouterApi.Workers;
import gorseladder.core.Call.Facts;
import gorseladder.core.Call.LastLook;
import gorseladder.core.RuleLog;
import gorseladder.rules.RuleWatch.Written;
import gorseladder.wire.fastcgi.RecordWriter;
import gorseladder.wire.runner.AnswerParser;
import gorseladder.wire.runner.BadAnswer;
import gorseladder.wire.runner.Commands;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Goes through the steps of a call a few times on values of its own before the dispatcher is live: no socket, no
 * thread, nothing that outlasts it.
 *
 * <p>Guards against first calls that take long: in a new process each step loads its classes when it is met first, and
 * where many processes share a core that took 150 to 300 ms between the last look at an attempt and the end of its
 * write. It could harm a start that has hardly any processor time, by some ten milliseconds of it.
 */
final class WarmUp {
  private static final Logger LOG = LoggerFactory.getLogger(WarmUp.class);
  /**
   * Classes of the Java machine that are set up when something fails for the first time, and read a file for it. Guards
   * against a file that cannot be opened just then: such a class is of no use for good, and each connect that fails
   * later ends in an Error.
   */
  private static final List<String> SET_UP =
      List.of("java.security.Security", "sun.net.util.SocketExceptions");

  private static final int ROUNDS = 40;
  private static final long SECOND = 1_000_000;
  private static final String WORKER = "warm-up";

  private WarmUp() {}

  /** Goes through them; a step that fails is left out. */
  static void run(Settings settings) {
    SET_UP.forEach(WarmUp::setUp);
    Router router = new Router(settings, 1);
    RequestClass requestClass = settings.classes().get(0);
    List<WorkerEntry> workers = List.of(new WorkerEntry(WORKER, "", 0, Phase.RUNNING, 1, 0));
    router.on(1, new Workers(ListKind.SAVED, workers), action -> {});
    RuleLog rules = new RuleLog();
    for (int round = 1; round <= ROUNDS; round++) {
      decide(router, requestClass, round);
      translate(requestClass, round, rules);
    }
  }

  /** Where the class cannot be had the machine has another way, and sets that up itself. */
  private static void setUp(String name) {
    try {
      Class.forName(name);
    } catch (ClassNotFoundException e) {
      LOG.debug("no class {}", name);
    }
  }

  private static void decide(Router router, RequestClass requestClass, int round) {
    long now = round * SECOND;
    boolean[] sent = new boolean[1];
    Request request = new Request(
        round, requestClass.name(), "", "f", requestClass.deadline(), 0, 1, 4, 0, false);
    router.on(now, request, (Action action) -> sent[0] |= action instanceof Send);
    if (sent[0]) {
      Answer answer =
          new Answer(round, 0, WORKER, Outcome.OK, true, SECOND / 100, Note.NONE, 0, Map.of());
      router.on(now + SECOND / 100, answer, action -> {});
    }
  }

  private static void translate(RequestClass requestClass, int round, RuleLog rules) {
    long now = round * SECOND;
    String id = "%016x".formatted(round);
    Facts facts = new Facts(
        id, requestClass, "", "f", new byte[1], 1, 1, 0, false, now, now + requestClass.deadline());
    NodeCall call = new NodeCall(round, facts, null, 0, (ended, answer) -> {});
    int attempt = call.begin(WORKER, now, 1);
    LastLook look = new LastLook(facts.deadlineAt(), false, false, 0, false);
    if (call.leave(attempt, look, now).allowed()) {
      Commands.go(id, requestClass.name(), "f", 1, null, facts.body());
      rules.written(
          id,
          new Written(
              now,
              now,
              0,
              0,
              0,
              now,
              call.endedAt(),
              1,
              facts.deadlineAt(),
              requestClass.effect(),
              requestClass.repeatWindow(),
              false,
              call.others(attempt)));
    }
    call.ended(attempt, Outcome.OK, now);
    byte[] line = (id + " ok remark=up,depth=1 1\r\nx\r\n").getBytes(StandardCharsets.US_ASCII);
    try {
      new AnswerParser(line.length).feed(line, 0, line.length, answer -> {});
    } catch (BadAnswer e) {
      // Only its classes were wanted.
    }
    RecordWriter.response(1, 200, Map.of("Content-Type", "application/octet-stream"), line);
  }
}
