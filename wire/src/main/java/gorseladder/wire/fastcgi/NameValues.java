package gorseladder.wire.fastcgi;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Name-value pairs (FastCGI Specification 1.0, section 3.4): lengths of one byte, or of four with the high bit set. */
public final class NameValues {
  private NameValues() {}

  /**
   * Reads pairs. Every length is held against the bytes that are there before anything is made of it.
   *
   * @param mostPairs pairs at the most
   * @throws BadRecord where a length does not fit, a name stands twice or there are too many pairs
   */
  public static Map<String, String> read(byte[] bytes, int length, int mostPairs) throws BadRecord {
    Map<String, String> pairs = new LinkedHashMap<>();
    int[] at = {0};
    while (at[0] < length) {
      long nameLength = length(bytes, length, at);
      long valueLength = length(bytes, length, at);
      if (nameLength + valueLength > length - at[0]) {
        throw new BadRecord(
            "a pair of " + nameLength + " and " + valueLength + " bytes does not fit");
      }
      String name = new String(bytes, at[0], (int) nameLength, StandardCharsets.ISO_8859_1);
      String value = new String(
          bytes, at[0] + (int) nameLength, (int) valueLength, StandardCharsets.ISO_8859_1);
      at[0] += (int) (nameLength + valueLength);
      if (pairs.put(name, value) != null) {
        throw new BadRecord("a name stands twice");
      }
      if (pairs.size() > mostPairs) {
        throw new BadRecord("more than " + mostPairs + " pairs");
      }
    }
    return pairs;
  }

  private static long length(byte[] bytes, int end, int[] at) throws BadRecord {
    if (at[0] >= end) {
      throw new BadRecord("pairs end inside a length");
    }
    int first = bytes[at[0]] & 0xff;
    if (first < 0x80) {
      at[0]++;
      return first;
    }
    if (end - at[0] < 4) {
      throw new BadRecord("pairs end inside a length");
    }
    long value = first & 0x7f;
    for (int i = 1; i < 4; i++) {
      value = value << 8 | bytes[at[0] + i] & 0xff;
    }
    at[0] += 4;
    return value;
  }

  /** Writes pairs. */
  public static byte[] write(Map<String, String> pairs) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    pairs.forEach((name, value) -> {
      byte[] n = name.getBytes(StandardCharsets.ISO_8859_1);
      byte[] v = value.getBytes(StandardCharsets.ISO_8859_1);
      length(out, n.length);
      length(out, v.length);
      out.writeBytes(n);
      out.writeBytes(v);
    });
    return out.toByteArray();
  }

  private static void length(ByteArrayOutputStream out, int length) {
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
