package gorseladder.node;

import gorseladder.platform.BadInput;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/**
 * Runs one dispatcher of the platform until it is told to stop: SIGTERM stops it in order, SIGHUP has it read its
 * configuration again. Signals are handled from the first moment on, since the machine's own way would end the process.
 */
public final class NodeMain {
  /** Exit codes. */
  public static final int OK = 0;

  public static final int CANNOT_START = 3;

  private NodeMain() {}

  /** Runs until SIGTERM or SIGINT and returns the exit code; one line on standard error where it cannot start. */
  public static int run() throws InterruptedException {
    // Read by the logging's configuration: what the dispatcher says is seldom and worth
    // keeping.
    if (System.getProperty("gorseladder.log.level") == null) {
      System.setProperty("gorseladder.log.level", "INFO");
    }
    CountDownLatch stop = new CountDownLatch(1);
    AtomicReference<Node> running = new AtomicReference<>();
    AtomicBoolean early = new AtomicBoolean();
    Signal.handle(new Signal("HUP"), signal -> {
      early.set(true);
      reload(running.get());
    });
    Signal.handle(new Signal("TERM"), signal -> stop.countDown());
    Signal.handle(new Signal("INT"), signal -> stop.countDown());
    try (Node node = new Node(NodeConfig.read(System.getenv()))) {
      running.set(node);
      if (early.get()) {
        // Replaced while it started: the file may have been read before that.
        reload(node);
      }
      stop.await();
      node.stop();
      return OK;
    } catch (BadInput | IOException e) {
      System.err.println("gorseladder: " + e.getMessage());
      return CANNOT_START;
    }
  }

  private static void reload(Node node) {
    Logger log = LoggerFactory.getLogger(NodeMain.class);
    try {
      InetSocketAddress address = NodeConfig.changeLog(System.getenv());
      if (node != null) {
        node.changeLogAt(address);
      }
      log.info("configuration read again: change log at {}", address);
    } catch (BadInput e) {
      log.warn("the configuration stays as it was: {}", e.getMessage());
    }
  }
}
