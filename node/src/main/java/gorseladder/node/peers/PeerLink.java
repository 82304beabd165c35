package gorseladder.node.peers;

import gorseladder.runtime.Threads;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges datagrams between the dispatchers of a tier (section "Between dispatchers" of the platform's protocol). A
 * datagram holds only the router's text of at most {@value #MAX_MESSAGE_BYTES} bytes; the sender is identified by its
 * address. Datagrams may be lost, late or repeated. One from an address that is not a peer is dropped.
 */
public final class PeerLink implements AutoCloseable {
  private static final int MAX_MESSAGE_BYTES = 256;
  private static final Logger LOG = LoggerFactory.getLogger(PeerLink.class);

  /** Receives messages of other dispatchers, on the thread of the link. */
  public interface Listener {
    void messageReceived(int sender, String text);
  }

  private final DatagramSocket socket;
  private final InetSocketAddress all;
  private final Map<InetSocketAddress, Integer> senders = new HashMap<>();
  private final int ordinal;
  private final Listener listener;

  /**
   * Opens the socket and starts receiving.
   *
   * @param peers addresses in the order of the dispatchers' numbers, including this one
   * @param all the address that reaches all dispatchers
   * @param ordinal number of this dispatcher
   */
  public PeerLink(
      InetSocketAddress at,
      List<InetSocketAddress> peers,
      InetSocketAddress all,
      int ordinal,
      int stackBytes,
      Listener listener)
      throws IOException {
    this.socket = new DatagramSocket(at);
    this.all = all;
    this.ordinal = ordinal;
    this.listener = listener;
    for (int i = 0; i < peers.size(); i++) {
      senders.put(peers.get(i), i);
    }
    Threads.start("peers", stackBytes, this::receive);
  }

  /** Sends to all other dispatchers; a text that is too long is not sent. */
  public void send(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    if (bytes.length > MAX_MESSAGE_BYTES) {
      LOG.warn("a message of {} bytes to the other dispatchers was not sent", bytes.length);
      return;
    }
    try {
      socket.send(new DatagramPacket(bytes, bytes.length, all));
    } catch (IOException e) {
      LOG.debug("no message to the other dispatchers: {}", e.toString());
    }
  }

  private void receive() {
    byte[] buffer = new byte[2 * MAX_MESSAGE_BYTES];
    while (!socket.isClosed()) {
      DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
      try {
        socket.receive(packet);
        Integer sender = senders.get((InetSocketAddress) packet.getSocketAddress());
        if (sender != null && sender != ordinal && packet.getLength() <= MAX_MESSAGE_BYTES) {
          listener.messageReceived(
              sender, new String(buffer, 0, packet.getLength(), StandardCharsets.UTF_8));
        }
      } catch (IOException | RuntimeException | Error e) {
        if (!socket.isClosed()) {
          LOG.debug("a datagram was lost: {}", e.toString());
        }
      }
    }
  }

  @Override
  public void close() {
    socket.close();
  }
}
