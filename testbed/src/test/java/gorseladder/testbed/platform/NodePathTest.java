package gorseladder.testbed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.node.NodeConfig;
import gorseladder.platform.BadInput;
import gorseladder.testbed.platform.FastCgiClient.Answer;
import gorseladder.testbed.platform.PlatformRunner.Arrival;
import gorseladder.testbed.platform.PlatformRunner.Reaction;
import gorseladder.wire.fastcgi.RecordWriter;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the path of a call through a dispatcher: answers, retries, the runner list, bad input and the stop. */
class NodePathTest extends DispatcherFixture {
  /** Plays every reaction of a runner at random on thousands of safe and unsafe calls. */
  @Test
  void eachCallGetsOneAnswerAndNothingUnsafeRunsTwice() throws Exception {
    Map<Reaction, Integer> played = new EnumMap<>(Reaction.class);
    Random random = new Random(11);
    start(4, a -> {
      synchronized (played) {
        Reaction[] reactions = Reaction.values();
        Reaction reaction =
            random.nextInt(100) < 80 ? Reaction.SERVE : reactions[random.nextInt(reactions.length)];
        // A silent runner uses up the whole time of its call, so three of four silences become
        // errors.
        reaction = reaction == Reaction.SILENT && random.nextInt(4) > 0 ? Reaction.ERROR : reaction;
        played.merge(reaction, 1, Integer::sum);
        return reaction;
      }
    });
    int calls = 3_000;
    int at = 0;
    int[] outcomes = new int[3];
    while (at < calls) {
      FastCgiClient client = client();
      int from = at;
      for (; at < Math.min(calls, from + 25); at++) {
        client.send(
            at - from + 1,
            FastCgiClient.params(at % 3 == 0 ? "unsafe" : "safe", id(at), FUNCTION, 1_500),
            body(at));
      }
      for (int i = from; i < at; i++) {
        Answer answer = client.await(i - from + 1, 4_000);
        assertNotNull(answer, "call " + i + " got no answer");
        outcomes[answer.status() == 200 ? 0 : answer.refused() ? 1 : 2]++;
        if (answer.status() == 200) {
          assertEquals(
              PlatformRunner.result(id(i), "body " + i),
              new String(answer.body(), StandardCharsets.ISO_8859_1));
        }
      }
      assertEquals(0, client.duplicateAnswers());
      client.close();
    }
    Map<String, Integer> unsafeArrivals = new HashMap<>();
    Map<String, Integer> arrivalsPerConnection = new HashMap<>();
    for (int r = 0; r < runners.size(); r++) {
      for (Arrival a : runners.get(r).arrivals()) {
        arrivalsPerConnection.merge(r + " " + a.connection() + " " + a.id(), 1, Integer::sum);
        if (a.requestClass().equals("unsafe")) {
          unsafeArrivals.merge(a.id(), 1, Integer::sum);
        }
      }
    }
    assertEquals(
        Map.of(), moreThanOnce(arrivalsPerConnection), "an id was sent twice over one connection");
    // An unsafe call may be retried only where the runner reported that it did not run: refused or
    // missed.
    long retriable =
        played.getOrDefault(Reaction.REFUSE, 0) + played.getOrDefault(Reaction.MISS, 0);
    assertTrue(
        moreThanOnce(unsafeArrivals).size() <= retriable,
        "unsafe calls that arrived twice: " + moreThanOnce(unsafeArrivals));
    assertEquals(Reaction.values().length, played.size(), "played " + played);
    assertTrue(
        outcomes[0] > calls / 2 && outcomes[2] > 0,
        "served, refused, failed: " + outcomes[0] + " " + outcomes[1] + " " + outcomes[2]);
    assertTrue(within(3_000, () -> node.isIdle()), node.summary());
  }

  private static Map<String, Integer> moreThanOnce(Map<String, Integer> counts) {
    Map<String, Integer> repeated = new HashMap<>(counts);
    repeated.values().removeIf(n -> n == 1);
    return repeated;
  }

  /** An unsafe call that may have run fails and is not retried, however its connection ended. */
  @ParameterizedTest
  @ValueSource(strings = {"RESET", "NOISE", "HUGE", "HALF", "ERROR"})
  void anUnsafeCallThatMayHaveRunIsFailedAndNotSentAgain(String reaction) throws Exception {
    start(3, a -> Reaction.valueOf(reaction));
    FastCgiClient client = client();
    client.send(1, FastCgiClient.params("unsafe", id(1), FUNCTION, 1_500), body(1));
    Answer answer = client.await(1, 3_000);
    assertTrue(answer.status() >= 500 && !answer.refused(), "status " + answer.status());
    assertEquals(1, arrivals().size());
  }

