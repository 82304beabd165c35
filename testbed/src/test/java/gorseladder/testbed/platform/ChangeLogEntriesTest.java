package gorseladder.testbed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.testbed.platform.PlatformRunner.Reaction;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Events of the change log of which a part cannot be read: what can be read holds, and what comes after it is heard.
 */
class ChangeLogEntriesTest extends DispatcherFixture {
  private static final String EVENT =
      "{\"seq\":3,\"fleet\":{\"rev\":3,\"all\":%s,\"targets\":[%s,%s]}}";
  private static final String GONE_FIRST =
      "{\"uid\":\"r0\",\"endpoint\":\"127.0.0.1:1\",\"az\":\"z\",\"pod_group\":0,\"state\":\"left\"}";

  /** Beside an entry that cannot be read, in one way or another, stands one that can. */
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
    log.add(EVENT.formatted("false", entry, GONE_FIRST));
    assertTrue(
        within(3_000, () -> !node.runners().contains("r0")), () -> "asked " + log.requestedFrom());
    log.add(PlatformChangeLog.event(4, false, "r2", runners.get(1).address(), "active"));
    assertTrue(within(3_000, () -> node.runners().contains("r2")), "nothing is heard after it");
  }

  /** A runner that drains is left alone though nothing else of its entry can be read. */
  @Test
  void aDrainHoldsThoughTheRestOfItsEntryCannotBeRead() throws Exception {
    start(2, arrival -> Reaction.SERVE);
    log.add(EVENT.formatted("false", "{\"uid\":\"r1\",\"state\":\"left\"}", GONE_FIRST));
    assertTrue(within(3_000, () -> node.runners().isEmpty()), () -> "has " + node.runners());
  }

  /** In a whole list an entry that cannot be read is not one that is missing: what was known of its runner stays. */
  @Test
  void anUnreadableEntryOfAWholeListLeavesItsRunnerAsItWas() throws Exception {
    start(2, arrival -> Reaction.SERVE);
    log.add(EVENT.formatted("true", "{\"uid\":\"r1\",\"state\":\"active\"}", GONE_FIRST));
    assertTrue(
        within(3_000, () -> !node.runners().contains("r0")), () -> "asked " + log.requestedFrom());
    assertEquals(Set.of("r1"), node.runners());
  }

  /**
   * An event that is no JSON each time it is told is passed over after some tries: a log that is stuck tells nothing
   * else.
   */
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
        within(4_000, () -> !node.runners().contains("r1")), () -> "asked " + log.requestedFrom());
  }
}
