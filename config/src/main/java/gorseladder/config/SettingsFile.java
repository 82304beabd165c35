package gorseladder.config;

import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.TextFormatParseInfoTree;
import gorseladder.config.proto.EdgeSettings;
import gorseladder.config.proto.Effect;
import gorseladder.config.proto.Endpoint;
import gorseladder.config.proto.Limits;
import gorseladder.config.proto.PlannerLink;
import gorseladder.config.proto.RequestClass;
import gorseladder.config.proto.Route;
import gorseladder.config.proto.RuleFigures;
import gorseladder.config.proto.Runners;
import gorseladder.config.proto.Tenant;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;

/** Loads the settings of an edge from protobuf text format and collects all faults in them. */
public final class SettingsFile {
  private final String file;
  private final List<Fault> faults = new ArrayList<>();
  private final List<Fault> warnings = new ArrayList<>();
  private final UnaryOperator<String> secretCheck;
  private final Map<String, SecretLocation> secrets = new HashMap<>();
  private EdgeSettings settings = EdgeSettings.getDefaultInstance();

  /** Where a secret was first seen. */
  private record SecretLocation(int endpoint, String path, String field, int line) {}

  private SettingsFile(String file, UnaryOperator<String> secretCheck) {
    this.file = file;
    this.secretCheck = secretCheck;
  }

  /**
   * Reads and checks a file.
   *
   * @param secretCheck returns the identity of a secret, which all its texts share; throws IllegalArgumentException for
   *     an unusable one
   * @return the settings with their faults; usable only if there are none
   */
  public static SettingsFile load(Path path, UnaryOperator<String> secretCheck) {
    SettingsFile loaded = new SettingsFile(path.toString(), secretCheck);
    try {
      loaded.read(Files.readString(path, StandardCharsets.UTF_8));
    } catch (IOException e) {
      loaded.faults.add(new Fault(path.toString(), 0, "", "cannot be read: " + e));
    }
    return loaded;
  }

  /** The settings as read. */
  public EdgeSettings settings() {
    return settings;
  }

  /** All faults, ordered by line. */
  public List<Fault> faults() {
    return List.copyOf(faults);
  }

  /** What is allowed and likely not meant, ordered by line. */
  public List<Fault> warnings() {
    return List.copyOf(warnings);
  }

  private void read(String text) {
    EdgeSettings.Builder builder = EdgeSettings.newBuilder();
    TextFormatParseInfoTree locations = TextFile.parse(file, text, builder, faults);
    if (locations == null) {
      return;
    }
    settings = builder.build();
    check(new Location(locations, ""));
    faults.sort(Comparator.comparingInt(Fault::line));
    warnings.sort(Comparator.comparingInt(Fault::line));
  }

  /** The location of a message in the file. */
  private final class Location {
    private final TextFormatParseInfoTree tree;
    private final String path;

    Location(TextFormatParseInfoTree tree, String path) {
      this.tree = tree;
      this.path = path;
    }

    Location in(com.google.protobuf.Descriptors.Descriptor type, String field, int index) {
      FieldDescriptor descriptor = type.findFieldByName(field);
      List<TextFormatParseInfoTree> trees =
          tree == null ? List.of() : tree.getNestedTrees(descriptor);
      String name = path + field + (descriptor.isRepeated() ? "[" + index + "]" : "") + ".";
      return new Location(index < trees.size() ? trees.get(index) : null, name);
    }

    void fault(
        com.google.protobuf.Descriptors.Descriptor type, String field, int index, String reason) {
      faults.add(at(type, field, index, reason));
    }

    Fault at(
        com.google.protobuf.Descriptors.Descriptor type, String field, int index, String reason) {
      FieldDescriptor descriptor = type.findFieldByName(field);
      int line = 0;
      if (tree != null) {
        var locations = tree.getLocations(descriptor);
        line = index < locations.size() ? locations.get(index).getLine() + 1 : 0;
      }
      String name = path + field + (descriptor.isRepeated() ? "[" + index + "]" : "");
      return new Fault(file, line, name, reason);
    }

    void require(
        boolean valid,
        com.google.protobuf.Descriptors.Descriptor type,
        String field,
        String reason) {
      if (!valid) {
        fault(type, field, 0, reason);
      }
    }
  }

