package gorseladder.node.changelog;

import gorseladder.RouterApi.ListKind;
import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.WorkerEntry;
import gorseladder.RouterApi.WorkerListUpdate;
import gorseladder.node.NodeConfig;
import gorseladder.platform.BadInput;
import gorseladder.platform.Fields;
import gorseladder.platform.PlatformList;
import gorseladder.runtime.Clock;
import gorseladder.starts.AddressOwners;
import gorseladder.starts.StartTimes;
import gorseladder.starts.StartTimes.ClockReading;
import gorseladder.wire.changelog.ChangeLine;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The runners that the change log has listed. If an entry of an event is malformed, only its readable part is applied:
 * a reported drain or end of its runner takes effect whatever else is wrong with the entry.
 *
 * <p>A runner whose address a later process has is reported as gone ({@link AddressOwners}).
 *
 * <p>Without this, one malformed entry would hide all others of its event. The drawback: if the malformed entry means a
 * new runner, that runner is not used until it is listed again.
 *
 * <p>Not thread safe.
 */
final class ListedRunners {
  /** A listed runner; the address is null if none was given. */
  record ListedRunner(WorkerEntry entry, InetSocketAddress address) {}

  /**
   * The effect of an event.
   *
   * @param runners each runner that the event names or, as a full list, omits
   * @param listUpdate the same as an update of the list
   * @param unreadable why entries were skipped, or read only in part
   */
  record Change(List<ListedRunner> runners, WorkerListUpdate listUpdate, List<String> unreadable) {}

  private final StartTimes starts = new StartTimes();
  private final AddressOwners<InetSocketAddress> owners = new AddressOwners<>();
  private final Map<String, ListedRunner> known = new HashMap<>();

  /** Observes how the clocks differ; called periodically. */
  void observeClocks() {
    starts.observe(clocks());
  }

  private static ClockReading clocks() {
    return new ClockReading(Clock.micros(), Clock.wallMicros());
  }

  /** The phase of a runner; null if the runner is unknown. */
  Phase phase(String uid) {
    ListedRunner listed = known.get(uid);
    return listed == null ? null : listed.entry().phase();
  }

  /** All known runners, as the list at the start. */
  Change savedList() {
    List<ListedRunner> all = known.values().stream()
        .filter(listed -> !owners.isReplaced(listed.entry().worker()))
        .toList();
    return new Change(all, listUpdate(ListKind.SAVED, all), List.of());
  }

  private static WorkerListUpdate listUpdate(ListKind kind, List<ListedRunner> listed) {
    return new WorkerListUpdate(
        kind, new ArrayList<>(listed.stream().map(ListedRunner::entry).toList()));
  }

  /**
   * Applies an event.
   *
   * @param absentAt the last time at which the list is known to have been without what this event adds, or {@link
   *     StartTimes#ALWAYS_LISTED}
   */
  Change apply(ChangeLine.Fleet fleet, long absentAt) {
    ClockReading now = clocks();
    List<ListedRunner> runners = new ArrayList<>();
    List<String> unreadable = new ArrayList<>();
    Set<String> named = new HashSet<>();
    for (Map<String, Object> target : fleet.targets()) {
      if (target.get("uid") instanceof String uid) {
        named.add(uid);
      }
      try {
        runners.add(read(target, now, absentAt));
      } catch (RuntimeException e) {
        unreadable.add(target.get("uid") + ": " + e.getMessage());
        ListedRunner part = readablePart(target);
        if (part != null) {
          runners.add(part);
        }
      }
    }
    List<ListedRunner> inForce = new ArrayList<>(runners);
    if (fleet.all()) {
      addOmitted(named, runners, inForce);
    }
    runners.forEach(listed -> known.put(listed.entry().worker(), listed));
    Set<String> replaced = findReplaced(runners);
    applyReplaced(replaced, runners, inForce);
    runners.stream()
        .map(listed -> listed.entry())
        .filter(entry -> entry.phase() == Phase.GONE && !owners.isReplaced(entry.worker()))
        .forEach(entry -> forget(entry.worker()));
    return new Change(
        runners, listUpdate(fleet.all() ? ListKind.FULL : ListKind.DELTA, inForce), unreadable);
  }

