package gorseladder.node.runners;

import java.io.IOException;
import java.nio.channels.SocketChannel;

/** Opens the channels of connections to runners. Thread safe. */
public interface ChannelSource {
  /** Returns a blocking channel that is not connected yet; the caller closes it. */
  SocketChannel open() throws IOException;
}
