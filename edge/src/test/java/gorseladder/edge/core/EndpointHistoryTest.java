package gorseladder.edge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.edge.core.EndpointHistory.Current;
import gorseladder.edge.core.EndpointLinks.KnownEndpoint;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests which messages of earlier settings are recognised, and which time stamps may have lost their records. */
class EndpointHistoryTest {
  private static final long SECOND = 1_000_000;
  private static final long START = 2_000_000_000L * SECOND;
  private static final long TOLERANCE_SECONDS = 300;
  private static final long KEEP_SECONDS = 1_000;
  private static final KnownEndpoint OLD = endpoint("/old", "office", "a");
  private static final KnownEndpoint RENAMED = endpoint("/new", "office", "b", "a");
  private static final KnownEndpoint OTHER = endpoint("/other", "guild", "a", "c");

  @TempDir
  Path dir;

  private static KnownEndpoint endpoint(String path, String tenant, String... secrets) {
    return new KnownEndpoint(path, tenant, Set.of(secrets));
  }

  private EndpointHistory open(
      long afterSeconds, long tolerance, long keep, KnownEndpoint... endpoints) throws IOException {
    return EndpointHistory.open(
        dir, new Current(List.of(endpoints), tolerance, keep), START + afterSeconds * SECOND);
  }

  private EndpointHistory open(long afterSeconds, KnownEndpoint... endpoints) throws IOException {
    return open(afterSeconds, TOLERANCE_SECONDS, KEEP_SECONDS, endpoints);
  }

  private static List<String> paths(EndpointHistory history, String path, String... verified) {
    return history.links().candidates(path, "m", Arrays.asList(verified)).stream()
        .map(MessageId::path)
        .toList();
  }

  @Test
  void aRenamedEndpointIsLinkedWithItsOldPathWhileMessagesOfThatAreKept() throws IOException {
    assertEquals(List.of("/old"), paths(open(0, OLD), "/old", "a"));
    assertEquals(List.of("/new", "/old"), paths(open(10, RENAMED), "/new", "b"));
    assertEquals(List.of("/new", "/old"), paths(open(1_009, RENAMED), "/new", "b"));
    assertEquals(List.of("/new"), paths(open(1_011, RENAMED), "/new", "b"));
  }

  @Test
  void messagesThatWereKeptForLongerBeforeStillCount() throws IOException {
    open(0, TOLERANCE_SECONDS, 9_000, OLD);
    open(10, OLD);
    open(20, RENAMED);
    assertEquals(List.of("/new", "/old"), paths(open(9_009, RENAMED), "/new", "b"));
    assertEquals(List.of("/new"), paths(open(9_011, RENAMED), "/new", "b"));
  }

  /** Only a holder of the shared secret can be the sender of another tenant's message. */
  @Test
  void anotherTenantIsLinkedOnlyForWhoSignsWithTheSharedSecret() throws IOException {
    EndpointHistory history = open(0, OLD, RENAMED, OTHER);
    assertEquals(List.of("/other", "/old", "/new"), paths(history, "/other", "a"));
    assertEquals(List.of("/other"), paths(history, "/other", "c"));
    assertEquals(List.of("/new", "/old"), paths(history, "/new", "b"));
  }

  /** A smaller tolerance of an earlier run kept its requests for a shorter time than a larger one accepts them. */
  @Test
  void aLargerToleranceAcceptsNothingThatAnEarlierRunMayHaveForgotten() throws IOException {
    assertEquals(0, open(0, 1, KEEP_SECONDS, OLD).requestsRecordedSince());
    long floor = open(10_000, 86_400, KEEP_SECONDS, OLD).requestsRecordedSince();
    assertEquals(START + (10_000 - 3_602) * SECOND, floor);
    assertEquals(floor, open(20_000, 86_400, KEEP_SECONDS, OLD).requestsRecordedSince());
    assertTrue(
        open(1, 86_400, KEEP_SECONDS, OLD).requestsRecordedSince() <= START - 3_599 * SECOND,
        "a clock that was set back must not stop all deliveries");
  }

  @Test
  void requestsAreKeptBeyondEveryTimeAtWhichTheyPassTheCheck() throws IOException {
    long hour = 3_600;
    assertTrue(open(0, OLD).requestKeepSeconds() >= TOLERANCE_SECONDS + hour);
    assertTrue(open(0, 86_400, KEEP_SECONDS, OLD).requestKeepSeconds() >= 86_400 + hour);
  }

  @Test
  void aDamagedFileIsNamedAndStaysAsItIs() throws IOException {
    open(0, OLD);
    Path file = dir.resolve("endpoints.txtpb");
    Files.writeString(file, "endpoint { path: ");
    IOException e = assertThrows(IOException.class, () -> open(1, OLD));
    assertTrue(e.getMessage().startsWith(file + " cannot be used: "), e.getMessage());
    assertEquals("endpoint { path: ", Files.readString(file));
  }
}
