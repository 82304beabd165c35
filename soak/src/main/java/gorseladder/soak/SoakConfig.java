package gorseladder.soak;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/** The configuration of the dispatchers of a soak, in the platform's format. */
final class SoakConfig {
  /** Parameters of the rules that the oracle checks. Times in microseconds. */
  static final long DRAIN_GRACE_MICROS = 500_000;

  static final double INITIAL_CAPACITY_FRACTION = 0.1;
  static final long RAMP_MICROS = 8_000_000;
  static final double OVERLOAD_MULTIPLE = 1.5;
  static final long OVERLOAD_WINDOW_MICROS = 1_500_000;
  static final long MAX_DEADLINE_MICROS = 1_600_000;
  /** SIGKILL follows SIGTERM no sooner than after the longest deadline and this time. */
  static final long KILL_GRACE_MICROS = 700_000;

  private static final String SETTINGS = """
      {"ordinal":%d,"balancers":%d,"zone":"z","tickMs":2,
       "familyInfo":{"keepAliveMs":9000,"ifCold":"load","marksCold":true,"notesPeersInHand":true,"placementCalls":true},
       "limits":{"maxAttempts":4,"mayDuplicate":false,"cancelling":true,"retryAfter":true,"multiplex":16,
        "connectTimeoutMs":1200,"connIdleMs":3000},
       "rules":{"stopSendingWithinMs":%d,"coldFrom":%s,"coldMs":%d,"tipMultiple":%s,"overloadForMs":%d},
       "tenants":[{"name":"t","share":1,"quotaPerS":1000}],
       "profiles":[%s]}""";

  private SoakConfig() {}

  /** Returns the content of a dispatcher's configuration file. */
  static String json(
      int ordinal, int dispatchers, long seed, InetSocketAddress changeLog, List<String> known) {
    String classes = Arrays.stream(CallClass.values())
        .map(c -> "{\"name\":\"" + c.label() + "\",\"effect\":\"" + c.effect
            + "\",\"group\":\"all\",\"goalTimeMs\":600,\"giveUpMs\":" + MAX_DEADLINE_MICROS / 1_000
            + ",\"repeatWindowMs\":" + CallClass.REPEAT_WINDOW_MICROS / 1_000 + "}")
        .collect(Collectors.joining(","));
    return "{\"seed\":\"" + Long.toHexString(seed)
        + "\",\"limits\":{\"memory_mb\":192,\"sockets\":512}"
        + ",\"changelog\":\"127.0.0.1:" + changeLog.getPort()
        + "\",\"known\":{\"seq\":" + known.size() + ",\"results\":[" + String.join(",", known)
        + "]},\"settings\":"
        + SETTINGS.formatted(
            ordinal,
            dispatchers,
            DRAIN_GRACE_MICROS / 1_000,
            INITIAL_CAPACITY_FRACTION,
            RAMP_MICROS / 1_000,
            OVERLOAD_MULTIPLE,
            OVERLOAD_WINDOW_MICROS / 1_000,
            classes)
        + "}";
  }
}
