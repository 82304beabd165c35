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
 * Turns the parameters of a request into the facts of a call, or rejects it ("Clients to dispatchers" in the protocol
 * of the platform). An accepted request can be sent to a runner unchanged.
 *
 * <p>Without side effects and thread safe.
 */
public final class RequestReader {
  /** Limit of the body of a request. */
  public static final int MAX_BODY_BYTES = 16_384;

  private static final String SCRIPT_NAME = "SCRIPT_NAME";
  private static final String CONTENT_LENGTH = "CONTENT_LENGTH";
  private static final String REQUEST_ID = "HTTP_X_REQUEST_ID";
  private static final String TIMEOUT = "HTTP_X_TIMEOUT_MS";
  private static final String TENANT = "HTTP_X_TENANT";
  private static final String RETRY = "HTTP_X_RETRY";
  private static final String OBJECT = "HTTP_X_OBJECT";
  private static final String FACTS = "HTTP_X_FACTS";
  private static final String KEY = "HTTP_IDEMPOTENCY_KEY";
  /** The names of the parameters that are read; the others are not kept. */
  static final Set<String> NAMES =
      Set.of(SCRIPT_NAME, CONTENT_LENGTH, REQUEST_ID, TIMEOUT, TENANT, RETRY, OBJECT, FACTS, KEY);

  private static final int MAX_KEY_CHARS = 128;
  private static final String A_FACT = "a value in HTTP_X_FACTS";
  private static final String PATH_PREFIX = "/svc/";
  private static final double MAX_FACT_VALUE = 1e7;
  /** Clock differences and rounding may make the timeout of a client slightly longer than the deadline of the class. */
  private static final long TIMEOUT_SLACK_MICROS = 10_000;

  private final Map<String, RequestClass> classes = new HashMap<>();
  private final Set<String> tenants;

  /** Creates a reader for the classes and tenants of the settings. */
  public RequestReader(Settings settings) {
    settings.classes().forEach(c -> classes.put(c.name(), c));
    tenants = settings.tenants().stream().map(Tenant::name).collect(Collectors.toUnmodifiableSet());
  }

  /** A request that cannot be used. */
  public static final class Unusable extends Exception {
    private static final long serialVersionUID = 1L;

    private final Reason reason;

    Unusable(Reason reason, String text) {
      super(text, null, false, false);
      this.reason = reason;
    }

    /** The reason with which the request is answered. */
    public Reason reason() {
      return reason;
    }
  }

  /** The path of a request. */
  static String path(Map<String, String> params) {
    return params.getOrDefault(SCRIPT_NAME, "");
  }

  /**
   * Reads a complete request.
   *
   * @param arrivedAt when its last byte arrived, from which its timeout counts
   * @throws Unusable if a required value is missing, out of range or unknown
   */
  public Facts read(Map<String, String> params, byte[] body, long arrivedAt) throws Unusable {
    String path = path(params);
    RequestClass requestClass =
        path.startsWith(PATH_PREFIX) ? classes.get(path.substring(PATH_PREFIX.length())) : null;
    if (requestClass == null) {
      throw new Unusable(Reason.UNKNOWN_PATH, "no class has this path");
    }
    String length = params.get(CONTENT_LENGTH);
    if (length != null && !length.isEmpty() && !length.equals(Integer.toString(body.length))) {
      throw new Unusable(Reason.BAD_PAYLOAD, CONTENT_LENGTH + " is not the length of the body");
    }
    String id = hexId(params, REQUEST_ID);
    String function = hexId(params, OBJECT);
    String tenant = params.getOrDefault(TENANT, "");
    if (!tenants.isEmpty() && !tenants.contains(tenant)) {
      throw badPayload("unknown tenant");
    }
    String retry = params.get(RETRY);
    if (retry != null && !retry.equals("1")) {
      throw badPayload(RETRY + " is not 1");
    }
    long timeout = Math.round(number(params.get(TIMEOUT), TIMEOUT) * 1000);
    if (timeout <= 0 || timeout > requestClass.deadline() + TIMEOUT_SLACK_MICROS) {
      throw badPayload(TIMEOUT + " is out of range");
    }
    Map<String, Double> facts = parseFacts(params.get(FACTS));
    double memory = requiredFact(facts, "memory_mb", 0, MAX_FACT_VALUE);
    double lanes = requiredFact(facts, "lanes", 1, 1_000);
    double load =
        facts.containsKey("load_ms") ? requiredFact(facts, "load_ms", 0, MAX_FACT_VALUE) : 0;
    if (lanes != Math.rint(lanes)) {
      throw badPayload("lanes is not an integer");
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
        arrivedAt + timeout);
  }

  /**
   * The idempotency key of a request, unchanged; null if there is none.
   *
   * @throws Unusable if it cannot be sent as a word in a line to a runner
   */
  public static String idempotencyKey(Map<String, String> params) throws Unusable {
    String key = params.get(KEY);
    if (key != null
        && (key.isEmpty()
            || key.length() > MAX_KEY_CHARS
            || !key.chars().allMatch(c -> c > ' ' && c < 127 && c != ',' && c != '='))) {
      throw badPayload(KEY + " is not a word of " + MAX_KEY_CHARS + " characters or fewer");
    }
    return key;
  }

  private static Unusable badPayload(String text) {
    return new Unusable(Reason.BAD_PAYLOAD, text);
  }

  private static String hexId(Map<String, String> params, String name) throws Unusable {
    String value = params.get(name);
    if (value == null
        || value.length() != 16
        || !value.chars().allMatch(c -> c >= '0' && c <= '9' || c >= 'a' && c <= 'f')) {
      throw badPayload(name + " is not 16 hex digits");
    }
    return value;
  }

  /**
   * Parses plain decimal numbers only: {@code Double.parseDouble} would also accept NaN, hexadecimal numbers and
   * exponents.
   */
  private static double number(String text, String name) throws Unusable {
    if (text == null || text.length() > 20 || text.isEmpty()) {
      throw badPayload(name + " is missing or too long");
    }
    int decimalPoints = 0;
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      decimalPoints += c == '.' ? 1 : 0;
      if ((c < '0' || c > '9') && (c != '.' || i == 0 || i == text.length() - 1)
          || decimalPoints > 1) {
        throw badPayload(name + " is not a number");
      }
    }
    return Double.parseDouble(text);
  }

  private static Map<String, Double> parseFacts(String text) throws Unusable {
    Map<String, Double> facts = new HashMap<>();
    for (String pair : text == null ? new String[0] : text.split(";", -1)) {
      int colon = pair.indexOf(':');
      if (colon < 1) {
        throw badPayload(FACTS + " is not a list of name:number pairs");
      }
      String name = pair.substring(0, colon);
      // The name of a fact comes from the client and must not become the label of a count.
      if (facts.put(name, number(pair.substring(colon + 1), A_FACT)) != null) {
        throw badPayload(A_FACT + " is given twice");
      }
    }
    return facts;
  }

  private static double requiredFact(Map<String, Double> facts, String name, double min, double max)
      throws Unusable {
    Double value = facts.get(name);
    if (value == null || value < min || value > max) {
      throw badPayload(name + " is missing or out of range");
    }
    return value;
  }
}
