package gorseladder.emulator;

import gorseladder.RouterApi.CopyStatus;
import gorseladder.RouterApi.Outcome;
import gorseladder.emulator.proto.Fleet;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A runner with limited memory, a limited number of parallel loads and cores that its calls share. The copies of a
 * function are unloaded when it was not used for the keep-alive time; if a load needs memory, idle copies of the least
 * recently used functions are unloaded earlier.
 */
final class EmulatedRunner {
  /**
   * Result of a call.
   *
   * @param concurrency calls of the same function that the runner held when this one arrived; -1 if it was down
   * @param callsHeld calls that the runner holds after this one
   */
  record Result(Outcome outcome, CopyStatus copyStatus, int concurrency, int callsHeld) {}

  /** Receives the result of a call. */
  interface CallListener {
    void ended(Result result);
  }

  /** Receives the result of a load order and the number of loaded copies. */
  interface OrderListener {
    void ended(Outcome outcome, int copies);
  }

  private static final class Call {
    private final EmulatedFunction function;
    private final double workMicros;
    private final CallListener listener;
    private final int concurrency;
    private CopyStatus copyStatus;
    private boolean started;

    Call(
        EmulatedFunction function,
        double workMicros,
        CallListener listener,
        int concurrency,
        CopyStatus copyStatus) {
      this.function = function;
      this.workMicros = workMicros;
      this.listener = listener;
      this.concurrency = concurrency;
      this.copyStatus = copyStatus;
    }
  }

  private record Order(int copies, OrderListener listener) {}

  private static final class FunctionCopies {
    private final EmulatedFunction function;
    private int loaded;
    private int loading;
    private int running;
    private long lastUsed;
    private final ArrayDeque<Call> queue = new ArrayDeque<>();
    private final List<Order> orders = new ArrayList<>();

    FunctionCopies(EmulatedFunction function) {
      this.function = function;
    }

    private int idleCopies() {
      int lanes = function.lanes();
      return loaded - (running + lanes - 1) / lanes;
    }
  }

  private static final class PendingLoad {
    private final FunctionCopies copies;

    PendingLoad(FunctionCopies copies) {
      this.copies = copies;
    }
  }

  private final String name;
  private final EventScheduler scheduler;
  private final Fleet fleet;
  private final double fetchFraction;
  private final EmulatedArchive archive;
  private final ProcessorSharing<Call> cores;
  private final Map<String, FunctionCopies> copiesByFunction = new LinkedHashMap<>();
  private final Map<Integer, Call> calls = new HashMap<>();
  private final ArrayDeque<PendingLoad> queuedLoads = new ArrayDeque<>();
  private final Set<PendingLoad> activeLoads = new LinkedHashSet<>();
  private double usedMb;
  private int incarnation;
  private boolean up = true;
  private int nextNumber;

  EmulatedRunner(
      String name,
      EventScheduler scheduler,
      Fleet fleet,
      double speed,
      double fetchFraction,
      EmulatedArchive archive) {
    this.name = name;
    this.scheduler = scheduler;
    this.fleet = fleet;
    this.fetchFraction = fetchFraction;
    this.archive = archive;
    this.cores =
        new ProcessorSharing<>(scheduler, n -> speed * Math.min(1, fleet.getCores() / (double) n));
  }

  String name() {
    return name;
  }

