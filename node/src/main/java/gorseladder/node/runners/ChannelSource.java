package gorseladder.node.runners;

import java.io.IOException;
import java.nio.channels.SocketChannel;

/** Makes the channels of connections to runners. Any thread. */
public interface ChannelSource {
  /** A blocking channel that is not connected yet; it is the caller's to close. */
  SocketChannel open() throws IOException;
}
