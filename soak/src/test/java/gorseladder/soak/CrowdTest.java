package gorseladder.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.runtime.Clock;
import gorseladder.soak.Preload.Fault;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Crowds of clients at one dispatcher, and what the usual clients see of it. */
class CrowdTest {
  private static final int ALL = 1_000;
  /** What a stop leaves of the time to the earliest kill where only silent clients and half requests are left. */
  private static final long LEFT_MILLIS = 180;

  private static final Pattern STOPPED = Pattern.compile(" stops after ([0-9]+) ms");

  @TempDir
  Path dir;

  private OneDispatcher dispatcher;
  private final List<Socket> crowd = new ArrayList<>();

  @BeforeEach
  void start() throws Exception {
    dispatcher = new OneDispatcher(dir);
  }

  @AfterEach
  void close() throws IOException {
    dispatcher.close();
    for (Socket socket : crowd) {
      socket.close();
    }
  }

  private Socket join() throws IOException {
    Socket socket = new Socket();
    socket.connect(dispatcher.process.listen(), 1_000);
    crowd.add(socket);
    return socket;
  }

  /**
   * Incident-1: a crowd of clients that say nothing, and no thread can be started for seconds. What the usual clients
   * ask on their open connections and on new ones is answered in time by the threads that are there.
   */
  @Test
  void aCrowdWhileNoThreadCanBeStartedCostsNoAnswer() throws Exception {
    dispatcher.set(Fault.THREAD_RATE, ALL);
    for (int i = 0; i < 60; i++) {
      join();
      if (i % 20 == 19) {
        dispatcher.process.clients().reconnect();
        Thread.sleep(700);
      }
    }
    Thread.sleep(1_500);
    dispatcher.set(Fault.THREAD_RATE, 0);
    assertEquals(List.of(), dispatcher.judge(), dispatcher::said);
  }

  /**
   * Incident-1, plays 2 and 3: while no thread could be started the connections to runners took those of clients that
   * left and kept them, until what clients asked waited for seconds with nobody to read it.
   */
  @Test
  void idleConnectionsToRunnersGiveTheirThreadsToClientsThatAsk() throws Exception {
    dispatcher.close();
    dispatcher = new OneDispatcher(Files.createDirectory(dir.resolve("many")), 12);
    dispatcher.set(Fault.THREAD_RATE, ALL);
    dispatcher.runners.forEach(runner -> runner.slowerBy(100));
    for (int i = 0; i < 80; i++) {
      if (i < 60) {
        join();
      }
      dispatcher.process.clients().reconnect();
      Thread.sleep(50);
    }
    Thread.sleep(1_500);
    dispatcher.set(Fault.THREAD_RATE, 0);
    assertEquals(List.of(), dispatcher.judge(), dispatcher::said);
  }

  /** Clients that asked once and stay give their threads to those that ask. */
  @Test
  void clientsThatRestGiveTheirThreadsToClientsThatAsk() throws Exception {
    dispatcher.set(Fault.THREAD_RATE, ALL);
    for (int i = 0; i < 60; i++) {
      Crowd.askOnce(join());
      dispatcher.process.clients().reconnect();
      Thread.sleep(50);
    }
    Thread.sleep(1_000);
    dispatcher.set(Fault.THREAD_RATE, 0);
    assertEquals(List.of(), dispatcher.judge(), dispatcher::said);
  }

  /**
   * While no thread can be started, calls whose runner has no connection were refused unsent within milliseconds (49 of
   * 166 here), though connections that carried nothing held threads and gave them up a moment later.
   */
  @Test
  void aCallWhoseRunnerHasNoConnectionWaitsForAThread() throws Exception {
    dispatcher.close();
    dispatcher = new OneDispatcher(Files.createDirectory(dir.resolve("many")), 12);
    dispatcher.set(Fault.THREAD_RATE, ALL);
    dispatcher.runners.forEach(runner -> runner.slowerBy(100));
    long since = Clock.micros();
    for (int i = 0; i < 80; i++) {
      Crowd.askOnce(join());
      if (i % 5 == 0) {
        dispatcher.runners.forEach(runner -> runner.proxy().resetAll());
      }
      dispatcher.process.clients().reconnect();
      Thread.sleep(50);
    }
    Thread.sleep(1_500);
    dispatcher.set(Fault.THREAD_RATE, 0);
    assertEquals(List.of(), dispatcher.judge(), dispatcher::said);
    List<Evidence.Asked> asked =
        dispatcher.evidence.requests().stream().filter(r -> r.sentAt > since).toList();
    long refused = asked.stream()
        .filter(r -> r.refused() && dispatcher.evidence.attempts(r.id).isEmpty())
        .count();
    assertEquals(0, refused, () -> "refused unsent, of " + asked.size());
  }

  /** 190 connections, under a third of the descriptors told, each with 32 requests whose body lacks its end. */
  @Test
  void halfSentRequestsOfACrowdCostNoOtherClientItsAnswer() throws Exception {
    for (int i = 0; i < 190; i++) {
      Crowd.sendHalves(join());
    }
    for (int i = 0; i < 40; i++) {
      crowd.remove(0).close();
      Crowd.sendHalves(join());
      Thread.sleep(50);
    }
    Thread.sleep(1_500);
    dispatcher.process.stop(0);
    assertEquals(List.of(), dispatcher.judge(), dispatcher::said);
  }

  /**
   * A dispatcher whose clients stay, silent or with half requests, had not ended at the earliest kill: its stop waited
   * for them until 150 ms before, and on a busy machine the end of a process takes longer.
   */
  @Test
  void aStopWaitsForNoClientThatIsOwedNothing() throws Exception {
    for (int i = 0; i < 20; i++) {
      join();
      Crowd.sendHalves(join());
    }
    dispatcher.process.stop(0);
    Matcher stopped = STOPPED.matcher(dispatcher.said());
    assertTrue(stopped.find(), dispatcher::said);
    long kill = (SoakConfig.LONGEST_DEADLINE + SoakConfig.KILL_MARGIN) / 1_000;
    long left = kill - Long.parseLong(stopped.group(1));
    assertTrue(left >= LEFT_MILLIS, "only " + left + " ms were left");
    assertEquals(List.of(), dispatcher.judge(), dispatcher::said);
  }

  /**
   * Soak seed 931: a crowd came while the process stood still, and new connections of usual clients behind it. They
   * were accepted long after the process went on, and their requests counted as new then.
   */
  @Test
  void whatCameBehindACrowdDuringAPauseCountsFromThePause() throws Exception {
    for (int round = 0; round < 3; round++) {
      long from = Clock.micros();
      dispatcher.process.signal("STOP");
      for (int i = 0; i < 500; i++) {
        join().close();
      }
      dispatcher.process.clients().reconnect();
      Thread.sleep(900);
      dispatcher.process.signal("CONT");
      dispatcher.evidence.pause(0, new Evidence.Span(from, Clock.micros()));
      Thread.sleep(1_000);
    }
    assertEquals(List.of(), dispatcher.judge(), dispatcher::said);
  }
}
