package gorseladder.starts;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Decides which of several listed workers with one address is the process that listens there.
 *
 * <p>A process that ends may stay listed for seconds while a new one, with a name of its own, has its address. Calls
 * for the old name then reach the new process, which is cold, and beside its slow start. Only one process listens at
 * an address, so a worker that started later replaces every earlier one there: those count as gone, whatever the
 * list says of them, until it names them again after the later one has left or moved, or with a later start or
 * another address. Workers without a start replace nothing, since nothing tells which of them is the later one. Does
 * harm if a list gives a wrong address to a worker that just started.
 *
 * <p>Free of clocks, threads and input; not thread safe.
 *
 * @param <A> type of the addresses, by {@code equals}
 */
public final class AddressOwners<A> {
  private record Listing<A>(A address, long startedAt) {}

  private final Map<String, Listing<A>> listed = new HashMap<>();
  private final Map<A, Set<String>> byAddress = new HashMap<>();
  private final Set<String> replaced = new HashSet<>();

  /**
   * Whether a worker that started at the first time replaces one that started at the second.
   *
   * @param startedAt start of the worker, 0 for long ago
   */
  public static boolean replaces(long startedAt, long otherStartedAt) {
    return startedAt > otherStartedAt;
  }

  /**
   * Applies that the list names a worker that is not gone.
   *
   * @param startedAt when it started, 0 for long ago
   * @return the workers that are replaced from now on; the named one among them if another one has its address
   */
  public Set<String> named(String worker, A address, long startedAt) {
    gone(worker);
    Set<String> newlyReplaced = new HashSet<>();
    Set<String> neighbors = byAddress.computeIfAbsent(address, any -> new HashSet<>(2));
    for (String other : neighbors) {
      long otherStartedAt = listed.get(other).startedAt();
      if (replaces(startedAt, otherStartedAt) && replaced.add(other)) {
        newlyReplaced.add(other);
      }
      if (replaces(otherStartedAt, startedAt)) {
        replaced.add(worker);
        newlyReplaced.add(worker);
      }
    }
    listed.put(worker, new Listing<>(address, startedAt));
    neighbors.add(worker);
    return newlyReplaced;
  }

  /** Applies that a worker is gone. */
  public void gone(String worker) {
    replaced.remove(worker);
    Listing<A> listing = listed.remove(worker);
    if (listing == null) {
      return;
    }
    Set<String> neighbors = byAddress.get(listing.address());
    neighbors.remove(worker);
    if (neighbors.isEmpty()) {
      byAddress.remove(listing.address());
    }
  }

  /** Whether another worker has the address of this one. */
  public boolean isReplaced(String worker) {
    return replaced.contains(worker);
  }
}
