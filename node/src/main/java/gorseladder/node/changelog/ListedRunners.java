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
 * The runners that the change log told of, and what an event makes of them. An entry that cannot be read changes
 * nothing but what can be read of it: that its runner drains or is gone holds, whatever else is wrong with it.
 *
 * <p>Guards against one entry that hides all others of its event. It could harm where an unreadable entry means a new
 * runner: that one is not used until it is told again.
 *
 * <p>Not thread safe.
 */
final class ListedRunners {
  /** What is known of a runner; the address is null where none was told. */
  record Listed(WorkerEntry entry, InetSocketAddress address) {}

  /**
   * What an event says.
   *
   * @param told each runner that it names or, by a whole list, leaves out
   * @param workers the same as news of the list
   * @param unreadable why entries were passed over, or read in part
   */
  record Change(List<Listed> told, WorkerListUpdate workers, List<String> unreadable) {}

  private final StartTimes starts = new StartTimes();
  private final Map<String, Listed> known = new HashMap<>();

  /** Notes how the clocks stand to each other; now and then. */
  void observeClocks() {
    starts.observe(clocks());
  }

  private static ClockReading clocks() {
    return new ClockReading(Clock.micros(), Clock.wallMicros());
  }

  /** The phase of a runner; null where nothing is known of it. */
  Phase phase(String uid) {
    Listed listed = known.get(uid);
    return listed == null ? null : listed.entry().phase();
  }

  /** All that is known, as the list at the start. */
  Change asSaved() {
    List<Listed> all = List.copyOf(known.values());
    return new Change(all, workers(ListKind.SAVED, all), List.of());
  }

  private static WorkerListUpdate workers(ListKind kind, List<Listed> listed) {
    return new WorkerListUpdate(
        kind, new ArrayList<>(listed.stream().map(Listed::entry).toList()));
  }

  /**
   * Applies an event.
   *
   * @param absentAt the last time at which the list is known to have been without what this event adds, or
   *     {@link StartTimes#ALWAYS_LISTED}
   */
  Change apply(ChangeLine.Fleet fleet, long absentAt) {
    ClockReading now = clocks();
    List<Listed> told = new ArrayList<>();
    List<String> unreadable = new ArrayList<>();
    Set<String> named = new HashSet<>();
    for (Map<String, Object> target : fleet.targets()) {
      if (target.get("uid") instanceof String uid) {
        named.add(uid);
      }
      try {
        told.add(read(target, now, absentAt));
      } catch (RuntimeException e) {
        unreadable.add(target.get("uid") + ": " + e.getMessage());
        Listed rest = readable(target);
        if (rest != null) {
          told.add(rest);
        }
      }
    }
    List<Listed> inForce = new ArrayList<>(told);
    if (fleet.all()) {
      addWhatIsNotNamed(named, told, inForce);
    }
    told.forEach(listed -> known.put(listed.entry().worker(), listed));
    told.stream()
        .filter(listed -> listed.entry().phase() == Phase.GONE)
        .forEach(listed -> forget(listed.entry().worker()));
    return new Change(
        told, workers(fleet.all() ? ListKind.FULL : ListKind.DELTA, inForce), unreadable);
  }

  /** A runner that a whole list does not name is gone; one whose entry there cannot be read stays as it was. */
  private void addWhatIsNotNamed(Set<String> named, List<Listed> told, List<Listed> inForce) {
    Set<String> read = new HashSet<>();
    told.forEach(listed -> read.add(listed.entry().worker()));
    for (Map.Entry<String, Listed> one : known.entrySet()) {
      if (!named.contains(one.getKey())) {
        told.add(0, in(Phase.GONE, one.getKey(), one.getValue()));
      } else if (!read.contains(one.getKey())) {
        inForce.add(one.getValue());
      }
    }
  }

  private Listed read(Map<String, Object> target, ClockReading now, long absentAt) {
    WorkerEntry entry = PlatformList.ofChangeLog(
        target, (uid, stamp) -> starts.startedAt(uid, stamp, now, absentAt));
    return new Listed(entry, NodeConfig.address(Fields.text(target, "endpoint"), "endpoint"));
  }

  /**
   * What can be read of an entry that as a whole cannot: that its runner is to be left alone; null where it does not
   * say so.
   */
  private Listed readable(Map<String, Object> target) {
    if (!(target.get("uid") instanceof String uid)) {
      return null;
    }
    Listed before = known.get(uid);
    try {
      Phase phase = PlatformList.phaseOfChangeLog(target);
      boolean holds = phase == Phase.GONE || phase == Phase.DRAINING && before != null;
      return holds ? in(phase, uid, before) : null;
    } catch (BadInput e) {
      return null;
    }
  }

  private static Listed in(Phase phase, String uid, Listed before) {
    if (before == null) {
      return new Listed(new WorkerEntry(uid, "", 0, phase, 1, 0), null);
    }
    WorkerEntry e = before.entry();
    return new Listed(
        new WorkerEntry(uid, e.zone(), e.cell(), phase, e.weight(), e.startedAt()),
        before.address());
  }

  private void forget(String uid) {
    known.remove(uid);
    starts.forget(uid::equals);
  }
}
