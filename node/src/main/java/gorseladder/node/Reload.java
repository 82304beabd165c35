package gorseladder.node;

import gorseladder.platform.BadInput;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the configuration again, one reload after the other: each signal is handled on a thread of its own, and what was read
 * earlier must not be applied later. A reload that is asked for after the file was replaced reads the replaced file, and none
 * that began before it is applied after it. Any thread; a reload blocks while another one is under way.
 */
final class Reload {
  private static final Logger LOG = LoggerFactory.getLogger(Reload.class);

  private final Supplier<InetSocketAddress> reader;
  private Consumer<InetSocketAddress> follower;
  private boolean asked;

  /** Reloads by that reader, which throws {@link BadInput} where the file cannot be used. */
  Reload(Supplier<InetSocketAddress> reader) {
    this.reader = reader;
  }

  /** A new configuration is there. Before {@link #appliesTo} it is only noted. */
  synchronized void ask() {
    asked = true;
    if (follower == null) {
      return;
    }
    try {
      InetSocketAddress address = reader.get();
      follower.accept(address);
      LOG.info("configuration read again: change log at {}", address);
    } catch (BadInput e) {
      LOG.warn("the configuration stays as it was: {}", e.getMessage());
    }
  }

  /** Names who is told of the change log's address; what was asked for by then is done at once. */
  synchronized void appliesTo(Consumer<InetSocketAddress> told) {
    follower = told;
    if (asked) {
      ask();
    }
  }
}
