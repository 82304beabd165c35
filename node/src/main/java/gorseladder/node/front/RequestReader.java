package gorseladder.node.front;

import gorseladder.RouterApi.RequestClass;
import gorseladder.RouterApi.Settings;
import gorseladder.RouterApi.Tenant;
import gorseladder.answers.Reason;
import gorseladder.core.Call.Facts;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Turns the parameters of a request into a call's facts, or says why it cannot be used ("Clients to dispatchers" of the
 * platform's protocol). Whatever passes here is fit to be sent to a runner as it stands. Pure; any thread.
 */
public final class RequestReader {
  /** Bytes of a request's body at the most. */
  public static final int MOST_BODY = 16_384;

  private static final int MOST_KEY = 128;
  private static final String PREFIX = "/svc/";
  private static final double MOST_FIGURE = 1e7;
  /** A client's clock and rounding may put its time a little past the class's. */
  private static final long TIME_SLACK = 10_000;

  private final Map<String, RequestClass> classes = new HashMap<>();
  private final Set<String> tenants;

  /** A reader for the classes and tenants of the settings. */
  public RequestReader(Settings settings) {
    settings.classes().forEach(c -> classes.put(c.name(), c));
    tenants = settings.tenants().stream().map(Tenant::name).collect(Collectors.toUnmodifiableSet());
  }

  /** A request that cannot be used; the reason is what it is answered with. */
  public static final class Unusable extends Exception {
    private static final long serialVersionUID = 1L;

    private final Reason reason;

    Unusable(Reason reason, String text) {
      super(text, null, false, false);
      this.reason = reason;
    }

    /** What it is answered with. */
    public Reason reason() {
      return reason;
    }
  }

  /**
   * Reads a request that has arrived whole.
   *
   * @param arrivedAt when its last byte was read, the start of its time
   * @throws Unusable where anything that is needed is missing, out of range or unknown
   */
  public Facts read(Map<String, String> params, byte[] body, long arrivedAt) throws Unusable {
    String script = params.getOrDefault("SCRIPT_NAME", "");
    RequestClass requestClass =
        script.startsWith(PREFIX) ? classes.get(script.substring(PREFIX.length())) : null;
    if (requestClass == null) {
      throw new Unusable(Reason.UNKNOWN_PATH, "no class has this path");
    }
    String length = params.get("CONTENT_LENGTH");
    if (length != null && !length.isEmpty() && !length.equals(Integer.toString(body.length))) {
      throw new Unusable(Reason.BAD_PAYLOAD, "CONTENT_LENGTH does not fit the body");
    }
    String id = hex(params, "HTTP_X_REQUEST_ID");
    String function = hex(params, "HTTP_X_OBJECT");
    String tenant = params.getOrDefault("HTTP_X_TENANT", "");
    if (!tenants.isEmpty() && !tenants.contains(tenant)) {
      throw bad("no tenant is named so");
    }
    String retry = params.get("HTTP_X_RETRY");
    if (retry != null && !retry.equals("1")) {
      throw bad("HTTP_X_RETRY is not 1");
    }
    long time = Math.round(number(params.get("HTTP_X_TIMEOUT_MS"), "HTTP_X_TIMEOUT_MS") * 1000);
    if (time <= 0 || time > requestClass.deadline() + TIME_SLACK) {
      throw bad("HTTP_X_TIMEOUT_MS is out of range");
    }
    Map<String, Double> figures = figures(params.get("HTTP_X_FACTS"));
    double memory = figure(figures, "memory_mb", 0, MOST_FIGURE);
    double lanes = figure(figures, "lanes", 1, 1_000);
    double load = figures.containsKey("load_ms") ? figure(figures, "load_ms", 0, MOST_FIGURE) : 0;
    if (lanes != Math.rint(lanes)) {
      throw bad("lanes is no whole number");
    }
    return new Facts(
        id,
        requestClass,
        tenant,
        function,
        body,
        memory,
        (int) lanes,
        Math.round(load * 1000),
        retry != null,
        arrivedAt,
        arrivedAt + time);
  }

  /**
   * The idempotency key of a request, as it came; null where there is none.
   *
   * @throws Unusable where it is no word of a runner's line
   */
  public static String key(Map<String, String> params) throws Unusable {
    String key = params.get("HTTP_IDEMPOTENCY_KEY");
    if (key != null
        && (key.isEmpty()
            || key.length() > MOST_KEY
            || !key.chars().allMatch(c -> c > ' ' && c < 127 && c != ',' && c != '='))) {
      throw bad("HTTP_IDEMPOTENCY_KEY is no word of " + MOST_KEY + " characters at the most");
    }
    return key;
  }

  private static Unusable bad(String text) {
    return new Unusable(Reason.BAD_PAYLOAD, text);
  }

  private static String hex(Map<String, String> params, String name) throws Unusable {
    String value = params.get(name);
    if (value == null
        || value.length() != 16
        || !value.chars().allMatch(c -> c >= '0' && c <= '9' || c >= 'a' && c <= 'f')) {
      throw bad(name + " is not 16 hex digits");
    }
    return value;
  }

  /** Plain decimal numbers alone: {@code Double.parseDouble} would take NaN, hexadecimal and exponents too. */
  private static double number(String text, String name) throws Unusable {
    if (text == null || text.length() > 20 || text.isEmpty()) {
      throw bad(name + " is missing or too long");
    }
    int points = 0;
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      points += c == '.' ? 1 : 0;
      if ((c < '0' || c > '9') && (c != '.' || i == 0 || i == text.length() - 1) || points > 1) {
        throw bad(name + " is no number");
      }
    }
    return Double.parseDouble(text);
  }

  private static Map<String, Double> figures(String text) throws Unusable {
    Map<String, Double> figures = new HashMap<>();
    for (String pair : text == null ? new String[0] : text.split(";", -1)) {
      int colon = pair.indexOf(':');
      if (colon < 1) {
        throw bad("HTTP_X_FACTS is no list of figures");
      }
      String name = pair.substring(0, colon);
      if (figures.put(name, number(pair.substring(colon + 1), name)) != null) {
        throw bad(name + " stands twice");
      }
    }
    return figures;
  }

  private static double figure(Map<String, Double> figures, String name, double least, double most)
      throws Unusable {
    Double value = figures.get(name);
    if (value == null || value < least || value > most) {
      throw bad(name + " is missing or out of range");
    }
    return value;
  }
}
