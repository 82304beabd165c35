package gorseladder.node;

import gorseladder.platform.BadInput;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;

/**
 * The change log's address as the configuration file names it. The file is read at each look for a while, and its text
 * mostly stands as it was: the same text is not parsed again. For one thread.
 */
final class ChangeLogAddress {
  private final Path file;
  private byte[] content;
  private InetSocketAddress address;

  ChangeLogAddress(Path file) {
    this.file = file;
  }

  /**
   * Reads it.
   *
   * @throws BadInput where the file cannot be read or names no address
   */
  InetSocketAddress read() {
    byte[] current = readFile();
    if (!Arrays.equals(current, content)) {
      address = NodeConfig.readChangeLog(file, current);
      content = current;
    }
    return address;
  }

  private byte[] readFile() {
    try {
      return Files.readAllBytes(file);
    } catch (IOException e) {
      throw NodeConfig.cannotRead(e);
    }
  }
}
