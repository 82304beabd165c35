package review;

import java.net.ServerSocket;
import java.net.Socket;

/** Daemon threads of the stand-ins. */
final class Threads {
  private Threads() {}

  interface Task {
    void run() throws Exception;
  }

  interface Service {
    void serve(Socket socket) throws Exception;
  }

  static Thread start(Task task) {
    Thread thread = new Thread(() -> {
      try {
        task.run();
      } catch (java.io.IOException e) {
        // The other side has ended the connection.
      } catch (Exception e) {
        e.printStackTrace();
      }
    });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** Serves each connection on a thread of its own. */
  static void serve(ServerSocket server, Service service) throws Exception {
    while (true) {
      Socket socket = server.accept();
      socket.setTcpNoDelay(true);
      start(() -> {
        try (socket) {
          service.serve(socket);
        }
      });
    }
  }

  static void sleep(double millis) throws InterruptedException {
    if (millis > 0) {
      Thread.sleep((long) millis);
    }
  }
}