  /** The runners whose address another process has now, by what the event names. */
  private Set<String> findReplaced(List<ListedRunner> runners) {
    Set<String> replaced = new HashSet<>();
    for (ListedRunner listed : runners) {
      WorkerEntry entry = listed.entry();
      if (entry.phase() == Phase.GONE) {
        owners.gone(entry.worker());
      } else if (listed.address() != null) {
        replaced.addAll(owners.named(entry.worker(), listed.address(), entry.startedAt()));
      }
    }
    replaced.removeIf(uid -> !owners.isReplaced(uid));
    return replaced;
  }

  /** A runner whose address another process has is reported as gone; what the list says of it stays known. */
  private void applyReplaced(
      Set<String> newlyReplaced, List<ListedRunner> runners, List<ListedRunner> inForce) {
    for (List<ListedRunner> reported : List.of(runners, inForce)) {
      reported.replaceAll(listed -> {
        String uid = listed.entry().worker();
        boolean reports = listed.entry().phase() != Phase.GONE && owners.isReplaced(uid);
        return reports ? withPhase(Phase.GONE, uid, listed) : listed;
      });
      Set<String> named = new HashSet<>();
      reported.forEach(listed -> named.add(listed.entry().worker()));
      for (String uid : newlyReplaced) {
        if (!named.contains(uid)) {
          // Before its successor, so that two names are never in force for one process.
          reported.add(0, withPhase(Phase.GONE, uid, known.get(uid)));
        }
      }
    }
  }

  /** A runner that a full list omits is gone; one whose entry there is malformed stays as it was. */
  private void addOmitted(
      Set<String> named, List<ListedRunner> runners, List<ListedRunner> inForce) {
    Set<String> read = new HashSet<>();
    runners.forEach(listed -> read.add(listed.entry().worker()));
    for (Map.Entry<String, ListedRunner> runner : known.entrySet()) {
      if (!named.contains(runner.getKey())) {
        runners.add(0, withPhase(Phase.GONE, runner.getKey(), runner.getValue()));
      } else if (!read.contains(runner.getKey())) {
        inForce.add(runner.getValue());
      }
    }
  }

  private ListedRunner read(Map<String, Object> target, ClockReading now, long absentAt) {
    WorkerEntry entry = PlatformList.ofChangeLog(
        target, (uid, stamp) -> starts.startedAt(uid, stamp, now, absentAt));
    return new ListedRunner(entry, NodeConfig.address(Fields.text(target, "endpoint"), "endpoint"));
  }

  /** What a malformed entry still says about its runner: that it drains or is gone; null if the entry says neither. */
  private ListedRunner readablePart(Map<String, Object> target) {
    if (!(target.get("uid") instanceof String uid)) {
      return null;
    }
    ListedRunner before = known.get(uid);
    try {
      Phase phase = PlatformList.phaseOfChangeLog(target);
      boolean usable = phase == Phase.GONE || phase == Phase.DRAINING && before != null;
      return usable ? withPhase(phase, uid, before) : null;
    } catch (BadInput e) {
      return null;
    }
  }

  private static ListedRunner withPhase(Phase phase, String uid, ListedRunner before) {
    if (before == null) {
      return new ListedRunner(new WorkerEntry(uid, "", 0, phase, 1, 0), null);
    }
    WorkerEntry e = before.entry();
    return new ListedRunner(
        new WorkerEntry(uid, e.zone(), e.cell(), phase, e.weight(), e.startedAt()),
        before.address());
  }

  private void forget(String uid) {
    known.remove(uid);
    starts.forget(uid::equals);
  }
}