  /**
   * Accepts or rejects a call. The listener receives exactly one result, unless the call is cancelled.
   *
   * @return the number to pass to {@link #cancel}
   */
  int call(
      EmulatedFunction function, double workMicros, boolean loadsOnMiss, CallListener listener) {
    int number = nextNumber++;
    if (!up) {
      listener.ended(new Result(Outcome.CONNECT_FAILED, CopyStatus.NONE, -1, 0));
      return number;
    }
    FunctionCopies copies =
        copiesByFunction.computeIfAbsent(function.name(), f -> new FunctionCopies(function));
    int concurrency = copies.running + copies.queue.size();
    if (calls.size() >= fleet.getMostCalls()) {
      listener.ended(new Result(Outcome.FULL, CopyStatus.NONE, concurrency, calls.size()));
      return number;
    }
    if (copies.loaded + copies.loading == 0 && !loadsOnMiss) {
      listener.ended(new Result(Outcome.MISS, CopyStatus.NONE, concurrency, calls.size()));
      return number;
    }
    CopyStatus copyStatus = copies.loaded > 0
        ? CopyStatus.WARM
        : copies.loading > 0 ? CopyStatus.WAITED : CopyStatus.BEGAN;
    int[] ownNumber = {number};
    Call call = new Call(
        function,
        workMicros,
        result -> {
          calls.remove(ownNumber[0]);
          listener.ended(result);
        },
        concurrency,
        copyStatus);
    calls.put(number, call);
    copies.queue.addLast(call);
    startCalls(copies);
    if (!call.started
        && loadsOnMiss
        && copies.queue.size() > (copies.loaded + copies.loading) * function.lanes()
        && !load(copies, copies.loaded > 0)
        && copies.loaded + copies.loading == 0) {
      copies.queue.remove(call);
      finish(call, Outcome.FULL);
    }
    return number;
  }

  private void finish(Call call, Outcome outcome) {
    call.listener.ended(new Result(
        outcome,
        outcome == Outcome.OK ? call.copyStatus : CopyStatus.NONE,
        call.concurrency,
        calls.size() - 1));
  }

  /** Ends a call whose caller no longer waits, without a result. Has no effect if the fleet does not support it. */
  void cancel(int number) {
    Call call = calls.get(number);
    if (call == null || !fleet.getCancelling()) {
      return;
    }
    calls.remove(number);
    FunctionCopies copies = copiesByFunction.get(call.function.name());
    if (call.started) {
      cores.remove(call);
      copies.running--;
      startCalls(copies);
    } else {
      copies.queue.remove(call);
    }
  }

  private void startCalls(FunctionCopies copies) {
    while (!copies.queue.isEmpty() && copies.running < copies.loaded * copies.function.lanes()) {
      Call call = copies.queue.pollFirst();
      call.started = true;
      copies.running++;
      copies.lastUsed = scheduler.now();
      int current = incarnation;
      cores.start(call, call.workMicros, () -> {
        if (current == incarnation) {
          copies.running--;
          copies.lastUsed = scheduler.now();
          scheduleExpiry(copies);
          finish(call, Outcome.OK);
          startCalls(copies);
        }
      });
    }
  }

  /** Loads copies of a function until the requested number is loaded, and restarts its keep-alive time. */
  void order(EmulatedFunction function, int requested, OrderListener listener) {
    if (!up) {
      listener.ended(Outcome.CONNECT_FAILED, 0);
      return;
    }
    FunctionCopies copies =
        copiesByFunction.computeIfAbsent(function.name(), f -> new FunctionCopies(function));
    copies.lastUsed = scheduler.now();
    while (copies.loaded + copies.loading < requested) {
      if (!load(copies, false)) {
        listener.ended(Outcome.FULL, copies.loaded);
        return;
      }
    }
    if (copies.loaded >= requested) {
      scheduleExpiry(copies);
      listener.ended(Outcome.OK, copies.loaded);
    } else {
      copies.orders.add(new Order(requested, listener));
    }
  }

  /** Starts or queues a load if there is memory for it. An additional copy evicts no other copies. */
  private boolean load(FunctionCopies copies, boolean additional) {
    double neededMb = copies.function.memoryMb();
    if (additional ? usedMb + neededMb > fleet.getMemoryMb() : !freeMemory(neededMb)) {
      return false;
    }
    usedMb += neededMb;
    copies.loading++;
    PendingLoad load = new PendingLoad(copies);
    if (activeLoads.size() < fleet.getParallelLoads()) {
      fetch(load);
    } else {
      queuedLoads.addLast(load);
    }
    return true;
  }

