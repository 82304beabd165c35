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
 * A runner: copies with lanes, memory, a few loads at once, cores that calls share. A copy that nobody used for the
 * keep-alive is unloaded, the longest idle one sooner where a load needs the room.
 */
final class EmulatedRunner {
  /** What a call or an order is told at its end. */
  record Result(Outcome outcome, CopyStatus note, int crowd, int held) {}

  /** Hears the end of a call. */
  interface Hearer {
    void ended(Result result);
  }

  /** Hears how many copies stand at the end of an order. */
  interface OrderHearer {
    void ended(Outcome outcome, int copies);
  }

  private static final class Call {
    private final Drawn function;
    private final double work;
    private final Hearer hearer;
    private final int crowd;
    private CopyStatus note;
    private boolean runs;

    Call(Drawn function, double work, Hearer hearer, int crowd, CopyStatus note) {
      this.function = function;
      this.work = work;
      this.hearer = hearer;
      this.crowd = crowd;
      this.note = note;
    }
  }

  private record Order(int copies, OrderHearer hearer) {}

  private static final class Copies {
    private final Drawn function;
    private int copies;
    private int loading;
    private int running;
    private long lastUsed;
    private final ArrayDeque<Call> queue = new ArrayDeque<>();
    private final List<Order> orders = new ArrayList<>();

    Copies(Drawn function) {
      this.function = function;
    }

    private int idle() {
      int lanes = function.lanes();
      return copies - (running + lanes - 1) / lanes;
    }
  }

  private static final class Loading {
    private final Copies set;

    Loading(Copies set) {
      this.set = set;
    }
  }

  private final String name;
  private final Agenda agenda;
  private final Fleet fleet;
  private final double fetchPart;
  private final EmulatedArchive archive;
  private final SharedRate<Call> cores;
  private final Map<String, Copies> sets = new LinkedHashMap<>();
  private final Map<Integer, Call> calls = new HashMap<>();
  private final ArrayDeque<Loading> waitingLoads = new ArrayDeque<>();
  private final Set<Loading> loads = new LinkedHashSet<>();
  private double usedMb;
  private int life;
  private boolean up = true;
  private int numbers;

  EmulatedRunner(
      String name,
      Agenda agenda,
      Fleet fleet,
      double speed,
      double fetchPart,
      EmulatedArchive archive) {
    this.name = name;
    this.agenda = agenda;
    this.fleet = fleet;
    this.fetchPart = fetchPart;
    this.archive = archive;
    this.cores = new SharedRate<>(agenda, n -> speed * Math.min(1, fleet.getCores() / (double) n));
  }

  String name() {
    return name;
  }

  /**
   * Takes a call; returns a number by which it can be cancelled. The hearer hears exactly one end, unless it is
   * cancelled.
   */
  int call(Drawn function, double work, boolean loadsOnMiss, Hearer hearer) {
    int number = numbers++;
    if (!up) {
      hearer.ended(new Result(Outcome.CONNECT_FAILED, CopyStatus.NONE, -1, 0));
      return number;
    }
    Copies s = sets.computeIfAbsent(function.name(), f -> new Copies(function));
    int crowd = s.running + s.queue.size();
    if (calls.size() >= fleet.getMostCalls()) {
      hearer.ended(new Result(Outcome.FULL, CopyStatus.NONE, crowd, calls.size()));
      return number;
    }
    if (s.copies + s.loading == 0 && !loadsOnMiss) {
      hearer.ended(new Result(Outcome.MISS, CopyStatus.NONE, crowd, calls.size()));
      return number;
    }
    CopyStatus note =
        s.copies > 0 ? CopyStatus.WARM : s.loading > 0 ? CopyStatus.WAITED : CopyStatus.BEGAN;
    int[] mine = {number};
    Call c = new Call(
        function,
        work,
        result -> {
          calls.remove(mine[0]);
          hearer.ended(result);
        },
        crowd,
        note);
    calls.put(number, c);
    s.queue.addLast(c);
    serve(s);
    if (!c.runs
        && loadsOnMiss
        && s.queue.size() > (s.copies + s.loading) * function.lanes()
        && !load(s, s.copies > 0)
        && s.copies + s.loading == 0) {
      s.queue.remove(c);
      end(c, Outcome.FULL);
    }
    return number;
  }

  private void end(Call c, Outcome outcome) {
    c.hearer.ended(new Result(
        outcome, outcome == Outcome.OK ? c.note : CopyStatus.NONE, c.crowd, calls.size() - 1));
  }

  /** Ends a call whose caller does not wait any more; nobody hears of it. */
  void cancel(int number) {
    Call c = calls.get(number);
    if (c == null || !fleet.getCancelling()) {
      return;
    }
    calls.remove(number);
    Copies s = sets.get(c.function.name());
    if (c.runs) {
      cores.drop(c);
      s.running--;
      serve(s);
    } else {
      s.queue.remove(c);
    }
  }

