package gorseladder.edge.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Datagrams may be malformed, duplicated or from strangers; messages of peers are still received. */
class PeerLinkTest {
  @Test
  void onlyWellFormedWordsOfPeersAreHeard() throws Exception {
    BlockingQueue<String> received = new ArrayBlockingQueue<>(100);
    InetSocketAddress anyPort = new InetSocketAddress("127.0.0.1", 0);
    try (DatagramSocket peer = new DatagramSocket(anyPort);
        DatagramSocket stranger = new DatagramSocket(anyPort);
        DatagramSocket reserved = new DatagramSocket(anyPort)) {
      InetSocketAddress address = new InetSocketAddress("127.0.0.1", reserved.getLocalPort());
      reserved.close();
      try (PeerLink link = new PeerLink(
          address,
          0,
          List.of((InetSocketAddress) peer.getLocalSocketAddress()),
          128 << 10,
          (sender, text) -> received.add(sender + " " + text))) {
        send(stranger, address, "GL1 3 sick w1");
        for (String malformed : new String[] {
          "",
          "GL1",
          "GL1 3",
          "GL1 x sick",
          "GL1 -1 sick",
          "GL2 3 sick",
          "\0\0\0",
          "GL1 99999999999 sick",
          "x".repeat(1500)
        }) {
          send(peer, address, malformed);
        }
        send(peer, address, "GL1 3 sick w2");
        send(peer, address, "GL1 3 sick w2");
        assertEquals("3 sick w2", received.poll(5, TimeUnit.SECONDS));
        assertEquals("3 sick w2", received.poll(5, TimeUnit.SECONDS));
        assertEquals(10, link.dropped());
        link.broadcast("hello");
        DatagramPacket packet = new DatagramPacket(new byte[100], 100);
        peer.setSoTimeout(5_000);
        peer.receive(packet);
        assertEquals(
            "GL1 0 hello",
            new String(packet.getData(), 0, packet.getLength(), StandardCharsets.UTF_8));
        link.broadcast("x".repeat(400));
        link.broadcast("after");
        peer.receive(packet);
        assertEquals(
            "GL1 0 after",
            new String(packet.getData(), 0, packet.getLength(), StandardCharsets.UTF_8));
      }
    }
  }

  private static void send(DatagramSocket from, InetSocketAddress to, String text)
      throws Exception {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    from.send(new DatagramPacket(bytes, bytes.length, to));
  }
}
