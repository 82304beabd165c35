package gorseladder.edge;

import gorseladder.RouterApi;
import gorseladder.RouterApi.RequestClass;
import gorseladder.admission.Admission;
import gorseladder.config.Networks;
import gorseladder.config.proto.EdgeSettings;
import gorseladder.config.proto.Endpoint;
import gorseladder.config.proto.Limits;
import gorseladder.config.proto.Route;
import gorseladder.config.proto.RuleFigures;
import gorseladder.config.proto.Runners;
import gorseladder.edge.core.EndpointHistory;
import gorseladder.edge.core.EndpointLinks;
import gorseladder.edge.front.WebhookSettings;
import gorseladder.edge.runners.RunnerSettings;
import gorseladder.wire.http1.HttpLimits;
import gorseladder.wire.webhook.Secret;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Translates checked settings into the settings of each part; milliseconds become microseconds. */
final class EdgeConfig {
  /** The resolution of the router's timers. */
  private static final long TICK_MICROS = 2_000;

  /** Divides the heap size to give the message memory if the settings name no bound. */
  private static final int MESSAGE_HEAP_DIVISOR = 4;

  private final EdgeSettings s;

  EdgeConfig(EdgeSettings settings) {
    this.s = settings;
  }

  /**
   * Checks a webhook secret.
   *
   * @return its fingerprint, by which two texts of one secret are recognised
   * @throws IllegalArgumentException if the secret cannot verify signatures
   */
  static String checkSecret(String text) {
    Secret secret = Secret.parse(text);
    if (!secret.canCheck()) {
      throw new IllegalArgumentException(
          "an endpoint needs the public key (whpk_), not the private one");
    }
    return secret.fingerprint();
  }

  RouterApi.Settings router() {
    Runners r = s.getRunners();
    RuleFigures f = s.getRules();
    return new RouterApi.Settings(
        s.getOrdinal(),
        s.getEdges(),
        s.getZone(),
        TICK_MICROS,
        toMicros(r.getKeepAliveMs()),
        r.getLoadsOnMiss(),
        false,
        0,
        1,
        new RouterApi.Limits(
            r.getMaxAttempts(),
            r.getDuplicates(),
            r.getCancelling(),
            false,
            s.getPeers().getPeerCount() > 0,
            r.getOrders(),
            true,
            toMicros(s.getLimits().getMaxRetryAfterMs()),
            toMicros(r.getOrderMs())),
        rules(f),
        List.copyOf(classes().values()),
        s.getTenantList().stream()
            .map(t -> new RouterApi.Tenant(t.getName(), t.getShare(), t.getQuotaPerS()))
            .toList());
  }

  RouterApi.Rules rules(RuleFigures f) {
    return new RouterApi.Rules(
        toMicros(f.getDrainGraceMs()),
        f.getColdFrom(),
        toMicros(f.getColdMs()),
        f.getOverloadMultiple(),
        toMicros(f.getOverloadMs()),
        f.getLoadsFree(),
        f.getLoadShare(),
        toMicros(f.getLoadWindowMs()));
  }

  private Map<String, RequestClass> classes() {
    Map<String, RequestClass> classes = new LinkedHashMap<>();
    s.getRequestClassList()
        .forEach(c -> classes.put(
            c.getName(),
            new RequestClass(
                c.getName(),
                RouterApi.Effect.valueOf(c.getEffect().name()),
                RouterApi.Group.valueOf(c.getGroup().name()),
                toMicros(c.getRepeatWindowMs()),
                toMicros(c.getAimMs()),
                toMicros(c.getDeadlineMs()),
                c.getWorth(),
                c.getLateWorth(),
                false)));
    return classes;
  }

  /**
   * Returns the settings of the webhook front.
   *
   * @param history these settings and those of earlier runs
   */
  WebhookSettings webhooks(EndpointHistory history) {
    Limits l = s.getLimits();
    Map<String, WebhookSettings.Endpoint> endpoints = new HashMap<>();
    for (Endpoint e : s.getEndpointList()) {
      Map<String, WebhookSettings.Route> routes = new HashMap<>();
      e.getRouteList().forEach(r -> routes.put(r.getType(), route(r)));
      endpoints.put(
          e.getPath(),
          new WebhookSettings.Endpoint(
              e.getPath(),
              e.getTenant(),
              e.getSecretList().stream().map(Secret::parse).toList(),
              e.getToleranceS(),
              routes,
              routes.values().stream()
                  .mapToLong(r -> r.requestClass().latencyTarget())
                  .max()
                  .orElse(0)));
    }
    return new WebhookSettings(
        endpoints,
        new Networks(s.getAllowNetworkList()),
        new HttpLimits(
            l.getMaxHeaderLine(),
            l.getMaxHeaderFields(),
            l.getMaxHeaderBytes(),
            l.getMaxBodyBytes()),
        l.getMaxConnections(),
        toMicros(l.getRequestArrivalMs()),
        toMicros(l.getIdleMs()),
        toMicros(l.getAnswerWriteMs()),
        l.getStackBytes(),
        classes().values().stream()
            .mapToDouble(RequestClass::worth)
            .filter(w -> w > 0)
            .max()
            .orElse(1),
        history.links(),
        history.requestKeepSeconds(),
        history.requestsRecordedSince());
  }

  /** Returns what the history of endpoints keeps of these settings. */
  EndpointHistory.Current currentEndpoints() {
    return new EndpointHistory.Current(
        s.getEndpointList().stream().map(EdgeConfig::knownEndpoint).toList(),
        s.getEndpointList().stream().mapToLong(Endpoint::getToleranceS).max().orElse(0),
        s.getLedger().getKeepS());
  }

  private static EndpointLinks.KnownEndpoint knownEndpoint(Endpoint endpoint) {
    return new EndpointLinks.KnownEndpoint(
        endpoint.getPath(),
        endpoint.getTenant(),
        endpoint.getSecretList().stream()
            .map(secret -> Secret.parse(secret).fingerprint())
            .collect(Collectors.toSet()));
  }

  /** Returns the bytes that all requests and answers may use together. */
  long messageBudgetBytes() {
    long configured = s.getLimits().getMaxMessageBytes();
    return configured > 0 ? configured : Runtime.getRuntime().maxMemory() / MESSAGE_HEAP_DIVISOR;
  }

  Admission admission() {
    Limits l = s.getLimits();
    Map<String, Double> shares = new HashMap<>();
    s.getTenantList().forEach(t -> shares.put(t.getName(), t.getShare()));
    return s.getAdaptiveAdmission()
        ? new Admission(
            new Admission.Settings(l.getMaxCalls(), shares, toMicros(l.getMaxRetryAfterMs())),
            System.nanoTime() ^ s.getOrdinal())
        : null;
  }

  private WebhookSettings.Route route(Route r) {
    var c = s.getRequestClassList().stream()
        .filter(k -> k.getName().equals(r.getRequestClass()))
        .findFirst()
        .orElseThrow();
    return new WebhookSettings.Route(
        classes().get(c.getName()), r.getFunction(), c.getMemoryMb(), c.getLanes());
  }

  RunnerSettings runners() {
    Runners r = s.getRunners();
    return new RunnerSettings(
        s.getOrdinal(),
        toMicros(r.getConnectMs()),
        toMicros(r.getOrderMs()),
        toMicros(r.getConnectionIdleMs()),
        toMicros(r.getUnsafeConnectionIdleMs()),
        r.getMaxAnswerBytes(),
        r.getDuplicates());
  }

  static long toMicros(long millis) {
    return millis * 1000;
  }
}
