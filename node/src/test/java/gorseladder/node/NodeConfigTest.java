package gorseladder.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

class NodeConfigTest {
  private static final Pattern ADDRESS_PATTERN =
      Pattern.compile("([0-9.]{7,15}|\\[[0-9a-fA-F:.]{2,45}\\]):([0-9]{1,5})", Pattern.DOTALL);
  private static final String CHARACTERS = "0123456789.:[]afAFgG- ";
  private static final List<String> ADDRESSES = List.of(
      "127.0.0.1:1",
      "127.0.0.1:65535",
      "127.0.0.1:65536",
      "127.0.0.1:000080",
      "127.0.0.1:",
      "127.0.0.1",
      ":80",
      "",
      "255.255.255.255:99999",
      "1.1.1.1:-1",
      "1.1.1.1:+1",
      "1.1.1.1:\u0661",
      "[::1]:80",
      "[::]:80",
      "[]:80",
      "[:80",
      "[::1:80",
      "::1]:80",
      "[fe80::1%eth0]:80",
      "[1111:2222:3333:4444:5555:6666:123.123.123.123]:5",
      "localhost:80",
      "127.0.0.1 :80",
      "127.0.0.1:80 ");

  /**
   * A host name must never be resolved, because no name server may exist, and a port out of range must be a clear
   * error.
   */
  @Test
  void onlyNumericAddressesAndPortsAreTaken() {
    ADDRESSES.forEach(NodeConfigTest::assertMatchesPattern);
    Random random = new Random(1);
    for (int i = 0; i < 20_000; i++) {
      StringBuilder text = new StringBuilder(ADDRESSES.get(random.nextInt(ADDRESSES.size())));
      int at = random.nextInt(text.length() + 1);
      int end = Math.min(text.length(), at + random.nextInt(3));
      int character = random.nextInt(CHARACTERS.length());
      text.replace(at, end, CHARACTERS.substring(character, character + 1));
      assertMatchesPattern(text.toString());
    }
  }

  private static void assertMatchesPattern(String text) {
    Matcher matcher = ADDRESS_PATTERN.matcher(text);
    boolean expected = matcher.matches() && Integer.parseInt(matcher.group(2)) <= 65_535;
    assertEquals(expected, NodeConfig.isAddress(text), text);
  }
}