  /** A safe call is retried at another runner, and a damaged answer is never passed on to the client. */
  @ParameterizedTest
  @ValueSource(strings = {"RESET", "NOISE", "HUGE", "HALF", "REFUSE", "MISS", "AHEAD", "TWICE"})
  void aSafeCallIsServedByAnother(String reaction) throws Exception {
    boolean[] first = {true};
    start(3, a -> {
      synchronized (first) {
        Reaction now = first[0] ? Reaction.valueOf(reaction) : Reaction.SERVE;
        first[0] = false;
        return now;
      }
    });
    FastCgiClient client = client();
    client.send(1, FastCgiClient.params("safe", id(1), FUNCTION, 1_900), body(1));
    Answer answer = client.await(1, 3_000);
    assertEquals(200, answer.status());
    assertEquals(
        PlatformRunner.result(id(1), "body 1"),
        new String(answer.body(), StandardCharsets.ISO_8859_1));
  }

  @Test
  void nothingLeavesAfterADrainIsTold() throws Exception {
    start(2, a -> Reaction.SERVE);
    log.add(PlatformChangeLog.event(3, false, "r0", runners.get(0).address(), "leaving"));
    log.add(PlatformChangeLog.event(4, false, "r1", runners.get(1).address(), "leaving"));
    Thread.sleep(600);
    FastCgiClient client = client();
    client.send(1, FastCgiClient.params("safe", id(1), FUNCTION, 700), body(1));
    Answer answer = client.await(1, 2_000);
    assertTrue(answer.refused(), "status " + answer.status());
    assertEquals(0, arrivals().size());
  }

  /** An event without a runner list advances the position in the log too; else it is requested again for ever. */
  @Test
  void anEventWithoutRunnersIsPassedOver() throws Exception {
    start(1, a -> Reaction.SERVE);
    assertTrue(within(2_000, () -> log.requestedFrom().size() == 1));
    log.add("{\"seq\":2,\"other\":{}}");
    log.add(PlatformChangeLog.event(3, false, "r1", runners.get(0).address(), "active"));
    assertTrue(within(2_000, () -> node.runners().contains("r1")));
    assertEquals(List.of(1L), log.requestedFrom());
  }

  /** The runner list is complete after a broken connection, repeated events, silence and a new log address. */
  @Test
  void theChangeLogIsFollowedThroughBreaksSilenceDoublesAndAMove() throws Exception {
    start(1, a -> Reaction.SERVE);
    assertTrue(within(2_000, () -> log.requestedFrom().size() == 1));
    log.breakConnection();
    log.add(PlatformChangeLog.event(2, false, "r1", runners.get(0).address(), "active"));
    assertTrue(within(2_000, () -> node.runners().contains("r1")), "after a broken connection");
    assertEquals(List.of(1L, 1L), log.requestedFrom());
    log.repeatEvents(1);
    log.add(PlatformChangeLog.event(3, false, "r2", runners.get(0).address(), "active"));
    assertTrue(within(2_000, () -> node.runners().contains("r2")), "after repeated events");
    log.stopSending();
    log.add(PlatformChangeLog.event(4, false, "r3", runners.get(0).address(), "active"));
    assertTrue(within(4_000, () -> node.runners().contains("r3")), "after silence");
    PlatformChangeLog next = new PlatformChangeLog(events);
    log.close();
    log = next;
    node.followChangeLogAt(next.address());
    next.add(PlatformChangeLog.event(5, false, "r0", runners.get(0).address(), "left"));
    assertTrue(within(3_000, () -> !node.runners().contains("r0")), "after a change of address");
    assertEquals(List.of(4L), next.requestedFrom());
  }

  @ParameterizedTest
  @CsvSource({
    "HTTP_X_REQUEST_ID,,400",
    "HTTP_X_REQUEST_ID,xyz,400",
    "HTTP_X_OBJECT,,400",
    "HTTP_X_OBJECT,../etc,400",
    "HTTP_X_TIMEOUT_MS,,400",
    "HTTP_X_TIMEOUT_MS,0,400",
    "HTTP_X_TIMEOUT_MS,-5,400",
    "HTTP_X_TIMEOUT_MS,NaN,400",
    "HTTP_X_TIMEOUT_MS,1e3,400",
    "HTTP_X_TIMEOUT_MS,99999999999,400",
    "HTTP_X_TENANT,nobody,400",
    "SCRIPT_NAME,/svc/none,404",
    "HTTP_X_FACTS,lanes:0;memory_mb:1,400",
    "HTTP_X_FACTS,lanes:1.5;memory_mb:1,400",
    "HTTP_X_FACTS,lanes:x,400",
    "HTTP_X_FACTS,memory_mb:-1;lanes:1,400",
    "HTTP_X_RETRY,7,400",
    "CONTENT_LENGTH,99,400"
  })
  void whatCannotBeUsedIsAnsweredAtOnceAndReachesNoRunner(String name, String value, int status)
      throws Exception {
    start(1, a -> Reaction.SERVE);
    FastCgiClient client = client();
    Map<String, String> params = FastCgiClient.params("safe", id(1), FUNCTION, 1_500);
    if (value == null) {
      params.remove(name);
    } else {
      params.put(name, value);
    }
    client.send(1, params, body(1));
    assertEquals(status, client.await(1, 2_000).status());
    client.send(2, FastCgiClient.params("safe", id(2), FUNCTION, 1_500), body(2));
    assertEquals(200, client.await(2, 2_000).status(), "the connection remains usable");
    assertEquals(1, arrivals().size());
  }