  private void check(Location root) {
    var type = EdgeSettings.getDescriptor();
    EdgeSettings s = settings;
    checkAddress(root, type, "listen", 0, s.getListen());
    root.require(
        s.getOrdinal() >= 0 && s.getOrdinal() < Math.max(1, s.getEdges()),
        type,
        "ordinal",
        "must be from 0 to edges - 1");
    root.require(
        s.getEdges() > 0 && s.getEdges() <= 10_000, type, "edges", "must be from 1 to 10000");
    root.require(!s.getDataDirectory().isEmpty(), type, "data_directory", "is needed");
    if (s.hasPlanner()) {
      Location planner = root.in(type, "planner", 0);
      var link = PlannerLink.getDescriptor();
      checkAddress(planner, link, "address", 0, s.getPlanner().getAddress());
      planner.require(
          s.getPlanner().getAskMs() >= 50 && s.getPlanner().getAskMs() <= 60_000,
          link,
          "ask_ms",
          "must be from 50 to 60000");
    }
    root.require(s.getRequestClassCount() > 0, type, "request_class", "at least one is needed");
    root.require(s.getEndpointCount() > 0, type, "endpoint", "at least one is needed");
    Set<String> classes = new HashSet<>();
    for (int i = 0; i < s.getRequestClassCount(); i++) {
      checkRequestClass(root.in(type, "request_class", i), s.getRequestClass(i), classes);
    }
    Set<String> tenants = new HashSet<>();
    for (int i = 0; i < s.getTenantCount(); i++) {
      checkTenant(root.in(type, "tenant", i), s.getTenant(i), tenants);
    }
    Set<String> paths = new HashSet<>();
    for (int i = 0; i < s.getEndpointCount(); i++) {
      checkEndpoint(root.in(type, "endpoint", i), i, classes, tenants, paths);
    }
    for (int i = 0; i < s.getAllowNetworkCount(); i++) {
      try {
        new Networks(List.of(s.getAllowNetwork(i)));
      } catch (IllegalArgumentException e) {
        root.fault(type, "allow_network", i, e.getMessage());
      }
    }
    checkLimits(root.in(type, "limits", 0), s.getLimits());
    checkRunners(root.in(type, "runners", 0), s.getRunners());
    checkRules(root.in(type, "rules", 0), s.getRules());
    checkSections(root, s);
  }

  private void checkSections(Location root, EdgeSettings s) {
    var type = EdgeSettings.getDescriptor();
    Location list = root.in(type, "worker_list", 0);
    var listType = s.getWorkerList().getDescriptorForType();
    root.require(s.hasWorkerList(), type, "worker_list", "is needed");
    if (s.hasWorkerList()) {
      checkAddress(list, listType, "address", 0, s.getWorkerList().getAddress());
      list.require(
          s.getWorkerList().getWaitMs() >= 100, listType, "wait_ms", "must be 100 or more");
      list.require(
          s.getWorkerList().getService().matches("[A-Za-z0-9._-]+"),
          listType,
          "service",
          "must be letters, digits, '.', '_' or '-'");
    }
    Location peers = root.in(type, "peers", 0);
    var peersType = s.getPeers().getDescriptorForType();
    if (s.hasPeers()) {
      checkAddress(peers, peersType, "listen", 0, s.getPeers().getListen());
      for (int i = 0; i < s.getPeers().getPeerCount(); i++) {
        checkAddress(peers, peersType, "peer", i, s.getPeers().getPeer(i));
      }
    }
    Location ledger = root.in(type, "ledger", 0);
    var ledgerType = s.getLedger().getDescriptorForType();
    long tolerance =
        s.getEndpointList().stream().mapToLong(Endpoint::getToleranceS).max().orElse(0);
    ledger.require(
        s.getLedger().getKeepS() >= 2 * tolerance,
        ledgerType,
        "keep_s",
        "must be at least twice the largest tolerance_s, else a replay could be taken");
    ledger.require(
        s.getLedger().getMaxMessages() > 0, ledgerType, "max_messages", "must be more than 0");
    ledger.require(
        s.getLedger().getMaxKeptAnswerBytes() >= 0,
        ledgerType,
        "max_kept_answer_bytes",
        "must not be negative");
    Location history = root.in(type, "history", 0);
    var historyType = s.getHistory().getDescriptorForType();
    history.require(
        s.getHistory().getSegmentBytes() >= 1_024,
        historyType,
        "segment_bytes",
        "must be 1024 or more");
    history.require(
        s.getHistory().getFineMinutes() >= 60, historyType, "fine_minutes", "must be 60 or more");
    history.require(
        s.getHistory().getMaxBytes() >= 4 * s.getHistory().getSegmentBytes(),
        historyType,
        "max_bytes",
        "must be at least four times segment_bytes");
    Location log = root.in(type, "log", 0);
    log.require(
        Set.of("ERROR", "WARN", "INFO", "DEBUG").contains(s.getLog().getLevel()),
        s.getLog().getDescriptorForType(),
        "level",
        "must be ERROR, WARN, INFO or DEBUG");
  }

