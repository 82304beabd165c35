package gorseladder.emulator;

import gorseladder.emulator.proto.Emulation;
import gorseladder.emulator.proto.Population;
import gorseladder.emulator.proto.Population.Shape;
import gorseladder.emulator.proto.Surge;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Draws functions and their calls, a stretch of time after the other, by one seed. Times in microseconds. */
final class Workload {
  /** The office day, and what is left of a rate outside of it and at weekends. */
  private static final double OPENS = 8;

  private static final double CLOSES = 17;
  private static final double NIGHT = 0.01;
  private static final double WEEKEND = 0.2;

  /** A call to come. */
  record Arrival(long at, Drawn function, double work) {}

  private record Member(
      Population population,
      int index,
      Drawn function,
      Drawn renamed,
      double share,
      double phase) {}

  private final Emulation e;
  private final Random random;
  private final double day;
  private final List<Member> members = new ArrayList<>();
  private final Map<String, Drawn> functions = new HashMap<>();
  private final Recording recording;
  private long once;

  /**
   * Calls of the settings' populations, or those of a recording where there is one; then the first population gives the
   * sizes.
   */
  Workload(Emulation emulation, Recording recording) {
    this.e = emulation;
    this.recording = recording;
    this.random = new Random(emulation.getSeed());
    this.day = emulation.getDayS() * 1e6;
    int number = 0;
    if (recording != null) {
      for (String name : recording.functions()) {
        functions.put(name, draw(e.getPopulation(0), name, number++ % e.getCallClassCount()));
      }
      return;
    }
    for (Population p : e.getPopulationList()) {
      double sum = 0;
      for (int i = 0; i < p.getFunctions(); i++) {
        sum += Math.pow(i + 1, -p.getZipf());
      }
      for (int i = 0; i < p.getFunctions(); i++) {
        Drawn f = draw(p, p.getName() + "-" + i, number++ % e.getCallClassCount());
        Drawn renamed = new Drawn(
            f.name() + "-new",
            f.population(),
            f.requestClass(),
            f.memoryMb(),
            f.lanes(),
            f.workMicros(),
            f.loadMicros());
        members.add(
            new Member(p, i, f, renamed, Math.pow(i + 1, -p.getZipf()) / sum, random.nextDouble()));
        functions.put(f.name(), f);
        functions.put(renamed.name(), renamed);
      }
    }
  }

  private double between(double from, double to) {
    return from + (to - from) * random.nextDouble();
  }

  private Drawn draw(Population p, String name, int requestClass) {
    return new Drawn(
        name,
        p.getName(),
        requestClass,
        between(p.getMemoryFromMb(), p.getMemoryToMb()),
        p.getLanes(),
        1000 * between(p.getWorkFromMs(), p.getWorkToMs()),
        1000 * between(p.getLoadFromMs(), p.getLoadToMs()));
  }

  /** The function of that name, or null. */
  Drawn function(String name) {
    return functions.get(name);
  }

  /** Names a function that is wanted only once may be forgotten by. */
  void forget(Drawn f) {
    if (f.name().startsWith("once-")) {
      functions.remove(f.name());
    }
  }

  /** Calls a second of a member at a time. */
  private double rate(Member m, double time) {
    Population p = m.population();
    double hour = time % day / day * 24;
    int number = (int) (time / day);
    double rate = p.getCallsPerS() * m.share();
    if (p.getShape() == Shape.OFFICE) {
      rate *= (hour >= OPENS && hour < CLOSES ? 1 - 0.6 * Math.abs(hour - 12.5) / 4.5 : NIGHT)
          * (number % 7 >= 5 ? WEEKEND : 1);
    }
    for (Surge s : e.getSurgeList()) {
      boolean on = s.getComes()
          && s.getPopulation().equals(p.getName())
          && s.getDay() == number
          && hour >= s.getHour()
          && hour < s.getHour() + s.getHours();
      rate *= on ? s.getTimes() : 1;
    }
    return rate;
  }

  /** The calls of a stretch, in their order; rates are those of its middle. Ask for stretches one after the other. */
  List<Arrival> draw(long from, long until) {
    List<Arrival> all = new ArrayList<>();
    if (recording != null) {
      recorded(from, until, all);
      return all;
    }
    double middle = (from + until) / 2.0;
    for (Member m : members) {
      Population p = m.population();
      boolean renamed = p.getRenamedOnDay() > 0 && middle / day >= p.getRenamedOnDay();
      Drawn f = renamed ? m.renamed() : m.function();
      if (p.getShape() == Shape.TIMER) {
        double period = 1e6 / (p.getCallsPerS() * m.share());
        for (double at = Math.ceil(from / period - m.phase()) * period + m.phase() * period;
            at < until;
            at += period) {
          all.add(new Arrival((long) at, f, work(f)));
        }
        continue;
      }
      double rate = rate(m, middle) / 1e6;
      for (double at = from + gap(rate); at < until; at += gap(rate)) {
        Drawn called = p.getShape() == Shape.ONCE ? draw(p, "once-" + once++, f.requestClass()) : f;
        functions.put(called.name(), called);
        all.add(new Arrival((long) at, called, work(called)));
      }
    }
    all.sort(Comparator.comparingLong(Arrival::at));
    return all;
  }

  /** Calls of a recorded minute come at times drawn evenly over it. */
  private void recorded(long from, long until, List<Arrival> all) {
    recording
        .between(from / 1e6, until / 1e6)
        .forEach((minute, entries) -> entries.forEach(entry -> {
          Drawn f = functions.get(entry.function());
          for (long i = 0; i < entry.calls(); i++) {
            all.add(new Arrival((long) ((minute + random.nextDouble()) * 60e6), f, work(f)));
          }
        }));
    all.sort(Comparator.comparingLong(Arrival::at));
  }

  private double gap(double rate) {
    return rate <= 0 ? Double.MAX_VALUE : -Math.log(1 - random.nextDouble()) / rate;
  }

  private double work(Drawn f) {
    return f.workMicros() * between(0.7, 1.3);
  }
}