  @Test
  void anIdThatIsOpenIsTurnedAwayAndANumberInUseEndsTheConnection() throws Exception {
    start(1, a -> a.id().equals(id(1)) ? Reaction.SILENT : Reaction.SERVE);
    FastCgiClient first = client();
    first.send(1, FastCgiClient.params("safe", id(1), FUNCTION, 1_900), body(1));
    assertTrue(within(1_000, () -> arrivals().size() == 1));
    FastCgiClient second = client();
    second.send(1, FastCgiClient.params("safe", id(1), FUNCTION, 1_500), body(9));
    assertEquals(422, second.await(1, 1_000).status());
    first.send(1, FastCgiClient.params("safe", id(2), FUNCTION, 1_500), body(2));
    assertTrue(first.awaitEnd(1_000));
    assertEquals(1, arrivals().size());
  }

  @Test
  void endlessBodiesAndParametersAreAnsweredEarly() throws Exception {
    start(1, a -> Reaction.SERVE);
    FastCgiClient client = client();
    byte[] begin = RecordWriter.request(
        1, true, FastCgiClient.params("safe", id(1), FUNCTION, 1_500), new byte[200_000]);
    client.write(begin);
    assertEquals(413, client.await(1, 2_000).status());
    Map<String, String> params = FastCgiClient.params("safe", id(2), FUNCTION, 1_500);
    params.put("HTTP_X_LONG", "x".repeat(30_000));
    client.send(2, params, body(2));
    assertEquals(431, client.await(2, 2_000).status());
    client.send(3, FastCgiClient.params("safe", id(3), FUNCTION, 1_500), body(3));
    assertEquals(200, client.await(3, 2_000).status());
  }

  @Test
  void moreThan32OpenRequestsAreTurnedAway() throws Exception {
    start(1, a -> Reaction.SILENT);
    FastCgiClient client = client();
    for (int i = 1; i <= 40; i++) {
      client.send(i, FastCgiClient.params("safe", id(i), FUNCTION, 1_000), body(i));
    }
    for (int i = 33; i <= 40; i++) {
      assertEquals(2, client.await(i, 2_000).protocol());
    }
    for (int i = 1; i <= 32; i++) {
      assertNotNull(client.await(i, 3_000));
    }
  }

  /**
   * A request number that was answered before the end of its body may be used again, but the new request counts towards
   * the limit of 32 open requests.
   */
  @Test
  void aNumberUsedAgainCountsAsOpenToo() throws Exception {
    start(1, a -> Reaction.SILENT);
    FastCgiClient client = client();
    byte[] tooLong = RecordWriter.request(
        50, true, FastCgiClient.params("safe", id(50), FUNCTION, 1_000), new byte[20_000]);
    client.write(Arrays.copyOf(tooLong, tooLong.length - 8));
    assertEquals(413, client.await(50, 2_000).status());
    for (int i = 1; i <= 32; i++) {
      client.send(i, FastCgiClient.params("safe", id(i), FUNCTION, 1_900), body(i));
    }
    assertTrue(within(1_000, () -> arrivals().size() > 0));
    client.send(50, FastCgiClient.params("safe", id(51), FUNCTION, 1_000), body(51));
    assertTrue(within(1_000, () -> client.duplicateAnswers() == 1));
    assertEquals(2, client.await(50, 1_000).protocol());
  }

  @Test
  void aRequestThatIsWithdrawnIsGivenUpAtTheRunner() throws Exception {
    start(1, a -> Reaction.SILENT);
    FastCgiClient client = client();
    client.send(1, FastCgiClient.params("safe", id(1), FUNCTION, 1_900), body(1));
    assertTrue(within(1_000, () -> arrivals().size() == 1));
    client.write(RecordWriter.abort(1));
    assertTrue(within(1_000, () -> runners.get(0).cancellations() == 1));
    assertTrue(within(1_000, () -> node.isIdle()));
  }

