package gorseladder.node;

import gorseladder.platform.BadInput;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
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

  /** The dispatcher as a process, without the command line around it. */
  public static void main(String[] args) throws InterruptedException {
    System.exit(run());
  }

  /** Runs until SIGTERM or SIGINT and returns the exit code; one line on standard error where it cannot start. */
  public static int run() throws InterruptedException {
    // Read by the logging's configuration: what the dispatcher says is seldom and worth
    // keeping.
    if (System.getProperty("gorseladder.log.level") == null) {
      System.setProperty("gorseladder.log.level", "INFO");
    }
    CountDownLatch stop = new CountDownLatch(1);
    Reload reload = new Reload(() -> NodeConfig.changeLog(System.getenv()));
    Signal.handle(new Signal("HUP"), signal -> reload.ask());
    Signal.handle(new Signal("TERM"), signal -> stop.countDown());
    Signal.handle(new Signal("INT"), signal -> stop.countDown());
    try (Node node = new Node(NodeConfig.read(System.getenv()))) {
      // Where it was replaced during the start, the file may have been read before that.
      reload.appliesTo(node::changeLogAt);
      stop.await();
      node.stop();
      return OK;
    } catch (BadInput | IOException e) {
      System.err.println("gorseladder: " + e.getMessage());
      return CANNOT_START;
    }
  }
}
