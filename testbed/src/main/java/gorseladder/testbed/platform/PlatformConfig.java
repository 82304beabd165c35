package gorseladder.testbed.platform;

import java.net.InetSocketAddress;

/** The configuration file that the platform provides to a dispatcher, for a dispatcher among simulated peers. */
public final class PlatformConfig {
  private static final String SETTINGS = """
      {"ordinal":0,"balancers":1,"zone":"z","tickMs":2,
       "familyInfo":{"keepAliveMs":9000,"ifCold":"load","marksCold":true,"notesPeersInHand":true,"placementCalls":true},
       "limits":{"maxAttempts":4,"cancelling":true,"retryAfter":true,"multiplex":100,"connectTimeoutMs":250,
        "connIdleMs":30000},
       "rules":{"stopSendingWithinMs":500,"coldFrom":0.2,"coldMs":9000,"tipMultiple":2,"overloadForMs":1500},
       "tenants":[{"name":"t","share":1,"quotaPerS":100}],
       "profiles":[{"name":"safe","effect":"pure","goalTimeMs":900,"giveUpMs":%1$d},
        {"name":"unsafe","effect":"side_effect","goalTimeMs":900,"giveUpMs":%1$d}]}""";

  private PlatformConfig() {}

  /**
   * Returns the text of the file.
   *
   * @param event the first event of the change log, already known at the start
   * @param deadlineMillis the deadline of both classes, {@code safe} and {@code unsafe}
   */
  public static String text(InetSocketAddress changeLog, String event, long deadlineMillis) {
    return text(changeLog, event, deadlineMillis, 128, 512);
  }

  /**
   * Returns the text of the file with the given limits.
   *
   * @param event the first event of the change log, already known at the start
   * @param deadlineMillis the deadline of both classes
   * @param sockets maximum number of descriptors that the dispatcher may open
   */
  public static String text(
      InetSocketAddress changeLog,
      String event,
      long deadlineMillis,
      int memoryMegabytes,
      int sockets) {
    return "{\"seed\":\"5\",\"limits\":{\"memory_mb\":" + memoryMegabytes + ",\"sockets\":"
        + sockets
        + "},\"changelog\":\"127.0.0.1:" + changeLog.getPort()
        + "\",\"known\":{\"seq\":1,\"results\":["
        + event + "]},\"settings\":" + SETTINGS.formatted(deadlineMillis) + "}";
  }
}
