package gorseladder.edge.front;

import gorseladder.RouterApi.RequestClass;
import gorseladder.config.Networks;
import gorseladder.wire.http1.HttpLimits;
import gorseladder.wire.webhook.Secret;
import java.util.List;
import java.util.Map;

/** What the webhook front is told; times in microseconds, the tolerance in seconds. */
public record WebhookSettings(Map<String, Endpoint> endpoints, Networks allowed, HttpLimits limits, int maxConnections,
    long arrival, long idle, long answerWrite, int stackBytes) {
  /** One path. */
  public record Endpoint(String path, String tenant, List<Secret> secrets, long tolerance, Map<String, Route> routes) {}

  /** Which class takes an event type, and what a copy needs where the payload does not say. */
  public record Route(RequestClass requestClass, String function, double memoryMb, int lanes) {}
}
