package gorseladder.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import gorseladder.runtime.HttpConnection;
import gorseladder.store.Digests;
import gorseladder.store.Ledger;
import gorseladder.store.LedgerEntry;
import gorseladder.store.LedgerEntry.Stage;
import gorseladder.testbed.SignedPost.Answer;
import gorseladder.testbed.script.DayScript;
import gorseladder.wire.webhook.Secret;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a signed request that is accepted twice because it is posted at another endpoint, and against a
 * message that runs twice because its sender retries at another path. The signature covers id, time stamp and body,
 * not the path.
 */
class ReplayElsewhereTest {
  private static final String SAFE = "hours.read";
  private static final String KEYED = "assessment.saved";
  private static final String UNSAFE = "certificate.issued";
  private static final String SECRET_A = SignedPost.secretText(1);
  private static final String SECRET_B = SignedPost.secretText(2);
  private static final Secret A = Secret.parse(SECRET_A);
  private static final Secret B = Secret.parse(SECRET_B);
  private static final String OFFICE = "office";
  private static final String GUILD = "guild";
  private static final String TENANTS = """
      tenant { name: "office" share: 1 }
      tenant { name: "guild" share: 1 }
      """;

  private static final long STALL_MILLIS = 5_000;

  @TempDir
  Path dir;

  private TestFleet fleet;
  private String fleetSettings;

  private void start(String script, boolean separateProcesses, String... endpoints)
      throws Exception {
    String extra = TENANTS + String.join("", endpoints);
    fleet = new TestFleet(
        DayScript.parse(script + " edges = 1; runners = 2;"),
        dir,
        separateProcesses,
        line -> {},
        List.of(),
        extra);
    String all = Files.readString(fleet.settingsFile(0));
    fleetSettings = all.substring(0, all.length() - extra.length());
  }

  private void start(String... endpoints) throws Exception {
    start("", false, endpoints);
  }

  /** Ends the edge without a stop and starts it again with other endpoints. */
  private void restartWith(String... endpoints) throws Exception {
    Files.writeString(fleet.settingsFile(0), fleetSettings + TENANTS + String.join("", endpoints));
    fleet.restartEdge(0, 0);
  }

  @AfterEach
  void close() {
    if (fleet != null) {
      fleet.close();
    }
  }

  private static String endpoint(String path, String tenant, String... secrets) {
    StringBuilder text =
        new StringBuilder("endpoint { path: \"" + path + "\" tenant: \"" + tenant + "\"\n");
    for (String secret : secrets) {
      text.append("  secret: \"").append(secret).append("\"\n");
    }
    return text + "  route { type: \"hours.read\" request_class: \"safe\" }\n"
        + "  route { type: \"assessment.saved\" request_class: \"keyed\" }\n"
        + "  route { type: \"certificate.issued\" request_class: \"unsafe\" }\n}\n";
  }

  private static long now() {
    return System.currentTimeMillis() / 1000;
  }

  private InetSocketAddress edge() {
    return fleet.edgeAddress(0);
  }

  private long runs(String id) {
    synchronized (fleet.tap()) {
      return fleet.tap().arrivals.stream()
          .filter(a -> a.message.endsWith(" " + id) && a.ran)
          .count();
    }
  }

  private void assertServed(SignedPost post, String path) throws Exception {
    assertEquals("served", post.to(edge(), path).reason(), path);
  }

  private void assertReplayed(SignedPost post, String path) throws Exception {
    Answer answer = post.to(edge(), path);
    assertEquals("409 replayed", answer.status() + " " + answer.reason(), path);
    assertFalse(answer.retryAfter(), "a replay must not be told to come back");
  }

  private void assertKeptAnswer(SignedPost post, String path) throws Exception {
    assertEquals("served_again", post.to(edge(), path).reason(), path);
  }

