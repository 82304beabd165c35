package gorseladder.node;

import gorseladder.RouterApi;
import gorseladder.memory.MemoryPlan;
import gorseladder.memory.MemoryPlan.TooLittleMemoryException;
import gorseladder.platform.BadInput;
import gorseladder.platform.Fields;
import gorseladder.platform.PlatformSettings;
import gorseladder.runtime.Retry;
import gorseladder.wire.changelog.ChangeLine;
import gorseladder.wire.json.Json;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The configuration of a dispatcher: three environment variables and a JSON file ("What a dispatcher is told" in the
 * deployment documentation of the platform). Times are in microseconds.
 *
 * @param seed for random numbers
 * @param peersAll the address for datagrams to all other dispatchers; null if there are none
 * @param knownEvents events of the change log up to the start
 */
public record NodeConfig(
    String name,
    InetSocketAddress listen,
    long seed,
    int sockets,
    long memoryBytes,
    InetSocketAddress peerListen,
    List<InetSocketAddress> peers,
    InetSocketAddress peersAll,
    InetSocketAddress changeLog,
    long knownSeq,
    List<ChangeLine> knownEvents,
    RouterApi.Settings routerSettings,
    Links links,
    int maxHeldCalls) {

  /**
   * Settings of the connections to runners.
   *
   * @param reportsCopyStatus whether answers of runners report the status of the copy
   * @param reportsConcurrency whether answers of runners report how many calls of the function an attempt found there
   */
  public record Links(
      long connectTimeout,
      long idleTimeout,
      int maxCallsPerConnection,
      boolean reportsCopyStatus,
      boolean reportsConcurrency) {}

  /** The environment variable with the path of the configuration file. */
  static final String CONFIG_FILE_VARIABLE = "ROUTER_CONFIG";

  private static final long BYTES_PER_MEGABYTE = 1 << 20;
  private static final int MAX_PORT = 65_535;
  private static final int MAX_PORT_DIGITS = 5;
  private static final int MIN_IPV4_CHARS = 7;
  private static final int MAX_IPV4_CHARS = 15;
  /** Includes the brackets. */
  private static final int MIN_IPV6_CHARS = 4;

  private static final int MAX_IPV6_CHARS = 47;
  private static final String DIGITS = "0123456789";
  private static final String HEX_DIGITS = DIGITS + "abcdefABCDEF";

  /**
   * Reads the configuration.
   *
   * @throws BadInput if a value is missing or wrong; the message names the variable, or the file and the field
   */
  public static NodeConfig read(Map<String, String> environment) {
    String name = variable(environment, "ROUTER_NAME");
    InetSocketAddress listen = address(variable(environment, "ROUTER_LISTEN"), "ROUTER_LISTEN");
    Path file = Path.of(variable(environment, CONFIG_FILE_VARIABLE));
    Map<String, Object> config = parseObject(file, readAtStart(file));
    try {
      return read(name, listen, config);
    } catch (IllegalArgumentException | BadInput e) {
      throw new BadInput(file + ": " + e.getMessage());
    }
  }

  /**
   * Reads only the address of the change log, after a change of the file.
   *
   * @throws BadInput if there is no valid address
   */
  static InetSocketAddress readChangeLog(Path file, byte[] content) {
    return address(Fields.text(parseObject(file, content), "changelog"), file + ": changelog");
  }

  private static NodeConfig read(
      String name, InetSocketAddress listen, Map<String, Object> config) {
    Map<String, Object> limits = Fields.object(config, "limits");
    Map<String, Object> settings = Fields.object(config, "settings");
    Map<String, Object> siteLimits = Fields.object(settings, "limits");
    Map<String, Object> family = Fields.object(settings, "familyInfo");
    RouterApi.Settings routerSettings = PlatformSettings.read(settings);
    List<InetSocketAddress> peers = new ArrayList<>();
    if (config.get("peers") instanceof List<?> list) {
      list.forEach(peer -> peers.add(address(String.valueOf(peer), "peers")));
    }
    Map<String, Object> known = Fields.object(config, "known");
    List<ChangeLine> events = new ArrayList<>();
    for (Map<String, Object> event : Fields.list(known, "results", true)) {
      events.add(ChangeLine.of(event));
    }
    Links links = new Links(
        Fields.micros(siteLimits, "connectTimeoutMs"),
        Fields.micros(siteLimits, "connIdleMs"),
        (int) Fields.number(siteLimits, "multiplex"),
        Fields.flag(family, "marksCold"),
        Fields.flag(family, "notesPeersInHand"));
    long memoryBytes = (long) (Fields.number(limits, "memory_mb") * BYTES_PER_MEGABYTE);
    try {
      MemoryPlan.of(memoryBytes, Runtime.getRuntime().maxMemory());
    } catch (TooLittleMemoryException e) {
      throw new BadInput("limits.memory_mb: " + e.getMessage());
    }
    return new NodeConfig(
        name,
        listen,
        seed(Fields.text(config, "seed")),
        (int) Fields.number(limits, "sockets"),
        memoryBytes,
        optionalAddress(config, "peer_listen"),
        List.copyOf(peers),
        optionalAddress(config, "peers_all"),
        address(Fields.text(config, "changelog"), "changelog"),
        (long) Fields.number(known, "seq"),
        List.copyOf(events),
        routerSettings,
        links,
        (int) Fields.number(siteLimits, "mostHeld", 20_000));
  }

  /** Reads the file. If it exists but cannot be read, this is retried: the dispatcher cannot start without it. */
  private static byte[] readAtStart(Path file) {
    try {
      return Retry.whileTransient(
          failure ->
              !(failure instanceof NoSuchFileException || failure instanceof AccessDeniedException)
                  && Files.isRegularFile(file),
          () -> Files.readAllBytes(file));
    } catch (IOException e) {
      throw cannotRead(e);
    }
  }

  /** The error for a configuration file that cannot be read. */
  static BadInput cannotRead(IOException cause) {
    return new BadInput("ROUTER_CONFIG: cannot read " + cause.getMessage());
  }

  private static Map<String, Object> parseObject(Path file, byte[] content) {
    try {
      if (Json.read(content) instanceof Map<?, ?> map) {
        @SuppressWarnings("unchecked")
        Map<String, Object> object = (Map<String, Object>) map;
        return object;
      }
      throw new BadInput("ROUTER_CONFIG: " + file + ": not a JSON object");
    } catch (IllegalArgumentException e) {
      throw new BadInput("ROUTER_CONFIG: " + file + ": " + e.getMessage());
    }
  }

  private static String variable(Map<String, String> environment, String name) {
    String value = environment.get(name);
    if (value == null || value.isEmpty()) {
      throw new BadInput(name + " is not set");
    }
    return value;
  }

  private static long seed(String hex) {
    try {
      return Long.parseUnsignedLong(hex, 16);
    } catch (NumberFormatException e) {
      throw new BadInput("wrong field 'seed'");
    }
  }

  private static InetSocketAddress optionalAddress(Map<String, Object> config, String key) {
    return config.get(key) instanceof String text ? address(text, key) : null;
  }

  /**
   * Parses a numeric address and port. The address parser of the settings is not used, since its library would then be
   * loaded at each start.
   */
  public static InetSocketAddress address(String text, String where) {
    if (!isAddress(text)) {
      throw new BadInput("'" + where + "' is not an address and port: " + text);
    }
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /** Whether the text is a numeric host, a colon and a port. */
  static boolean isAddress(String text) {
    int colon = text.lastIndexOf(':');
    return colon >= 0
        && isNumericHost(text.substring(0, colon))
        && isPort(text.substring(colon + 1));
  }

  private static boolean isPort(String text) {
    return !text.isEmpty()
        && text.length() <= MAX_PORT_DIGITS
        && containsOnly(DIGITS, text)
        && Integer.parseInt(text) <= MAX_PORT;
  }

  /** Digits and dots, or hexadecimal digits, dots and colons in brackets: such a host is never resolved by name. */
  private static boolean isNumericHost(String host) {
    int length = host.length();
    if (host.startsWith("[") && host.endsWith("]")) {
      return length >= MIN_IPV6_CHARS
          && length <= MAX_IPV6_CHARS
          && containsOnly(HEX_DIGITS + ".:", host.substring(1, length - 1));
    }
    return length >= MIN_IPV4_CHARS && length <= MAX_IPV4_CHARS && containsOnly(DIGITS + ".", host);
  }

  private static boolean containsOnly(String characters, String text) {
    for (int i = 0; i < text.length(); i++) {
      if (characters.indexOf(text.charAt(i)) < 0) {
        return false;
      }
    }
    return true;
  }
}
