package gorseladder.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gorseladder.soak.Preload.Fault;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Crowds of clients at one dispatcher, and what the usual clients see of it. */
class CrowdTest {
  private static final int ALL = 1_000;

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
}
