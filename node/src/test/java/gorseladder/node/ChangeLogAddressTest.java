package gorseladder.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import gorseladder.platform.BadInput;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ChangeLogAddressTest {
  @TempDir
  Path dir;

  /** Prevents parsing the file at each check of the first second, when a dispatcher is busiest. */
  @Test
  void theSameTextIsNotParsedAgain() throws Exception {
    Path file = dir.resolve("config.json");
    ChangeLogAddress address = new ChangeLogAddress(file);
    assertThrows(BadInput.class, address::read);
    Files.writeString(file, "{\"changelog\":\"127.0.0.1:1\"}");
    InetSocketAddress first = address.read();
    assertEquals(1, first.getPort());
    assertSame(first, address.read());
    Files.writeString(file, "{\"changelog\":\"127.0.0.1:");
    assertThrows(BadInput.class, address::read);
    Files.writeString(file, "{\"changelog\":\"127.0.0.1:2\"}");
    assertEquals(2, address.read().getPort());
    assertNotSame(first, address.read());
  }
}
