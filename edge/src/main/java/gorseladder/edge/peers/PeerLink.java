package gorseladder.edge.peers;

import gorseladder.config.Address;
import gorseladder.runtime.Threads;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges messages with the other edges, one UDP datagram each: {@code GL1 ORDINAL TEXT}, with at most 256 bytes of
 * text. Messages may be lost, late or duplicated; the receiver must tolerate that. A datagram from an address that is
 * not a peer's, or of another form, is dropped and counted.
 */
public final class PeerLink implements AutoCloseable {
  /** Receives the messages of other edges, on the link's own thread. */
  public interface Listener {
    void messageReceived(int sender, String text);
  }

  private static final Logger LOG = LoggerFactory.getLogger(PeerLink.class);
  private static final String PREFIX = "GL1 ";
  private static final int MAX_TEXT_BYTES = 256;

  private final DatagramSocket socket;
  private final int ordinal;
  private final List<InetSocketAddress> peers;
  private final Listener listener;
  private volatile long dropped;

  /** Opens the socket and starts to receive. */
  public PeerLink(
      InetSocketAddress address,
      int ordinal,
      List<InetSocketAddress> peers,
      int stackBytes,
      Listener listener)
      throws IOException {
    this.socket = new DatagramSocket(address);
    this.ordinal = ordinal;
    this.peers = List.copyOf(peers);
    this.listener = listener;
    Threads.start("peers", stackBytes, this::receive);
  }

  /** Returns the number of datagrams dropped. */
  public long dropped() {
    return dropped;
  }

  /** Sends a message to every peer; a message that cannot be sent is lost. */
  public void broadcast(String text) {
    byte[] bytes = (PREFIX + ordinal + " " + text).getBytes(StandardCharsets.UTF_8);
    if (bytes.length > PREFIX.length() + 12 + MAX_TEXT_BYTES) {
      LOG.warn("a message of {} bytes to the other edges was not sent", bytes.length);
      return;
    }
    for (InetSocketAddress peer : peers) {
      try {
        socket.send(new DatagramPacket(bytes, bytes.length, peer));
      } catch (IOException e) {
        LOG.debug("cannot send a message to {}: {}", Address.print(peer), e.toString());
      }
    }
  }

  private void receive() {
    Set<InetSocketAddress> knownPeers = Set.copyOf(peers);
    byte[] buffer = new byte[1024];
    while (!socket.isClosed()) {
      DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
      try {
        socket.receive(packet);
        String text = new String(buffer, 0, packet.getLength(), StandardCharsets.UTF_8);
        int space = text.indexOf(' ', PREFIX.length());
        if (knownPeers.contains(packet.getSocketAddress())
            && text.startsWith(PREFIX)
            && space > 0
            && text.substring(PREFIX.length(), space).matches("[0-9]{1,6}")) {
          listener.messageReceived(
              Integer.parseInt(text.substring(PREFIX.length(), space)), text.substring(space + 1));
        } else {
          dropped++;
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