  @Test
  void silentAndHalfReadConnectionsAreClosedInTime() throws Exception {
    start(1, a -> Reaction.SERVE);
    FastCgiClient silent = client();
    FastCgiClient partial = client();
    byte[] whole = RecordWriter.request(
        1, true, FastCgiClient.params("safe", id(1), FUNCTION, 1_500), body(1));
    partial.write(Arrays.copyOf(whole, 100));
    assertTrue(silent.awaitEnd(4_000));
    assertTrue(partial.await(1, 4_000) != null || partial.awaitEnd(1_000));
    assertEquals(0, arrivals().size());
  }

  /** An orderly stop under load answers accepted requests, and those that arrive shortly after it began. */
  @Test
  void aStopAnswersWhatWasTaken() throws Exception {
    start(2, a -> Reaction.SERVE);
    FastCgiClient client = client();
    client.send(1, FastCgiClient.params("safe", id(1), FUNCTION, 1_500), body(1));
    Thread stopping = stopInBackground();
    FastCgiClient late = client();
    for (int i = 2; i <= 20; i++) {
      late.send(
          i, FastCgiClient.params(i % 2 == 0 ? "safe" : "unsafe", id(i), FUNCTION, 1_500), body(i));
      Thread.sleep(20);
    }
    for (int i = 1; i <= 20; i++) {
      assertEquals(200, (i == 1 ? client : late).await(i, 2_000).status(), "call " + i);
    }
    stopping.join(4_000);
    assertFalse(stopping.isAlive());
    assertTrue(client.awaitEnd(1_000));
  }

  /** A valid idempotency key reaches the runner unchanged; a request with an invalid key gets 400 and reaches none. */
  @Test
  void anIdempotencyKeyGoesOnUnchanged() throws Exception {
    start(1, a -> Reaction.SERVE);
    FastCgiClient client = client();
    Map<String, String> params = FastCgiClient.params("keyed", id(1), FUNCTION, 1_500);
    params.put("HTTP_IDEMPOTENCY_KEY", "k-77/a");
    client.send(1, params, body(1));
    assertEquals(200, client.await(1, 2_000).status());
    client.send(2, FastCgiClient.params("safe", id(2), FUNCTION, 1_500), body(2));
    assertEquals(200, client.await(2, 2_000).status());
    for (String bad : List.of("", "a b", "a,thing=0", "a=b", "x\r\n", "x".repeat(200))) {
      params.put("HTTP_IDEMPOTENCY_KEY", bad);
      client.send(3, params, body(3));
      assertEquals(400, client.await(3, 2_000).status(), bad);
      client.forget(3);
    }
    assertEquals(
        Arrays.asList("k-77/a", null),
        arrivals().stream().map(a -> a.fields().get("replay")).toList());
  }

  /** Guards against a leak: ids, connections and runners keep changing, and none may be retained once it is gone. */
  @Test
  void nothingIsKeptOfCallsConnectionsAndRunnersThatAreGone() throws Exception {
    start(2, a -> Reaction.SERVE);
    int seq = 2;
    int number = 0;
    for (int round = 0; round < 40; round++) {
      log.add(
          PlatformChangeLog.event(++seq, false, "new" + round, runners.get(0).address(), "active"));
      if (round > 0) {
        log.add(PlatformChangeLog.event(
            ++seq, false, "new" + (round - 1), runners.get(0).address(), "left"));
      }
      try (FastCgiClient client = new FastCgiClient(node.address())) {
        for (int i = 1; i <= 300; i += 30) {
          for (int k = i; k < i + 30; k++) {
            client.send(
                k, FastCgiClient.params("safe", id(++number), id(number % 500), 1_900), body(k));
          }
          for (int k = i; k < i + 30; k++) {
            assertNotNull(client.await(k, 3_000));
          }
        }
      }
    }
    assertTrue(
        within(4_000, () -> node.runners().size() == 3 && node.connections() == 0 && node.isIdle()),
        node.summary());
    assertTrue(arrivals().size() > 10_000, arrivals().size() + " arrived");
  }

  @Test
  void aConfigurationThatCannotBeUsedNamesThePlace() {
    assertNull(System.getenv("ROUTER_NAME"));
    try {
      NodeConfig.read(Map.of("ROUTER_NAME", "n0", "ROUTER_LISTEN", "somewhere"));
    } catch (BadInput e) {
      assertTrue(e.getMessage().contains("ROUTER_LISTEN"), e.getMessage());
      return;
    }
    throw new AssertionError("accepted");
  }
}
