package gorseladder.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.config.SettingsFile;
import gorseladder.runtime.Clock;
import gorseladder.runtime.HttpConnection;
import gorseladder.wire.http1.HeadWriter;
import gorseladder.wire.http1.HttpLimits;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks and starts the example of the README, with a port and a directory of its own. */
class ExampleTest {
  @TempDir
  Path dir;

  @Test
  void theExampleIsGoodAndStarts() throws Exception {
    Path example = Path.of("..", "examples", "edge.txtpb");
    assertEquals(List.of(), Edge.load(example).faults());
    String text = Files.readString(example);
    String ownText = text.replace("127.0.0.1:8080", "127.0.0.1:0")
        .replace("/var/lib/gorseladder/edge-0", dir.resolve("data").toString());
    assertTrue(ownText.contains(dir.toString()) && !ownText.contains("8080"));
    SettingsFile settings = Edge.load(Files.writeString(dir.resolve("edge.txtpb"), ownText));
    assertEquals(List.of(), settings.faults());
    try (Edge edge = new Edge(settings.settings());
        HttpConnection c = HttpConnection.open(edge.address(), 2_000, HttpLimits.INTERNAL)) {
      c.write(HeadWriter.request("POST", "/hooks/office", "edge").with(new byte[] {'{', '}'}));
      assertEquals(401, c.readResponse(Clock.micros() + 10_000_000).status());
    }
  }
}
