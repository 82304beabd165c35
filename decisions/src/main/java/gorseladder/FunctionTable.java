package gorseladder;

import gorseladder.RouterState.Function;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The functions that the router remembers, in the order of their last use.
 *
 * <p>Their number is limited: calls of ever new functions would otherwise fill the memory within the time for which
 * each is kept. Beyond the limit those used longest ago are forgotten, unless calls of theirs are outstanding or
 * queued. The drawback: the next call of a forgotten function does not know where its copies are. Not thread safe.
 */
final class FunctionTable {
  /** Functions examined for each one that is added, so that outstanding calls do not make this expensive. */
  private static final int MAX_EXAMINED = 64;

  private final Map<String, Function> functions = new LinkedHashMap<>(16, 0.75f, true);
  private int limit = Integer.MAX_VALUE;

  /** Sets the number of functions that are remembered. */
  void limit(int most) {
    limit = most;
  }

  /** The function with this name, or null. */
  Function get(String name) {
    return functions.get(name);
  }

  /** The function with this name, which is added if it is not remembered. */
  Function use(String name) {
    Function known = functions.get(name);
    if (known != null) {
      return known;
    }
    forgetExcess();
    Function added = new Function(name);
    functions.put(name, added);
    return added;
  }

  private void forgetExcess() {
    Iterator<Function> leastRecent = functions.values().iterator();
    int excess = functions.size() + 1 - limit;
    for (int i = 0; excess > 0 && i < MAX_EXAMINED && leastRecent.hasNext(); i++) {
      if (isUnused(leastRecent.next())) {
        leastRecent.remove();
        excess--;
      }
    }
  }

  private static boolean isUnused(Function f) {
    return f.inFlight == 0 && f.queue.isEmpty();
  }

  /** Forgets the functions without outstanding or queued calls whose last call came before this time. */
  void forgetUnusedSince(long time) {
    functions.values().removeIf(f -> f.lastUsedAt < time && isUnused(f));
  }

  /** The functions, those used longest ago first. */
  Collection<Function> all() {
    return functions.values();
  }
}
