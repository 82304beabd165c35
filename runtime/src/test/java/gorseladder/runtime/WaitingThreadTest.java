package gorseladder.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.jdi.Bootstrap;
import com.sun.jdi.ClassType;
import com.sun.jdi.Location;
import com.sun.jdi.Method;
import com.sun.jdi.ThreadReference;
import com.sun.jdi.VirtualMachine;
import com.sun.jdi.connect.Connector;
import com.sun.jdi.connect.ListeningConnector;
import com.sun.jdi.event.BreakpointEvent;
import com.sun.jdi.event.ClassPrepareEvent;
import com.sun.jdi.event.Event;
import com.sun.jdi.event.EventSet;
import com.sun.jdi.event.LocatableEvent;
import com.sun.jdi.event.StepEvent;
import com.sun.jdi.request.BreakpointRequest;
import com.sun.jdi.request.ClassPrepareRequest;
import com.sun.jdi.request.EventRequest;
import com.sun.jdi.request.StepRequest;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A waiting thread uses no processor, wherever the thread that hands something to it is suspended.
 *
 * <p>A debugger suspends the other thread at each line of the hand-over, also in JDK classes, while the waits time out.
 */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class WaitingThreadTest {
  private static final long HOLD_NANOS = 30_000_000;
  /** Timeout of the waiting thread while the other is suspended, in microseconds; well below {@link #HOLD_NANOS}. */
  private static final long WAIT_TIMEOUT_MICROS = 4_000;

  private static final int RECORDINGS = 3;
  private static final long MAX_MILLIS_TO_LINE = 500;
  private static final int CONNECT_MILLIS = 30_000;

  private Process process;
  private VirtualMachine machine;
  private ThreadReference producer;
  private Path waiting;

  /** The core's thread used a processor for as long as a thread that added to its mailbox was suspended. */
  @Test
  void aTakerUsesNoProcessorWhileAPutStandsStill() throws Exception {
    waitsWithoutTheProcessor("mailbox");
  }

  /** The timer thread used a processor for as long as a thread that set a timer was suspended. */
  @Test
  void aWatchdogUsesNoProcessorWhileASetTimerStandsStill() throws Exception {
    waitsWithoutTheProcessor("watchdog");
  }

  private void waitsWithoutTheProcessor(String kind) throws Exception {
    start(kind);
    try {
      Set<Location> path = new LinkedHashSet<>();
      BreakpointRequest held = breakAt(held().location());
      for (int i = 0; i < RECORDINGS; i++) {
        path.addAll(record());
      }
      held.disable();
      ClassType program = (ClassType) held().declaringType();
      program.setValue(program.fieldByName("patience"), machine.mirrorOf(WAIT_TIMEOUT_MICROS));
      machine.resume();
      List<String> busy = new ArrayList<>();
      int holds = 0;
      for (Location line : path) {
        long used = holdAt(line);
        holds += used < 0 ? 0 : 1;
        if (used >= HOLD_NANOS / 2) {
          busy.add(line + " " + used / 1_000_000 + " ms");
        }
      }
      assertTrue(
          holds > path.size() / 2, holds + " of " + path.size() + " lines were come to: " + path);
      assertEquals(
          List.of(),
          busy,
          "processor of a thread that waits, in " + HOLD_NANOS / 1_000_000 + " ms");
    } finally {
      machine.dispose();
      process.destroyForcibly().waitFor();
    }
  }

  private void start(String kind) throws Exception {
    ListeningConnector connector = Bootstrap.virtualMachineManager().listeningConnectors().stream()
        .filter(c -> c.transport().name().equals("dt_socket"))
        .findFirst()
        .orElseThrow();
    Map<String, Connector.Argument> arguments = connector.defaultArguments();
    arguments.get("localAddress").setValue("127.0.0.1");
    arguments.get("port").setValue("0");
    arguments.get("timeout").setValue(String.valueOf(CONNECT_MILLIS));
    String address = connector.startListening(arguments);
    String port = address.substring(address.lastIndexOf(':') + 1);
    try {
      process = new ProcessBuilder(
              System.getProperty("java.home") + "/bin/java",
              "-agentlib:jdwp=transport=dt_socket,server=n,suspend=y,address=127.0.0.1:" + port,
              "-Xmx64m",
              "-cp",
              System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
              HeldProducer.class.getName(),
              kind)
          .redirectErrorStream(true)
          .redirectOutput(new File("/dev/null"))
          .start();
      machine = connector.accept(arguments);
    } finally {
      connector.stopListening(arguments);
    }
    ClassPrepareRequest loaded = machine.eventRequestManager().createClassPrepareRequest();
    loaded.addClassFilter(HeldProducer.class.getName());
    loaded.enable();
    ClassPrepareEvent event = next(ClassPrepareEvent.class, CONNECT_MILLIS);
    producer = event.thread();
  }

  private Method held() {
    return machine
        .classesByName(HeldProducer.class.getName())
        .get(0)
        .methodsByName("held")
        .get(0);
  }

  /** The lines that the producer executes in one hand-over, while the other thread waits. */
  private List<Location> record() throws InterruptedException {
    machine.resume();
    next(BreakpointEvent.class, CONNECT_MILLIS);
    StepRequest step = machine
        .eventRequestManager()
        .createStepRequest(producer, StepRequest.STEP_LINE, StepRequest.STEP_INTO);
    step.setSuspendPolicy(EventRequest.SUSPEND_EVENT_THREAD);
    step.enable();
    List<Location> lines = new ArrayList<>();
    do {
      producer.resume();
      lines.add(next(StepEvent.class, CONNECT_MILLIS).location());
    } while (!lines.get(lines.size() - 1).method().equals(held()));
    machine.eventRequestManager().deleteEventRequest(step);
    lines.removeIf(line -> line.declaringType().equals(held().declaringType()));
    return lines;
  }

  private BreakpointRequest breakAt(Location line) {
    BreakpointRequest request = machine.eventRequestManager().createBreakpointRequest(line);
    request.addThreadFilter(producer);
    request.setSuspendPolicy(EventRequest.SUSPEND_EVENT_THREAD);
    request.enable();
    return request;
  }

  /** Processor time of the waiting thread in nanoseconds while the producer is suspended there; -1 if it never is. */
  private long holdAt(Location line) throws Exception {
    BreakpointRequest request = breakAt(line);
    LocatableEvent stop = next(BreakpointEvent.class, MAX_MILLIS_TO_LINE);
    request.disable();
    if (stop == null) {
      return -1;
    }
    long[] from = processorTimes();
    long start = System.nanoTime();
    long[] to;
    // Time in which the thread waited for a processor does not count: the machine may be busy.
    do {
      Thread.sleep(2);
      to = processorTimes();
    } while (System.nanoTime() - start - (to[1] - from[1]) < HOLD_NANOS);
    producer.resume();
    return to[0] - from[0];
  }

  /** Nanoseconds for which the waiting thread had a processor, and waited for one, from the operating system. */
  private long[] processorTimes() throws IOException {
    if (waiting == null) {
      try (Stream<Path> tasks = Files.list(Path.of("/proc/" + process.pid() + "/task"))) {
        for (Path task : tasks.toList()) {
          if (Files.readString(task.resolve("comm")).startsWith("waiting")) {
            waiting = task.resolve("schedstat");
          }
        }
      }
    }
    String[] numbers = Files.readString(waiting).trim().split(" ");
    return new long[] {Long.parseLong(numbers[0]), Long.parseLong(numbers[1])};
  }

  /** The next event of the given type, null if none arrives in time; other events are resumed at once. */
  private <E extends Event> E next(Class<E> kind, long millis) throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    for (long left = millis; left > 0; left = (until - System.nanoTime()) / 1_000_000) {
      EventSet events = machine.eventQueue().remove(left);
      if (events == null) {
        continue;
      }
      for (Event event : events) {
        if (kind.isInstance(event)) {
          return kind.cast(event);
        }
      }
      events.resume();
    }
    return null;
  }
}
