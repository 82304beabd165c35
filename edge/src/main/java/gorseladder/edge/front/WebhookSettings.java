package gorseladder.edge.front;

import gorseladder.RouterApi.RequestClass;
import gorseladder.config.Networks;
import gorseladder.wire.http1.HttpLimits;
import gorseladder.wire.webhook.Secret;
import java.util.List;
import java.util.Map;

/**
 * What the webhook front is told; times in microseconds, the tolerance in seconds, the worth of the class worth most.
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
  /** One path; the longest aim of its classes in microseconds. */
  public record Endpoint(
      String path,
      String tenant,
      List<Secret> secrets,
      long toleranceSeconds,
      Map<String, Route> routes,
      long maxLatencyTarget) {}

  /** Which class takes an event type, and what a copy needs where the payload does not say. */
  public record Route(RequestClass requestClass, String function, double memoryMb, int lanes) {}
}
