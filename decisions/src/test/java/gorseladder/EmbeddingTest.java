package gorseladder;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gorseladder.RouterApi.Action;
import gorseladder.RouterApi.Answer;
import gorseladder.RouterApi.CopyStatus;
import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Group;
import gorseladder.RouterApi.Limits;
import gorseladder.RouterApi.ListKind;
import gorseladder.RouterApi.Outcome;
import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.Request;
import gorseladder.RouterApi.RequestClass;
import gorseladder.RouterApi.Rules;
import gorseladder.RouterApi.Send;
import gorseladder.RouterApi.Settings;
import gorseladder.RouterApi.WorkerEntry;
import gorseladder.RouterApi.WorkerListUpdate;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The README's example of a program that embeds the router and carries out its actions. */
class EmbeddingTest {
  private final List<String> done = new ArrayList<>();

  private void carryOut(Action action) {
    if (action instanceof Send send) {
      done.add("sent " + send.id() + " to " + send.worker());
    }
  }

  @Test
  void takesACallAndHearsItsAnswer() {
    RequestClass status =
        new RequestClass("status", Effect.SAFE, Group.ALL, 0, 500_000, 2_000_000, 1, 0.2, false);
    Settings settings = new Settings(
        0,
        1,
        "hall-a",
        2_000,
        10_000_000,
        true,
        false,
        0,
        1,
        new Limits(4, false, true, false, false, true, true, 1_000_000, 10_000_000),
        new Rules(500_000, 0.2, 15_000_000, 2.5, 1_500_000, 0, 0, 0),
        List.of(status),
        List.of());
    Router router = new Router(settings, 7);
    router.on(
        1_000,
        new WorkerListUpdate(
            ListKind.SAVED, List.of(new WorkerEntry("w1", "hall-a", 0, Phase.RUNNING, 4, 0))),
        this::carryOut);
    router.on(
        2_000,
        new Request(1, "status", "", "fn/a", 2_000_000, 0, 300, 2, 500_000, false),
        this::carryOut);
    router.on(
        90_000,
        new Answer(1, 0, "w1", Outcome.OK, true, 88_000, CopyStatus.WARM, 0, Map.of()),
        this::carryOut);
    assertEquals(List.of("sent 1 to w1"), done);
  }
}
