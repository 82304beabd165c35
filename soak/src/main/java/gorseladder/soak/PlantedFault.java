package gorseladder.soak;

import gorseladder.testbed.process.PlantedClass;
import gorseladder.testbed.process.RunLine;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.Set;

/**
 * Faults that test the oracle itself: each changes one class of the dispatcher, and a soak with it has to find the rule
 * broken that the fault names.
 */
public enum PlantedFault {
  ANSWERS_FORGOTTEN(
      SoakRule.FINAL_ANSWER,
      "node/src/main/java/gorseladder/node/front/FrontConnection.java",
      "if (end.reason().kind == Reason.Kind.GONE) {",
      "if (end.reason().kind == Reason.Kind.GONE || request.id % 20 == 7) {",
      Trouble.HANG),
  ANSWERS_TWICE(
      SoakRule.FINAL_ANSWER,
      "node/src/main/java/gorseladder/node/front/ClientAnswers.java",
      "return outbox.add(new AnswerBytes(bytes, call));",
      "return outbox.add(new AnswerBytes(bytes, call)) && outbox.add(new AnswerBytes(bytes, call));",
      Trouble.PIECES),
  REPEATED_WHATEVER_HAPPENED(
      SoakRule.EFFECT_ONCE,
      "decisions/src/main/java/gorseladder/permits/Permits.java",
      "if (effect == Effect.SAFE || !mayHaveRun) {",
      "if (window >= Long.MIN_VALUE) {",
      Trouble.RESET,
      Trouble.REFUSE),
  DRAINS_IGNORED(
      SoakRule.DRAIN,
      "platform/src/main/java/gorseladder/platform/PlatformList.java",
      "case \"leaving\" -> Phase.DRAINING;",
      "case \"leaving\" -> Phase.RUNNING;",
      Trouble.DRAIN),
  STARTS_IGNORED(
      SoakRule.SLOW_START,
      "platform/src/main/java/gorseladder/platform/PlatformList.java",
      "(long) Fields.number(e, \"boot_ms\", 0)",
      "0L",
      Trouble.RESTART,
      Trouble.DRAIN),
  LEAVING_CLIENTS_IGNORED(
      SoakRule.CLIENT_GONE,
      "node/src/main/java/gorseladder/node/front/FastCgiFront.java",
      "call.finish(FinalAnswer.withoutRetryAdvice(Reason.GONE), Clock.micros());\n    core.clientGone(call);",
      "",
      Trouble.LEAVE,
      Trouble.PAUSE),
  TOO_MUCH_TIME_PASSED(
      SoakRule.DEADLINE,
      "node/src/main/java/gorseladder/node/runners/AttemptRequest.java",
      "timeoutMillis = Math.max(1, (deadline - now) / 1000);",
      "timeoutMillis = Math.max(1, (deadline - now) / 1000) + 400;",
      Trouble.PIECES),
  NEVER_READY(
      SoakRule.READY,
      "node/src/main/java/gorseladder/node/NodeConfig.java",
      "return Long.parseUnsignedLong(hex, 16);",
      "throw new BadInput(\"planted\");",
      Trouble.PIECES),
  WRONG_EXIT_CODE(
      SoakRule.END,
      "node/src/main/java/gorseladder/node/NodeMain.java",
      "return OK;",
      "return 7;",
      Trouble.STOP),
  RELOAD_IGNORED(
      SoakRule.FOLLOW,
      "node/src/main/java/gorseladder/node/Reconfiguration.java",
      "follower.accept(address);",
      "",
      Trouble.RELOAD),
  NEWS_LOST(
      SoakRule.FOLLOW,
      "node/src/main/java/gorseladder/node/Reconfiguration.java",
      "if (changed || signalled || logSilent || failures > 0 || now < rereadUntil) {",
      "if (signalled) {",
      Trouble.NEWS_AMID_FAULT),
  SLOW_LOG_NOT_WAITED_FOR(
      SoakRule.DRAIN,
      "decisions/src/main/java/gorseladder/follow/FeedAttempts.java",
      "if (attempts.size() >= MAX_CONNECTIONS) {",
      "if (!attempts.isEmpty()) {",
      Trouble.LOG_SLOW,
      Trouble.DRAIN),
  CLIENT_BYTES_UNBOUNDED(
      SoakRule.LOG,
      "runtime/src/main/java/gorseladder/runtime/ByteBudget.java",
      "if (used.addAndGet(bytes) <= limit) {",
      "if (used.addAndGet(bytes) > 0) {",
      Trouble.CROWD),
  STOP_ENDS_TOO_LATE(
      SoakRule.END,
      "node/src/main/java/gorseladder/node/Node.java",
      "LOG.info(\"{} stops after {} ms; {}\"",
      "sleepUntil(killAt + 400_000); LOG.info(\"{} stops after {} ms; {}\"",
      Trouble.STOP),
  THREADS_NOT_SHARED(
      SoakRule.FINAL_ANSWER,
      "decisions/src/main/java/gorseladder/threads/ThreadSharing.java",
      "boolean eligible = holder.spare() || holder.idle() >= minIdle;",
      "boolean eligible = false;",
      Trouble.CROWD_WITHOUT_THREADS),
  SEEN_BY_ITSELF(
      SoakRule.LOG,
      "node/src/main/java/gorseladder/node/runners/AttemptRequest.java",
      "timeoutMillis = Math.max(1, (deadline - now) / 1000);",
      "timeoutMillis = Math.max(1, (deadline - now) / 1000) + 400;",
      Trouble.PIECES);

  private static final long SOAK_SECONDS = 9;
  private static final int DISPATCHERS = 8;

  /** The rule that the soak has to find broken. */
  public final SoakRule rule;

  private final String sourceFile;
  private final String original;
  private final String replacement;
  private final Set<Trouble> troubles;

  PlantedFault(
      SoakRule rule,
      String sourceFile,
      String original,
      String replacement,
      Trouble first,
      Trouble... more) {
    this.rule = rule;
    this.sourceFile = sourceFile;
    this.original = original;
    this.replacement = replacement;
    this.troubles = EnumSet.of(first, more);
  }

  /** Runs a short soak with the fault planted. */
  public SoakRun.Result runSoak(long seed, Path root, Path folder)
      throws IOException, InterruptedException {
    Path plantedFolder = Files.createDirectories(folder.resolve(name()));
    Path classes =
        PlantedClass.compile(root.resolve(sourceFile), original, replacement, plantedFolder);
    SoakPlan plan = SoakPlan.draw(seed, DISPATCHERS, SOAK_SECONDS * 1_000_000, troubles);
    try (SoakRun run = new SoakRun(plan, root, plantedFolder, RunLine.read(root, classes))) {
      return run.execute();
    }
  }

  /** True where the source still contains the line that the fault changes. */
  boolean canBePlanted(Path root) throws IOException {
    return Files.readString(root.resolve(sourceFile)).contains(original);
  }

  /** True where the soak found the expected rule broken. */
  public boolean isFound(SoakRun.Result result) {
    return result.findings().stream().anyMatch(finding -> finding.rule() == rule);
  }
}