  @ParameterizedTest
  @ValueSource(strings = {SAFE, KEYED, UNSAFE})
  void aRequestThatWasTakenIsRefusedAtEveryEndpointWithItsSecret(String type) throws Exception {
    start(
        endpoint("/a", OFFICE, SECRET_A),
        endpoint("/b", OFFICE, SECRET_A),
        endpoint("/c", GUILD, SECRET_B, SECRET_A));
    SignedPost post = SignedPost.of("m1", now(), type, A);
    assertServed(post, "/a");
    assertReplayed(post, "/b");
    assertReplayed(post, "/c");
    assertReplayed(post, "/a");
    assertEquals(1, runs("m1"));
  }

  @ParameterizedTest
  @ValueSource(strings = {SAFE, KEYED, UNSAFE})
  void aReplayWhileTheFirstIsOutIsRefusedAndJoinsNothing(String type) throws Exception {
    start(
        "work = 400ms;", false, endpoint("/a", OFFICE, SECRET_A), endpoint("/b", OFFICE, SECRET_A));
    SignedPost post = SignedPost.of("m1", now(), type, A);
    CompletableFuture<Void> first = CompletableFuture.runAsync(() -> {
      try {
        assertServed(post, "/a");
      } catch (Exception e) {
        throw new IllegalStateException(e);
      }
    });
    Thread.sleep(150);
    assertReplayed(post, "/b");
    first.get();
    assertEquals(1, runs("m1"));
  }

  @Test
  void ofTwoCopiesInOneMomentOneIsTaken() throws Exception {
    start(endpoint("/a", OFFICE, SECRET_A), endpoint("/b", GUILD, SECRET_A));
    for (int i = 0; i < 30; i++) {
      SignedPost post = SignedPost.of("m" + i, now(), i % 2 == 0 ? UNSAFE : SAFE, A);
      List<CompletableFuture<Integer>> copies = List.of("/a", "/b", "/a", "/b").stream()
          .map(path -> CompletableFuture.supplyAsync(() -> status(post, path)))
          .toList();
      List<Integer> statuses =
          copies.stream().map(CompletableFuture::join).sorted().toList();
      assertEquals(List.of(200, 409, 409, 409), statuses);
      assertEquals(1, runs("m" + i));
    }
  }

