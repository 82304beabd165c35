package gorseladder.testbed.rehearsal;

import java.net.InetSocketAddress;
import java.util.List;

/** The configuration that the platform provides to the dispatcher of a {@link DispatcherDay}. */
final class DayConfig {
  /** The longest timeout of a client, in milliseconds. */
  static final int DEADLINE_MILLIS = 1_200;

  private static final String PROFILE = """
      {"name":"%s","effect":"%s","group":"%s","goalTimeMs":300,"giveUpMs":%d,"repeatWindowMs":%d}""";

  /** Workers do not load on a miss, so the dispatcher orders loads; there are two dispatchers. */
  private static final String SETTINGS = """
      {"ordinal":0,"balancers":2,"zone":"z","tickMs":2,
       "familyInfo":{"keepAliveMs":9000,"ifCold":"refuse","marksCold":true,"notesPeersInHand":true,
        "placementCalls":true,"loadsAnyway":50,"loadShare":0.5,"loadSpanMs":5000,"orderLimitMs":500},
       "limits":{"maxAttempts":4,"mayDuplicate":false,"cancelling":true,"peers":true,"retryAfter":true,
        "maxRetryAfterMs":2000,"multiplex":16,"connectTimeoutMs":250,"connIdleMs":3000},
       "rules":{"stopSendingWithinMs":500,"coldFrom":0.2,"coldMs":2000,"tipMultiple":2.5,"overloadForMs":1500},
       "tenants":[{"name":"t","share":1,"quotaPerS":1000}],
       "profiles":[%s]}""";

  private DayConfig() {}

  /**
   * Returns the text of the file.
   *
   * @param changeLogPort the loopback port of the change log
   * @param known the events of the change log so far, starting with number 1
   * @param ownPeerPort the port on which the dispatcher receives messages of the other one
   * @param otherPeer the address of the other dispatcher
   */
  static String text(
      int changeLogPort, List<String> known, int ownPeerPort, InetSocketAddress otherPeer) {
    return "{\"name\":\"n0\",\"seed\":\"5c0ffee\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":512}"
        + ",\"peer_listen\":\"127.0.0.1:" + ownPeerPort + "\",\"peers\":[\"127.0.0.1:" + ownPeerPort
        + "\",\"127.0.0.1:" + otherPeer.getPort() + "\"],\"peers_all\":\"127.0.0.1:"
        + otherPeer.getPort()
        + "\",\"changelog\":\"127.0.0.1:" + changeLogPort + "\",\"known\":{\"seq\":" + known.size()
        + ",\"results\":[" + String.join(",", known) + "]},\"settings\":"
        + SETTINGS.formatted(String.join(
            ",",
            profile("safe", "pure", "all"),
            profile("unsafe", "side_effect", "all"),
            profile("keyed", "token", "zone"),
            profile("celled", "token", "cell")))
        + "}";
  }

  private static String profile(String name, String effect, String group) {
    return PROFILE.formatted(name, effect, group, DEADLINE_MILLIS, 5_000);
  }
}
