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
 * Datagrams between the dispatchers of a tier ("Between dispatchers" of the platform's protocol): the router's text
 * alone, {@value #MAX_MESSAGE_BYTES} bytes at the most; the sender is known by its address. They may be lost, late or
 * doubled. A datagram from an address that is no peer is dropped.
 */
public final class PeerLink implements AutoCloseable {
  private static final int MAX_MESSAGE_BYTES = 256;
  private static final Logger LOG = LoggerFactory.getLogger(PeerLink.class);

  /** Hears what other dispatchers say; on the link's own thread. */
  public interface Listener {
    void messageReceived(int sender, String text);
  }

  private final DatagramSocket socket;
  private final InetSocketAddress all;
  private final Map<InetSocketAddress, Integer> senders = new HashMap<>();
  private final int ordinal;
  private final Listener listener;

  /** Opens the socket and begins to hear; {@code peers} stand in the order of their numbers, this one included. */
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

  /** Sends to every other dispatcher; a text that is too long never leaves. */
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
