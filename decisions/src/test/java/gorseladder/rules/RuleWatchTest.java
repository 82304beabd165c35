package gorseladder.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.RouterApi.Effect;
import gorseladder.rules.RuleWatch.Other;
import gorseladder.rules.RuleWatch.Written;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RuleWatchTest {
  private static final long SECOND = 1_000_000;
  private static final long AT = 100 * SECOND;

  private final RuleWatch watch = new RuleWatch();

  /** Checks an attempt that violates no rule except through the given values. */
  private Set<Rule> written(
      long drainAt, long restartAt, long goneAt, long passed, Effect effect, Other... others) {
    return watch.written(new Written(
        AT - 1_000,
        AT,
        drainAt,
        SECOND / 2,
        restartAt,
        AT - 50_000,
        goneAt,
        passed,
        AT + SECOND,
        effect,
        SECOND,
        false,
        List.of(others)));
  }

  private Set<Rule> written(Effect effect, Other... others) {
    return written(0, 0, 0, SECOND, effect, others);
  }

  @Test
  void eachRuleIsSeenBrokenAndKept() {
    assertEquals(Set.of(), written(AT - SECOND / 2, AT - 60_000, AT - 90_000, SECOND, Effect.SAFE));
    assertEquals(Set.of(Rule.DRAIN), written(AT - SECOND, 0, 0, SECOND, Effect.SAFE));
    assertEquals(Set.of(Rule.SLOW_START), written(0, AT - 40_000, 0, SECOND, Effect.SAFE));
    assertEquals(Set.of(Rule.CLIENT_GONE), written(0, 0, AT - 101_000, SECOND, Effect.SAFE));
    assertEquals(Set.of(Rule.DEADLINE), written(0, 0, 0, SECOND + 152_000, Effect.SAFE));
    assertEquals(4, watch.counts().values().stream().mapToLong(n -> n).sum());
  }

  @Test
  void anEffectThatMayHappenTwiceIsSeen() {
    long ended = AT - 10_000;
    assertEquals(Set.of(), written(Effect.UNSAFE, new Other(AT - SECOND, ended, true)));
    Set<Rule> twice = Set.of(Rule.EFFECT_ONCE);
    assertEquals(twice, written(Effect.UNSAFE, new Other(AT - SECOND, ended, false)));
    assertEquals(twice, written(Effect.SAFE, new Other(AT - SECOND, 0, false)));
    assertEquals(Set.of(), written(Effect.KEYED, new Other(AT - SECOND, ended, false)));
    assertEquals(twice, written(Effect.KEYED, new Other(AT - 2 * SECOND, ended, false)));
    assertEquals(Map.of(Rule.EFFECT_ONCE, 3L), watch.counts());
  }

  @Test
  void aLostAnswerIsSeen() {
    assertFalse(watch.answeredTooLate(AT + SECOND / 2, AT));
    assertTrue(watch.answeredTooLate(AT + SECOND / 2 + 1, AT));
    watch.closedWithRequests(2);
    assertEquals(Map.of(Rule.FINAL_ANSWER, 3L), watch.counts());
  }
}
