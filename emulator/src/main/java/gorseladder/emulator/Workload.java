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

/** Draws functions and their calls from one seed, one time range after the other. Times are in microseconds. */
final class Workload {
  private static final double OFFICE_OPENS_HOUR = 8;
  private static final double OFFICE_CLOSES_HOUR = 17;
  /** Fraction of the peak rate outside office hours. */
  private static final double OFF_HOURS_FACTOR = 0.01;

  /** Fraction of a weekday's rate at weekends. */
  private static final double WEEKEND_FACTOR = 0.2;

  /** A call and its arrival time. */
  record Arrival(long time, EmulatedFunction function, double workMicros) {}

  private record Member(
      Population population,
      int index,
      EmulatedFunction function,
      EmulatedFunction renamed,
      double share,
      double timerPhase) {}

  private final Emulation emulation;
  private final Random random;
  private final double dayMicros;
  private final List<Member> members = new ArrayList<>();
  private final Map<String, EmulatedFunction> functions = new HashMap<>();
  private final Recording recording;
  private long onceCount;

  /**
   * Creates the functions.
   *
   * @param recording calls to replay, with functions of the first population's sizes; null to draw the calls
   */
  Workload(Emulation settings, Recording recording) {
    this.emulation = settings;
    this.recording = recording;
    this.random = new Random(settings.getSeed());
    this.dayMicros = settings.getDayS() * 1e6;
    int number = 0;
    if (recording != null) {
      for (String name : recording.functions()) {
        functions.put(
            name,
            drawFunction(
                emulation.getPopulation(0), name, number++ % emulation.getCallClassCount()));
      }
      return;
    }
    for (Population population : emulation.getPopulationList()) {
      double sum = 0;
      for (int i = 0; i < population.getFunctions(); i++) {
        sum += Math.pow(i + 1, -population.getZipf());
      }
      for (int i = 0; i < population.getFunctions(); i++) {
        EmulatedFunction function = drawFunction(
            population, population.getName() + "-" + i, number++ % emulation.getCallClassCount());
        EmulatedFunction renamed = new EmulatedFunction(
            function.name() + "-new",
            function.population(),
            function.requestClass(),
            function.memoryMb(),
            function.lanes(),
            function.workMicros(),
            function.loadMicros());
        members.add(new Member(
            population,
            i,
            function,
            renamed,
            Math.pow(i + 1, -population.getZipf()) / sum,
            random.nextDouble()));
        functions.put(function.name(), function);
        functions.put(renamed.name(), renamed);
      }
    }
  }

  private double drawUniform(double from, double to) {
    return from + (to - from) * random.nextDouble();
  }

  private EmulatedFunction drawFunction(Population population, String name, int requestClass) {
    return new EmulatedFunction(
        name,
        population.getName(),
        requestClass,
        drawUniform(population.getMemoryFromMb(), population.getMemoryToMb()),
        population.getLanes(),
        1000 * drawUniform(population.getWorkFromMs(), population.getWorkToMs()),
        1000 * drawUniform(population.getLoadFromMs(), population.getLoadToMs()));
  }

  /** The function with a name, or null. */
  EmulatedFunction function(String name) {
    return functions.get(name);
  }

  /** Deletes a function that is called only once. */
  void forget(EmulatedFunction function) {
    if (function.name().startsWith("once-")) {
      functions.remove(function.name());
    }
  }

  private double callsPerSecond(Member member, double time) {
    Population population = member.population();
    double hour = time % dayMicros / dayMicros * 24;
    int dayNumber = (int) (time / dayMicros);
    double rate = population.getCallsPerS() * member.share();
    if (population.getShape() == Shape.OFFICE) {
      rate *= (hour >= OFFICE_OPENS_HOUR && hour < OFFICE_CLOSES_HOUR
              ? 1 - 0.6 * Math.abs(hour - 12.5) / 4.5
              : OFF_HOURS_FACTOR)
          * (dayNumber % 7 >= 5 ? WEEKEND_FACTOR : 1);
    }
    for (Surge surge : emulation.getSurgeList()) {
      boolean active = surge.getComes()
          && surge.getPopulation().equals(population.getName())
          && surge.getDay() == dayNumber
          && hour >= surge.getHour()
          && hour < surge.getHour() + surge.getHours();
      rate *= active ? surge.getTimes() : 1;
    }
    return rate;
  }

  /**
   * The calls of a time range by arrival time, drawn with the rates at the middle of the range. Ranges have to be drawn
   * in order.
   */
  List<Arrival> drawCalls(long from, long until) {
    List<Arrival> calls = new ArrayList<>();
    if (recording != null) {
      drawRecorded(from, until, calls);
      return calls;
    }
    double middle = (from + until) / 2.0;
    for (Member member : members) {
      Population population = member.population();
      boolean renamed =
          population.getRenamedOnDay() > 0 && middle / dayMicros >= population.getRenamedOnDay();
      EmulatedFunction function = renamed ? member.renamed() : member.function();
      if (population.getShape() == Shape.TIMER) {
        double period = 1e6 / (population.getCallsPerS() * member.share());
        for (double at = Math.ceil(from / period - member.timerPhase()) * period
                + member.timerPhase() * period;
            at < until;
            at += period) {
          calls.add(new Arrival((long) at, function, drawWorkMicros(function)));
        }
        continue;
      }
      double rate = callsPerSecond(member, middle) / 1e6;
      for (double at = from + drawGapMicros(rate); at < until; at += drawGapMicros(rate)) {
        EmulatedFunction called = population.getShape() == Shape.ONCE
            ? drawFunction(population, "once-" + onceCount++, function.requestClass())
            : function;
        functions.put(called.name(), called);
        calls.add(new Arrival((long) at, called, drawWorkMicros(called)));
      }
    }
    calls.sort(Comparator.comparingLong(Arrival::time));
    return calls;
  }

  /** Draws the arrival times of recorded calls, uniformly distributed over their minute. */
  private void drawRecorded(long from, long until, List<Arrival> calls) {
    recording
        .between(from / 1e6, until / 1e6)
        .forEach((minute, entries) -> entries.forEach(entry -> {
          EmulatedFunction function = functions.get(entry.function());
          for (long i = 0; i < entry.calls(); i++) {
            calls.add(new Arrival(
                (long) ((minute + random.nextDouble()) * 60e6),
                function,
                drawWorkMicros(function)));
          }
        }));
    calls.sort(Comparator.comparingLong(Arrival::time));
  }

  private double drawGapMicros(double rate) {
    return rate <= 0 ? Double.MAX_VALUE : -Math.log(1 - random.nextDouble()) / rate;
  }

  private double drawWorkMicros(EmulatedFunction function) {
    return function.workMicros() * drawUniform(0.7, 1.3);
  }
}