  private boolean freeMemory(double neededMb) {
    if (usedMb + neededMb <= fleet.getMemoryMb()) {
      return true;
    }
    List<FunctionCopies> idle = copiesByFunction.values().stream()
        .filter(copies -> copies.idleCopies() > 0)
        .sorted(Comparator.comparingLong(copies -> copies.lastUsed))
        .toList();
    double freeMb = fleet.getMemoryMb()
        - usedMb
        + idle.stream()
            .mapToDouble(copies -> copies.idleCopies() * copies.function.memoryMb())
            .sum();
    if (freeMb < neededMb) {
      return false;
    }
    for (FunctionCopies copies : idle) {
      while (copies.idleCopies() > 0 && usedMb + neededMb > fleet.getMemoryMb()) {
        copies.loaded--;
        usedMb -= copies.function.memoryMb();
      }
    }
    return true;
  }

  private void fetch(PendingLoad load) {
    activeLoads.add(load);
    double loadMicros = load.copies.function.loadMicros();
    int current = incarnation;
    boolean accepted = archive.fetch(
        load,
        loadMicros * fetchFraction,
        () -> scheduler.after((long) (loadMicros * (1 - fetchFraction)), () -> {
          if (current == incarnation) {
            loadCompleted(load);
          }
        }));
    if (!accepted) {
      scheduler.after(1000, () -> {
        if (current == incarnation) {
          loadFailed(load);
        }
      });
    }
  }

  private void startNextLoad(PendingLoad load) {
    activeLoads.remove(load);
    if (!queuedLoads.isEmpty()) {
      fetch(queuedLoads.pollFirst());
    }
  }

  private void loadCompleted(PendingLoad load) {
    FunctionCopies copies = load.copies;
    copies.loading--;
    copies.loaded++;
    copies.lastUsed = scheduler.now();
    startNextLoad(load);
    startCalls(copies);
    scheduleExpiry(copies);
    for (Order order : List.copyOf(copies.orders)) {
      if (copies.loaded >= order.copies()) {
        copies.orders.remove(order);
        order.listener().ended(Outcome.OK, copies.loaded);
      }
    }
  }

  /** Handles a rejected fetch: fails the orders, and the calls too if no copy is loaded or loading. */
  private void loadFailed(PendingLoad load) {
    FunctionCopies copies = load.copies;
    copies.loading--;
    usedMb -= copies.function.memoryMb();
    startNextLoad(load);
    if (copies.loaded + copies.loading == 0) {
      List<Call> waiting = List.copyOf(copies.queue);
      copies.queue.clear();
      waiting.forEach(call -> finish(call, Outcome.FULL));
    }
    List<Order> openOrders = List.copyOf(copies.orders);
    copies.orders.clear();
    openOrders.forEach(order -> order.listener().ended(Outcome.ERROR, copies.loaded));
  }

  private void scheduleExpiry(FunctionCopies copies) {
    long keepAliveMicros = fleet.getKeepAliveMs() * 1000;
    long lastUsedBefore = copies.lastUsed;
    int current = incarnation;
    scheduler.after(keepAliveMicros, () -> {
      if (current == incarnation
          && copies.lastUsed == lastUsedBefore
          && copies.running == 0
          && copies.queue.isEmpty()
          && copies.loaded > 0) {
        usedMb -= copies.loaded * copies.function.memoryMb();
        copies.loaded = 0;
      }
      if (current == incarnation
          && copies.loaded + copies.loading + copies.queue.size() == 0
          && copies.orders.isEmpty()) {
        copiesByFunction.remove(copies.function.name(), copies);
      }
    });
  }

  /** Stops: resets all calls and orders and discards all copies. */
  void crash() {
    up = false;
    incarnation++;
    List<Call> heldCalls = new ArrayList<>(calls.values());
    List<Order> openOrders = copiesByFunction.values().stream()
        .flatMap(copies -> copies.orders.stream())
        .toList();
    cores.clear();
    activeLoads.forEach(archive::cancel);
    activeLoads.clear();
    queuedLoads.clear();
    copiesByFunction.clear();
    usedMb = 0;
    heldCalls.forEach(call -> finish(call, Outcome.RESET));
    calls.clear();
    openOrders.forEach(order -> order.listener().ended(Outcome.RESET, 0));
  }

  /** Accepts calls again, with no copies loaded. */
  void restart() {
    up = true;
  }
}
