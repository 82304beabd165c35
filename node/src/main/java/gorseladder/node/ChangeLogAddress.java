package gorseladder.node;

import gorseladder.platform.BadInput;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;

/**
 * Reads the address of the change log from the configuration file. The file is read often after a change and mostly has
 * the same content, which is then not parsed again. Not thread safe.
 */
final class ChangeLogAddress {
  private final Path file;
  private byte[] content;
  private InetSocketAddress address;

  ChangeLogAddress(Path file) {
    this.file = file;
  }

  /**
   * Reads the address.
   *
   * @throws BadInput if the file cannot be read or has no valid address
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