  private void checkAddress(
      Location at,
      com.google.protobuf.Descriptors.Descriptor type,
      String field,
      int index,
      String text) {
    try {
      Address.parse(text);
    } catch (IllegalArgumentException e) {
      at.fault(type, field, index, e.getMessage());
    }
  }

  private void checkRequestClass(Location at, RequestClass c, Set<String> names) {
    var type = RequestClass.getDescriptor();
    at.require(
        c.getName().matches("[\\x21-\\x7e]{1,64}"),
        type,
        "name",
        "must be 1 to 64 visible ASCII characters");
    at.require(names.add(c.getName()), type, "name", "stands twice");
    at.require(c.hasEffect(), type, "effect", "is needed: SAFE, KEYED or UNSAFE");
    at.require(c.getAimMs() > 0, type, "aim_ms", "must be more than 0");
    at.require(c.getDeadlineMs() >= c.getAimMs(), type, "deadline_ms", "must be at least aim_ms");
    at.require(c.getWorth() > 0, type, "worth", "must be more than 0");
    at.require(
        c.getLateWorth() >= 0 && c.getLateWorth() <= 1, type, "late_worth", "must be from 0 to 1");
    at.require(
        c.getEffect() != Effect.KEYED || c.getRepeatWindowMs() > 0,
        type,
        "repeat_window_ms",
        "is needed for KEYED");
    at.require(c.getMemoryMb() > 0, type, "memory_mb", "must be more than 0");
    at.require(c.getLanes() > 0 && c.getLanes() <= 1024, type, "lanes", "must be from 1 to 1024");
  }

  private void checkTenant(Location at, Tenant t, Set<String> names) {
    var type = Tenant.getDescriptor();
    at.require(!t.getName().isEmpty(), type, "name", "is needed");
    at.require(names.add(t.getName()), type, "name", "stands twice");
    at.require(t.getShare() >= 0 && t.getShare() <= 1, type, "share", "must be from 0 to 1");
    at.require(t.getQuotaPerS() >= 0, type, "quota_per_s", "must not be negative");
  }

  private void checkEndpoint(
      Location at, int number, Set<String> classes, Set<String> tenants, Set<String> paths) {
    var type = Endpoint.getDescriptor();
    Endpoint e = settings.getEndpoint(number);
    at.require(
        e.getPath().matches("/[A-Za-z0-9._~/-]*"),
        type,
        "path",
        "must begin with '/' and need no encoding");
    at.require(paths.add(e.getPath()), type, "path", "stands twice");
    at.require(
        tenants.isEmpty() && e.getTenant().isEmpty() || tenants.contains(e.getTenant()),
        type,
        "tenant",
        "names no tenant of this file");
    at.require(e.getSecretCount() > 0, type, "secret", "at least one is needed");
    at.require(
        e.getToleranceS() > 0 && e.getToleranceS() <= 86_400,
        type,
        "tolerance_s",
        "must be from 1 to 86400");
    at.require(e.getRouteCount() > 0, type, "route", "at least one is needed");
    for (int i = 0; i < e.getSecretCount(); i++) {
      try {
        String identity = secretCheck.apply(e.getSecret(i));
        warnIfShared(at.at(type, "secret", i, ""), number, e.getPath(), identity);
      } catch (IllegalArgumentException bad) {
        at.fault(type, "secret", i, bad.getMessage());
      }
    }
    Set<String> types = new HashSet<>();
    for (int i = 0; i < e.getRouteCount(); i++) {
      Location route = at.in(type, "route", i);
      Route r = e.getRoute(i);
      route.require(!r.getType().isEmpty(), Route.getDescriptor(), "type", "is needed");
      route.require(
          types.add(r.getType()), Route.getDescriptor(), "type", "stands twice at this endpoint");
      route.require(
          classes.contains(r.getRequestClass()),
          Route.getDescriptor(),
          "request_class",
          "names no request_class of this file");
    }
  }

