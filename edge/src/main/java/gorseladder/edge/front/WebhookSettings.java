package gorseladder.edge.front;

import gorseladder.RouterApi.RequestClass;
import gorseladder.config.Networks;
import gorseladder.edge.core.EndpointLinks;
import gorseladder.wire.http1.HttpLimits;
import gorseladder.wire.webhook.Secret;
import java.util.List;
import java.util.Map;

/**
 * Settings of the webhook front; times in microseconds.
 *
 * @param maxWorth the highest worth of a class
 * @param links which endpoints take messages of the same sender
 * @param requestKeepSeconds how long after its time stamp a signed request stays on record
 * @param requestsRecordedSince the earliest time stamp that is accepted, by the ledger's clock
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
    double maxWorth,
    EndpointLinks links,
    long requestKeepSeconds,
    long requestsRecordedSince) {
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
