package gorseladder.store;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.zip.CRC32C;

/** Checksums of what is written and digests of names. Any thread. */
public final class Digests {
  private Digests() {}

  /** CRC-32C of a part of the bytes. */
  public static int crc32c(byte[] bytes, int from, int count) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, from, count);
    return (int) crc.getValue();
  }

  /** A fresh SHA-256, which every Java has. */
  public static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }
}