  private int status(SignedPost post, String path) {
    try {
      return post.to(edge(), path).status();
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  void aKillBetweenTheTwoChangesNothing() throws Exception {
    start("", true, endpoint("/a", OFFICE, SECRET_A), endpoint("/b", OFFICE, SECRET_A));
    SignedPost unsafe = SignedPost.of("m1", now(), UNSAFE, A);
    assertServed(unsafe, "/a");
    fleet.restartEdge(0, 0);
    assertReplayed(unsafe, "/b");
    assertReplayed(unsafe, "/a");
    assertEquals(1, runs("m1"));
  }

  @Test
  void changedSettingsBetweenTheTwoChangeNothing() throws Exception {
    start(endpoint("/a", OFFICE, SECRET_A));
    SignedPost post = SignedPost.of("m1", now(), UNSAFE, A);
    assertServed(post, "/a");
    restartWith(endpoint("/b", OFFICE, SECRET_A));
    assertReplayed(post, "/b");
    restartWith(endpoint("/b", GUILD, SECRET_B, SECRET_A));
    assertReplayed(post, "/b");
    restartWith(endpoint("/a", OFFICE, SECRET_B));
    assertEquals("bad_signature", post.to(edge(), "/a").reason());
    restartWith(endpoint("/a", GUILD, SECRET_A, SECRET_B));
    assertReplayed(post, "/a");
    assertEquals(1, runs("m1"));
  }

  /** A sender that changes its secret signs with both; each endpoint may know another one. */
  @Test
  void noPartOfWhatWasTakenIsTakenAgain() throws Exception {
    start(
        endpoint("/a", OFFICE, SECRET_A),
        endpoint("/b", OFFICE, SECRET_B),
        endpoint("/both", GUILD, SECRET_B, SECRET_A));
    SignedPost whole = SignedPost.of("m1", now(), UNSAFE, A, B);
    assertServed(whole, "/a");
    assertReplayed(whole.part(1), "/b");
    assertReplayed(whole, "/b");
    assertReplayed(whole.part(0), "/both");
    assertReplayed(whole, "/both");
    assertEquals(1, runs("m1"));

    SignedPost second = SignedPost.of("m2", now(), UNSAFE, A, B);
    assertServed(second.part(0), "/a");
    assertReplayed(second, "/b");
    assertReplayed(second, "/both");
    assertEquals(1, runs("m2"));

    SignedPost third = SignedPost.of("m3", now(), SAFE, A, B);
    assertServed(third.part(0), "/both");
    assertReplayed(third.part(1), "/both");
    restartWith(endpoint("/b", OFFICE, SECRET_B), endpoint("/c", GUILD, SECRET_B));
    assertReplayed(third.part(1), "/c");
    assertEquals(1, runs("m3"));
  }

  /** Uses the key pair of RFC 8032 section 7.1, test 1. */
  @Test
  void anEd25519SignatureIsTakenOnceToo() throws Exception {
    HexFormat hex = HexFormat.of();
    String seed = Base64.getEncoder()
        .encodeToString(
            hex.parseHex("9d61b19deffd5a60ba844af492ec2cc44449c5697b326919703bac031cae7f60"));
    String key = Base64.getEncoder()
        .encodeToString(
            hex.parseHex("d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a"));
    start(endpoint("/a", OFFICE, "whpk_" + key), endpoint("/b", GUILD, SECRET_B, "whpk_" + key));
    SignedPost post = SignedPost.of("m1", now(), UNSAFE, Secret.parse("whsk_" + seed), B);
    assertServed(post, "/a");
    assertReplayed(post.part(0), "/b");
    assertReplayed(post, "/b");
    assertEquals(1, runs("m1"));
  }

  @Test
  void tenantsWithSecretsOfTheirOwnDoNotUseUpEachOthersRequests() throws Exception {
    start(endpoint("/a", OFFICE, SECRET_A), endpoint("/b", GUILD, SECRET_B));
    long timestamp = now();
    SignedPost office = SignedPost.of("m1", timestamp, UNSAFE, A);
    SignedPost guild = SignedPost.of("m1", timestamp, UNSAFE, B);
    assertServed(office, "/a");
    assertServed(guild, "/b");
    assertReplayed(office, "/a");
    assertReplayed(guild, "/b");
    assertEquals(2, runs("m1"));

    // One tenant lists the other's signature beside its own.
    SignedPost listed = SignedPost.of("m2", timestamp, UNSAFE, A, B);
    assertServed(listed, "/a");
    assertServed(listed.part(1), "/b");
    assertReplayed(listed, "/a");
  }

  @Test
  void aRetryAtTheNewPathOfARenamedEndpointIsTheSameMessage() throws Exception {
    start(endpoint("/old", OFFICE, SECRET_A));
    assertServed(SignedPost.of("m1", now(), UNSAFE, A), "/old");
    fleet.runners().forEach(r -> r.faults().reset = true);
    assertEquals(
        "failed_reset", SignedPost.of("m2", now(), UNSAFE, A).to(edge(), "/old").reason());
    fleet.runners().forEach(r -> r.faults().reset = false);
    // Its sender may have a new secret, too.
    restartWith(endpoint("/new", OFFICE, SECRET_B, SECRET_A));
    assertKeptAnswer(SignedPost.of("m1", now() + 1, UNSAFE, B), "/new");
    Answer second = SignedPost.of("m2", now() + 1, UNSAFE, A).to(edge(), "/new");
    assertEquals("failed_unknown_effect", second.reason());
    assertFalse(second.retryAfter());
    restartWith(endpoint("/newer", OFFICE, SECRET_A));
    assertKeptAnswer(SignedPost.of("m1", now() + 2, UNSAFE, A), "/newer");
    assertEquals(1, runs("m1"));
    assertEquals(1, runs("m2"));
  }

  @Test
  void oneEventAtTwoEndpointsWithOneSecretRunsOnce() throws Exception {
    start(
        "work = 300ms;", false, endpoint("/a", OFFICE, SECRET_A), endpoint("/b", OFFICE, SECRET_A));
    SignedPost first = SignedPost.of("m1", now(), UNSAFE, A);
    SignedPost signedAnew = SignedPost.of("m1", now() + 1, UNSAFE, A);
    CompletableFuture<Integer> out = CompletableFuture.supplyAsync(() -> status(first, "/a"));
    Thread.sleep(100);
    assertServed(signedAnew, "/b");
    assertEquals(200, out.get());
    assertReplayed(first, "/b");
    assertKeptAnswer(SignedPost.of("m1", now() + 2, UNSAFE, A), "/b");
    assertEquals(
        "conflict", SignedPost.of("m1", now() + 3, SAFE, A).to(edge(), "/b").reason());
    assertEquals(1, runs("m1"));
  }

  @Test
  void aReplayDuringAStopIsRefusedForGood() throws Exception {
    start(
        "work = 700ms;", false, endpoint("/a", OFFICE, SECRET_A), endpoint("/b", GUILD, SECRET_A));
    // An edge that stops accepts no new connection and ends each that is open after one more
    // answer.
    HttpConnection kept = SignedPost.connect(edge());
    HttpConnection beside = SignedPost.connect(edge());
    SignedPost done = SignedPost.of("m0", now(), SAFE, A);
    assertEquals("served", done.on(kept, "/a").reason());
    assertEquals("replayed", done.on(beside, "/b").reason());
    SignedPost post = SignedPost.of("m1", now(), SAFE, A);
    CompletableFuture<Integer> out = CompletableFuture.supplyAsync(() -> status(post, "/a"));
    Thread.sleep(150);
    CompletableFuture<Void> stop = CompletableFuture.runAsync(() -> {
      try {
        fleet.stopEdge(0);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    });
    Thread.sleep(100);
    for (Answer answer : List.of(done.on(kept, "/b"), post.on(beside, "/b"))) {
      assertEquals("replayed", answer.reason());
      assertFalse(answer.retryAfter());
    }
    assertEquals(200, out.get());
    stop.get();
    kept.close();
    beside.close();
    assertEquals(1, runs("m1"));
  }

  @Test
  void aReplayWhoseRecordCannotBeReadIsRefusedForGood() throws Exception {
    start(endpoint("/a", OFFICE, SECRET_A), endpoint("/b", OFFICE, SECRET_A));
    SignedPost post = SignedPost.of("m1", now(), SAFE, A);
    assertServed(post, "/a");
    fleet.disk().stallReadsFor(STALL_MILLIS);
    assertReplayed(post, "/b");
    assertEquals(1, runs("m1"));
  }

  /** Releases before 0.10 recorded a key with the path and nothing else. */
  @Test
  void recordsOfTheReleaseBeforeStillCount() throws Exception {
    SignedPost post = SignedPost.of("m1", now(), UNSAFE, A);
    Path data = dir.resolve("data-0");
    Files.createDirectories(data);
    try (Ledger ledger = Ledger.open(data.resolve("ledger"), false, 1000)) {
      long keepUntil = ledger.clock().micros() + 600_000_000L;
      LedgerEntry served = new LedgerEntry(
          Stage.SERVED,
          true,
          1,
          2,
          keepUntil,
          digest("unsafe\0svc/x\0", post.body()),
          "served",
          200,
          "kept".getBytes(StandardCharsets.UTF_8));
      String key = Base64.getEncoder()
          .withoutPadding()
          .encodeToString(digest("/a m1\0" + post.timestamp() + "\0", post.body()));
      ledger.await(ledger.put("/a m1", served, key, keepUntil));
    }
    start(endpoint("/a", OFFICE, SECRET_A), endpoint("/b", OFFICE, SECRET_A));
    assertReplayed(post, "/a");
    // The path is known and shares the secret, so the old key is found there too.
    assertReplayed(post, "/b");
    Answer retry = SignedPost.of("m1", now() + 1, UNSAFE, A).to(edge(), "/a");
    assertEquals("served_again kept", retry.reason() + " " + retry.body());
    assertEquals(0, runs("m1"));
  }

  private static byte[] digest(String prefix, byte[] body) {
    MessageDigest sha = Digests.sha256();
    sha.update(prefix.getBytes(StandardCharsets.UTF_8));
    return Arrays.copyOf(sha.digest(body), 16);
  }
}
