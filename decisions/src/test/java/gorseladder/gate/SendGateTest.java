package gorseladder.gate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.Rules;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class SendGateTest {
  private static final Rules RULES = new Rules(500, 0.2, 1000, 2.5, 100, 2, 0.3, 5000);

  @Test
  void closesAtTheNewsAndOpensOnlyForNewerNews() {
    SendGate gate = new SendGate(RULES);
    assertTrue(gate.maySendCall("w"));
    gate.phaseReported("w", Phase.DRAINING, 100);
    assertFalse(gate.maySendCall("w"));
    assertFalse(gate.maySendLoadOrder("w", 0, 101).allowed());
    assertTrue(gate.maySendCall("v"));
    gate.phaseReported("w", Phase.RUNNING, 90);
    assertFalse(gate.maySendCall("w"), "an older report opened it");
    gate.phaseReported("w", Phase.RUNNING, 200);
    assertTrue(gate.maySendCall("w"));
    gate.phaseReported("v", Phase.GONE, 250);
    gate.phaseReported("v", Phase.RUNNING, 250);
    assertTrue(gate.maySendCall("v"), "gone and back in one report");
    gate.phaseReported("w", Phase.GONE, 300);
    gate.phaseReported("u", Phase.GONE, 300);
    gate.retainWorkers(worker -> worker.equals("u"));
    assertFalse(gate.maySendCall("u"));
    assertTrue(gate.maySendCall("w"));
    assertEquals(3, gate.refusedCalls());
    assertEquals(1, gate.refusedOrders());
  }

  /** The ration holds in every window and not only in total: free orders plus a share of the calls. */
  @Test
  void theRationHoldsInEveryWindow() {
    Random random = new Random(4);
    SendGate gate = new SendGate(RULES);
    List<Long> taken = new ArrayList<>();
    List<Long> ordered = new ArrayList<>();
    long now = 0;
    for (int i = 0; i < 20_000; i++) {
      now += random.nextInt(400);
      if (random.nextInt(3) > 0) {
        gate.callAccepted(now);
        taken.add(now);
      } else if (gate.maySendLoadOrder("w", 0, now).allowed()) {
        ordered.add(now);
        long from = now - 5000;
        long orders = ordered.stream().filter(t -> t > from).count();
        assertTrue(orders <= 2 + 0.3 * taken.stream().filter(t -> t > from).count());
      }
    }
    assertTrue(ordered.size() > 1000 && gate.refusedOrders() > 1000);
  }

  @Test
  void withoutAWindowOrdersAreFree() {
    SendGate gate = new SendGate(new Rules(500, 0.2, 1000, 2.5, 100, 0, 0, 0));
    for (int i = 0; i < 100; i++) {
      assertTrue(gate.maySendLoadOrder("w", 0, i).allowed());
    }
  }
}
