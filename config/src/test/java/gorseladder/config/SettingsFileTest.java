package gorseladder.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsFileTest {
  private static final String GOOD = """
      listen: "127.0.0.1:0"
      data_directory: "d"
      request_class { name: "safe" effect: SAFE aim_ms: 100 deadline_ms: 300 }
      endpoint {
        path: "/hooks"
        secret: "s"
        route { type: "t" request_class: "safe" }
      }
      worker_list { address: "127.0.0.1:8500" }
      """;

  @TempDir
  Path dir;

  private List<Fault> faults(String text) throws IOException {
    Path file = dir.resolve("edge.txtpb");
    Files.writeString(file, text);
    return SettingsFile.load(file, s -> {
          if (s.equals("bad")) {
            throw new IllegalArgumentException("no key");
          }
          return s;
        })
        .faults();
  }

  @Test
  void goodSettingsHaveNoFault() throws IOException {
    assertEquals(List.of(), faults(GOOD));
  }

  @Test
  void everyFaultIsNamedAtOnceWithItsLine() throws IOException {
    String text = GOOD.replace("deadline_ms: 300", "deadline_ms: 30")
            .replace("\"s\"", "\"bad\"")
            .replace("request_class: \"safe\"", "request_class: \"sfae\"")
        + "allow_network: \"300.1.1.0/24\"\nedges: 0\n";
    List<String> found =
        faults(text).stream().map(f -> f.line() + " " + f.field()).toList();
    assertEquals(
        List.of(
            "3 request_class[0].deadline_ms",
            "6 endpoint[0].secret[0]",
            "7 endpoint[0].route[0].request_class",
            "10 allow_network[0]",
            "11 edges"),
        found);
  }

  @Test
  void unknownFieldsAndBrokenSyntaxNameTheirLine() throws IOException {
    assertTrue(faults("listen: \"127.0.0.1:0\"\nlisen: 3\n").stream()
        .anyMatch(f -> f.line() == 2 && f.field().equals("lisen")));
    assertEquals(1, faults("listen \"x").get(0).line());
    assertTrue(
        faults("").stream().anyMatch(f -> f.field().equals("data_directory") && f.line() == 0));
  }

  /** An unknown field, at the top level or nested, hides no fault of the other fields. */
  @Test
  void whatStandsBehindAnUnknownFieldIsCheckedToo() throws IOException {
    String text = GOOD.replace("deadline_ms: 300", "deadline_ms: 30 dedline_ms: 3")
        + "limitz { }\nedges: 0\n";
    List<String> found = faults(text).stream()
        .map(f -> f.line() + " " + f.field() + ": " + f.reason())
        .toList();
    assertEquals("3 RequestClass.dedline_ms: there is no such field", found.get(0));
    assertTrue(found.get(1).startsWith("3 request_class[0].deadline_ms: "), found.toString());
    assertEquals("10 limitz: there is no such field", found.get(2));
    assertTrue(found.get(3).startsWith("11 edges: "), found.toString());
    assertEquals(4, found.size());
  }

  /** An event that is posted at two endpoints with one secret runs once only, which may not be meant. */
  @Test
  void aSecretThatTwoEndpointsShareIsWarnedOf() throws IOException {
    Path file = dir.resolve("edge.txtpb");
    String second = """
        endpoint {
          path: "/v2/hooks"
          secret: "own"
          secret: "S"
          route { type: "t" request_class: "safe" }
        }
        """;
    Files.writeString(file, GOOD + second);
    SettingsFile loaded = SettingsFile.load(file, String::toLowerCase);
    assertEquals(List.of(), loaded.faults());
    assertEquals(1, loaded.warnings().size());
    String warning = loaded.warnings().get(0).toString();
    assertTrue(warning.contains(":13: endpoint[1].secret[1]: warning: /v2/hooks "), warning);
    assertTrue(warning.contains(" with /hooks (line 6, endpoint[0].secret[0])"), warning);
  }

  @Test
  void anUnreadableFileIsOneFault() {
    assertEquals(1, SettingsFile.load(dir.resolve("none"), s -> s).faults().size());
  }

  @Test
  void networksOfBothFamilies() throws Exception {
    Networks set = new Networks(List.of("10.1.0.0/16", "192.0.2.7", "2001:db8::/32"));
    assertTrue(set.contains(InetAddress.getByName("10.1.255.3")));
    assertTrue(set.contains(InetAddress.getByName("192.0.2.7")));
    assertTrue(set.contains(InetAddress.getByName("2001:db8:1::5")));
    assertFalse(set.contains(InetAddress.getByName("10.2.0.1")));
    assertFalse(set.contains(InetAddress.getByName("192.0.2.8")));
    assertFalse(set.contains(InetAddress.getByName("2001:db9::1")));
    assertTrue(new Networks(List.of()).contains(InetAddress.getByName("203.0.113.1")));
    assertThrows(IllegalArgumentException.class, () -> new Networks(List.of("10.0.0.0/33")));
  }

  @Test
  void addressesAreNumeric() {
    assertEquals(
        "[::1]:80", Address.print(Address.parse("[::1]:80")).replace("0:0:0:0:0:0:0:1", "::1"));
    assertThrows(IllegalArgumentException.class, () -> Address.parse("localhost:80"));
    assertThrows(IllegalArgumentException.class, () -> Address.parse("127.0.0.1"));
  }
}
