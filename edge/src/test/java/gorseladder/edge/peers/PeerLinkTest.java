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

/** Datagrams may be malformed, doubled or from strangers; what peers say still comes through. */
class PeerLinkTest {
  @Test
  void onlyWellFormedWordsOfPeersAreHeard() throws Exception {
    BlockingQueue<String> heard = new ArrayBlockingQueue<>(100);
    InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
    try (DatagramSocket peer = new DatagramSocket(any);
        DatagramSocket stranger = new DatagramSocket(any);
        DatagramSocket taken = new DatagramSocket(any)) {
      InetSocketAddress at = new InetSocketAddress("127.0.0.1", taken.getLocalPort());
      taken.close();
      try (PeerLink link = new PeerLink(
          at,
          0,
          List.of((InetSocketAddress) peer.getLocalSocketAddress()),
          128 << 10,
          (sender, text) -> heard.add(sender + " " + text))) {
        send(stranger, at, "GL1 3 sick w1");
        for (String bad : new String[] {
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
          send(peer, at, bad);
        }
        send(peer, at, "GL1 3 sick w2");
        send(peer, at, "GL1 3 sick w2");
        assertEquals("3 sick w2", heard.poll(5, TimeUnit.SECONDS));
        assertEquals("3 sick w2", heard.poll(5, TimeUnit.SECONDS));
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
