package gorseladder.store;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.zip.CRC32C;

/** Checksum and digest functions. Thread-safe. */
public final class Digests {
  private static final ThreadLocal<MessageDigest> SHA256 = ThreadLocal.withInitial(Digests::sha256);

  private Digests() {}

  /** CRC-32C of {@code count} bytes starting at index {@code from}. */
  public static int crc32c(byte[] bytes, int from, int count) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, from, count);
    return (int) crc.getValue();
  }

  /** Returns the SHA-256 digest of all parts, one after the other. */
  public static byte[] sha256(byte[]... parts) {
    MessageDigest sha = SHA256.get();
    for (byte[] part : parts) {
      sha.update(part);
    }
    return sha.digest();
  }

  /** Returns a new SHA-256 digest, which every Java platform provides. */
  public static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }
}