  private void warnIfShared(Fault at, int endpoint, String path, String identity) {
    SecretLocation first =
        secrets.putIfAbsent(identity, new SecretLocation(endpoint, path, at.field(), at.line()));
    if (first != null && first.endpoint() != endpoint) {
      warnings.add(new Fault(
          at.file(),
          at.line(),
          at.field(),
          "warning: " + path + " shares this secret with " + first.path() + " (line "
              + first.line() + ", " + first.field() + "): an event that is posted at both runs"
              + " once only; give each endpoint a secret of its own where both are to run it"));
    }
  }

  private void checkLimits(Location at, Limits l) {
    var type = Limits.getDescriptor();
    for (FieldDescriptor f : type.getFields()) {
      long value = ((Number) l.getField(f)).longValue();
      boolean mayBeZero = f.getNumber() == Limits.MAX_MESSAGE_BYTES_FIELD_NUMBER;
      at.require(value > 0 || mayBeZero && value == 0, type, f.getName(), "must be more than 0");
    }
    at.require(
        l.getMaxMessageBytes() == 0 || l.getMaxMessageBytes() >= l.getMaxBodyBytes(),
        type,
        "max_message_bytes",
        "must be 0, or max_body_bytes or more");
    at.require(l.getStackBytes() >= 65_536, type, "stack_bytes", "must be 65536 or more");
    at.require(
        l.getMaxBodyBytes() <= 64L << 20, type, "max_body_bytes", "must be 67108864 or less");
  }

  private void checkRunners(Location at, Runners r) {
    var type = Runners.getDescriptor();
    at.require(
        r.getMaxAttempts() > 0 && r.getMaxAttempts() <= 16,
        type,
        "max_attempts",
        "must be from 1 to 16");
    at.require(r.getKeepAliveMs() > 0, type, "keep_alive_ms", "must be more than 0");
    at.require(r.getConnectMs() > 0, type, "connect_ms", "must be more than 0");
    at.require(r.getOrderMs() > 0, type, "order_ms", "must be more than 0");
    at.require(r.getConnectionIdleMs() >= 0, type, "connection_idle_ms", "must not be negative");
    at.require(
        r.getUnsafeConnectionIdleMs() >= 0
            && r.getUnsafeConnectionIdleMs() <= r.getConnectionIdleMs(),
        type,
        "unsafe_connection_idle_ms",
        "must be from 0 to connection_idle_ms");
    at.require(r.getMaxAnswerBytes() > 0, type, "max_answer_bytes", "must be more than 0");
  }

  private void checkRules(Location at, RuleFigures r) {
    var type = RuleFigures.getDescriptor();
    at.require(r.getDrainGraceMs() >= 0, type, "drain_grace_ms", "must not be negative");
    at.require(
        r.getColdFrom() >= 0 && r.getColdFrom() <= 1, type, "cold_from", "must be from 0 to 1");
    at.require(r.getColdMs() >= 0, type, "cold_ms", "must not be negative");
    at.require(r.getOverloadMultiple() >= 0, type, "overload_multiple", "must not be negative");
    at.require(r.getOverloadMs() >= 0, type, "overload_ms", "must not be negative");
    at.require(r.getLoadsFree() >= 0, type, "loads_free", "must not be negative");
    at.require(r.getLoadShare() >= 0, type, "load_share", "must not be negative");
    at.require(r.getLoadWindowMs() >= 0, type, "load_window_ms", "must not be negative");
  }
}
