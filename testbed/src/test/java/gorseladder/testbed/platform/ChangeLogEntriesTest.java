package gorseladder.testbed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.testbed.platform.PlatformRunner.Reaction;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests change log events with unreadable parts: the readable parts apply, and later events are still received. */
class ChangeLogEntriesTest extends DispatcherFixture {
  private static final String EVENT =
      "{\"seq\":3,\"fleet\":{\"rev\":3,\"all\":%s,\"targets\":[%s,%s]}}";
  private static final String R0_LEFT =
      "{\"uid\":\"r0\",\"endpoint\":\"127.0.0.1:1\",\"az\":\"z\",\"pod_group\":0,\"state\":\"left\"}";

  /** A readable entry applies, though an entry beside it in the same event is unreadable. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "{\"uid\":\"x\",\"state\":\"left\"}",
        "{\"uid\":\"x\",\"state\":\"left\",\"endpoint\":\"nowhere\"}",
        "{\"uid\":\"x\",\"state\":\"dancing\",\"endpoint\":\"127.0.0.1:1\"}",
        "{\"uid\":7,\"state\":\"active\",\"endpoint\":\"127.0.0.1:1\"}",
        "{\"state\":\"active\",\"endpoint\":\"127.0.0.1:1\"}",
        "{\"uid\":\"x\",\"state\":\"active\"}",
        "{\"uid\":\"x\",\"state\":\"active\",\"endpoint\":\"127.0.0.1:1\",\"boot_ms\":\"soon\"}"
      })
  void anEntryThatCannotBeReadHidesNoOther(String entry) throws Exception {
    start(2, arrival -> Reaction.SERVE);
    log.add(EVENT.formatted("false", entry, R0_LEFT));
    assertTrue(
        within(3_000, () -> !node.runners().contains("r0")),
        () -> "requested from " + log.requestedFrom());
    log.add(PlatformChangeLog.event(4, false, "r2", runners.get(1).address(), "active"));
    assertTrue(within(3_000, () -> node.runners().contains("r2")), "later events are not received");
  }

  /** A runner that has left gets no calls, though the rest of its entry is unreadable. */
  @Test
  void aDrainHoldsThoughTheRestOfItsEntryCannotBeRead() throws Exception {
    start(2, arrival -> Reaction.SERVE);
    log.add(EVENT.formatted("false", "{\"uid\":\"r1\",\"state\":\"left\"}", R0_LEFT));
    assertTrue(within(3_000, () -> node.runners().isEmpty()), () -> "has " + node.runners());
  }

  /** In a full list an unreadable entry does not count as missing: its runner stays in its last known state. */
  @Test
  void anUnreadableEntryOfAWholeListLeavesItsRunnerAsItWas() throws Exception {
    start(2, arrival -> Reaction.SERVE);
    log.add(EVENT.formatted("true", "{\"uid\":\"r1\",\"state\":\"active\"}", R0_LEFT));
    assertTrue(
        within(3_000, () -> !node.runners().contains("r0")),
        () -> "requested from " + log.requestedFrom());
    assertEquals(Set.of("r1"), node.runners());
  }

  /** An event that is unreadable every time is skipped after some tries; else the log would be stuck at it for ever. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "{\"seq\":3,\"fleet\":{",
        "{\"seq\":3,\"fleet\":{\"all\":false,\"targets\":7}}",
        "noise"
      })
  void anEventThatCannotBeReadIsPassedOverInTheEnd(String event) throws Exception {
    start(2, arrival -> Reaction.SERVE);
    log.add(event);
    log.add(PlatformChangeLog.event(4, false, "r1", runners.get(1).address(), "left"));
    assertTrue(
        within(4_000, () -> !node.runners().contains("r1")),
        () -> "requested from " + log.requestedFrom());
  }
}
