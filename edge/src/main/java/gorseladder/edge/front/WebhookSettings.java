package gorseladder.edge.front;

import gorseladder.RouterApi.RequestClass;
import gorseladder.config.Networks;
import gorseladder.wire.http1.HttpLimits;
import gorseladder.wire.webhook.Secret;
import java.util.List;
import java.util.Map;

/**
 * Settings of the webhook front; times in microseconds.
 *
 * @param maxWorth the highest worth of a class
 */
public record WebhookSettings(
    Map<String, Endpoint> endpoints,
    Networks allowedNetworks,
    HttpLimits limits,
    int maxConnections,
    long arrivalTimeout,
    long idleTimeout,
    long answerWriteTimeout,
    int stackBytes,
    double maxWorth) {
  /**
   * The settings of one path; the latency target is in microseconds.
   *
   * @param maxLatencyTarget the highest latency target of its classes
   */
  public record Endpoint(
      String path,
      String tenant,
      List<Secret> secrets,
      long toleranceSeconds,
      Map<String, Route> routes,
      long maxLatencyTarget) {}

  /** The class of an event type, and the needs of a copy if the payload does not state them. */
  public record Route(RequestClass requestClass, String function, double memoryMb, int lanes) {}
}
