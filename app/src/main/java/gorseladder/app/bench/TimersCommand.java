package gorseladder.app.bench;

import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import picocli.CommandLine.Command;

/** {@code bench timers}: compares the timing wheel with a binary heap and the JDK's scheduled executor. */
@Command(
    name = "timers",
    mixinStandardHelpOptions = true,
    description =
        "JMH: set and cancel a timer while 1,000 or 100,000 stand; wheel, binary heap, scheduled executor.")
final class TimersCommand implements Runnable {
  @Override
  public void run() {
    try {
      new Runner(new OptionsBuilder()
              .include(TimerBench.class.getSimpleName())
              .forks(1)
              .warmupIterations(2)
              .warmupTime(TimeValue.seconds(1))
              .measurementIterations(3)
              .measurementTime(TimeValue.seconds(1))
              .build())
          .run();
    } catch (RunnerException e) {
      throw new IllegalStateException(e);
    }
  }
}