  private void serve(Copies s) {
    while (!s.queue.isEmpty() && s.running < s.copies * s.function.lanes()) {
      Call c = s.queue.pollFirst();
      c.runs = true;
      s.running++;
      s.lastUsed = agenda.now();
      int mine = life;
      cores.begin(c, c.work, () -> {
        if (mine == life) {
          s.running--;
          s.lastUsed = agenda.now();
          expireLater(s);
          end(c, Outcome.OK);
          serve(s);
        }
      });
    }
  }

  /** Orders that so many copies stand, which also renews their idle time. */
  void order(Drawn function, int copies, OrderHearer hearer) {
    if (!up) {
      hearer.ended(Outcome.CONNECT_FAILED, 0);
      return;
    }
    Copies s = sets.computeIfAbsent(function.name(), f -> new Copies(function));
    s.lastUsed = agenda.now();
    while (s.copies + s.loading < copies) {
      if (!load(s, false)) {
        hearer.ended(Outcome.FULL, s.copies);
        return;
      }
    }
    if (s.copies >= copies) {
      expireLater(s);
      hearer.ended(Outcome.OK, s.copies);
    } else {
      s.orders.add(new Order(copies, hearer));
    }
  }

  /** Begins a load where there is memory for it; an additional copy pushes nothing out. */
  private boolean load(Copies s, boolean additional) {
    double need = s.function.memoryMb();
    if (additional ? usedMb + need > fleet.getMemoryMb() : !makeRoom(need)) {
      return false;
    }
    usedMb += need;
    s.loading++;
    Loading l = new Loading(s);
    if (loads.size() < fleet.getParallelLoads()) {
      fetch(l);
    } else {
      waitingLoads.addLast(l);
    }
    return true;
  }

  private boolean makeRoom(double need) {
    if (usedMb + need <= fleet.getMemoryMb()) {
      return true;
    }
    List<Copies> idle = sets.values().stream()
        .filter(s -> s.idle() > 0)
        .sorted(Comparator.comparingLong(s -> s.lastUsed))
        .toList();
    double free = fleet.getMemoryMb()
        - usedMb
        + idle.stream().mapToDouble(s -> s.idle() * s.function.memoryMb()).sum();
    if (free < need) {
      return false;
    }
    for (Copies s : idle) {
      while (s.idle() > 0 && usedMb + need > fleet.getMemoryMb()) {
        s.copies--;
        usedMb -= s.function.memoryMb();
      }
    }
    return true;
  }

  private void fetch(Loading l) {
    loads.add(l);
    double micros = l.set.function.loadMicros();
    int mine = life;
    boolean taken = archive.fetch(
        l,
        micros * fetchPart,
        () -> agenda.after((long) (micros * (1 - fetchPart)), () -> {
          if (mine == life) {
            loaded(l);
          }
        }));
    if (!taken) {
      agenda.after(1000, () -> {
        if (mine == life) {
          failed(l);
        }
      });
    }
  }

  private void nextLoad(Loading l) {
    loads.remove(l);
    if (!waitingLoads.isEmpty()) {
      fetch(waitingLoads.pollFirst());
    }
  }

  private void loaded(Loading l) {
    Copies s = l.set;
    s.loading--;
    s.copies++;
    s.lastUsed = agenda.now();
    nextLoad(l);
    serve(s);
    expireLater(s);
    for (Order o : List.copyOf(s.orders)) {
      if (s.copies >= o.copies()) {
        s.orders.remove(o);
        o.hearer().ended(Outcome.OK, s.copies);
      }
    }
  }

  /** The archive turned the fetch away: whoever waits for this copy alone hears so. */
  private void failed(Loading l) {
    Copies s = l.set;
    s.loading--;
    usedMb -= s.function.memoryMb();
    nextLoad(l);
    if (s.copies + s.loading == 0) {
      List<Call> waiting = List.copyOf(s.queue);
      s.queue.clear();
      waiting.forEach(c -> end(c, Outcome.FULL));
    }
    List<Order> orders = List.copyOf(s.orders);
    s.orders.clear();
    orders.forEach(o -> o.hearer().ended(Outcome.ERROR, s.copies));
  }

  private void expireLater(Copies s) {
    long keep = fleet.getKeepAliveMs() * 1000;
    long used = s.lastUsed;
    int mine = life;
    agenda.after(keep, () -> {
      if (mine == life
          && s.lastUsed == used
          && s.running == 0
          && s.queue.isEmpty()
          && s.copies > 0) {
        usedMb -= s.copies * s.function.memoryMb();
        s.copies = 0;
      }
      if (mine == life && s.copies + s.loading + s.queue.size() == 0 && s.orders.isEmpty()) {
        sets.remove(s.function.name(), s);
      }
    });
  }

  /** Stops: what it holds is reset, what it loaded is gone. */
  void die() {
    up = false;
    life++;
    List<Call> held = new ArrayList<>(calls.values());
    List<Order> orders = sets.values().stream().flatMap(s -> s.orders.stream()).toList();
    cores.clear();
    loads.forEach(archive::drop);
    loads.clear();
    waitingLoads.clear();
    sets.clear();
    usedMb = 0;
    held.forEach(c -> end(c, Outcome.RESET));
    calls.clear();
    orders.forEach(o -> o.hearer().ended(Outcome.RESET, 0));
  }

  /** Starts empty. */
  void start() {
    up = true;
  }
}
