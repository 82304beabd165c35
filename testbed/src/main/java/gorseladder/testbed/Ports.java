package gorseladder.testbed;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds loopback ports for programs that are restarted at the same address. The ports lie below the range from which
 * systems choose the ports of outgoing connections; otherwise such a connection could occupy the port when its owner
 * returns.
 */
public final class Ports {
  private static final int FIRST_PORT = 20_000;
  private static final int PORT_COUNT = 12_000;
  private static final int MAX_TRIES = 1_000;

  private Ports() {}

  /** Returns an address whose port is currently free for TCP and UDP. */
  public static InetSocketAddress free() throws IOException {
    InetAddress loopback = InetAddress.getByName("127.0.0.1");
    for (int i = 0; i < MAX_TRIES; i++) {
      int port = FIRST_PORT + ThreadLocalRandom.current().nextInt(PORT_COUNT);
      try (ServerSocket tcp = new ServerSocket(port, 1, loopback);
          DatagramSocket udp = new DatagramSocket(new InetSocketAddress(loopback, port))) {
        return new InetSocketAddress(loopback, port);
      } catch (java.net.BindException e) {
        continue;
      }
    }
    throw new IOException("no free port on loopback");
  }
}
