package gorseladder.wire.fastcgi;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Codec for name-value pairs (FastCGI Specification 1.0, section 3.4). Lengths take one byte, or four with the high bit
 * set.
 */
public final class NameValues {
  private NameValues() {}

  /**
   * Decodes pairs. Each length is checked against the bytes available before anything is allocated.
   *
   * @param length number of bytes to decode
   * @throws BadRecord if a length exceeds the bytes available, a name is repeated or there are too many pairs
   */
  public static Map<String, String> read(byte[] bytes, int length, int maxPairs) throws BadRecord {
    return read(bytes, length, maxPairs, name -> true);
  }

  /**
   * Decodes pairs and returns those with a wanted name. All pairs are checked; the others take no memory afterwards.
   *
   * @param length number of bytes to decode
   * @throws BadRecord if a length exceeds the bytes available, a name is repeated or there are too many pairs
   */
  public static Map<String, String> read(
      byte[] bytes, int length, int maxPairs, Predicate<String> wanted) throws BadRecord {
    Map<String, String> pairs = new LinkedHashMap<>();
    Set<String> names = new HashSet<>();
    int[] position = {0};
    while (position[0] < length) {
      long nameLength = readLength(bytes, length, position);
      long valueLength = readLength(bytes, length, position);
      if (nameLength + valueLength > length - position[0]) {
        throw new BadRecord("a pair of " + nameLength + " and " + valueLength
            + " bytes exceeds the bytes available");
      }
      String name = new String(bytes, position[0], (int) nameLength, StandardCharsets.ISO_8859_1);
      int valueFrom = position[0] + (int) nameLength;
      position[0] += (int) (nameLength + valueLength);
      if (!names.add(name)) {
        throw new BadRecord("a name is repeated");
      }
      if (names.size() > maxPairs) {
        throw new BadRecord("more than " + maxPairs + " pairs");
      }
      if (wanted.test(name)) {
        pairs.put(
            name, new String(bytes, valueFrom, (int) valueLength, StandardCharsets.ISO_8859_1));
      }
    }
    return pairs;
  }

  private static long readLength(byte[] bytes, int end, int[] position) throws BadRecord {
    if (position[0] >= end) {
      throw new BadRecord("pairs end inside a length");
    }
    int first = bytes[position[0]] & 0xff;
    if (first < 0x80) {
      position[0]++;
      return first;
    }
    if (end - position[0] < 4) {
      throw new BadRecord("pairs end inside a length");
    }
    long value = first & 0x7f;
    for (int i = 1; i < 4; i++) {
      value = value << 8 | bytes[position[0] + i] & 0xff;
    }
    position[0] += 4;
    return value;
  }

  public static byte[] write(Map<String, String> pairs) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    pairs.forEach((name, value) -> {
      byte[] n = name.getBytes(StandardCharsets.ISO_8859_1);
      byte[] v = value.getBytes(StandardCharsets.ISO_8859_1);
      writeLength(out, n.length);
      writeLength(out, v.length);
      out.writeBytes(n);
      out.writeBytes(v);
    });
    return out.toByteArray();
  }

  private static void writeLength(ByteArrayOutputStream out, int length) {
    if (length < 0x80) {
      out.write(length);
    } else {
      out.write(length >>> 24 | 0x80);
      out.write(length >>> 16);
      out.write(length >>> 8);
      out.write(length);
    }
  }
}
