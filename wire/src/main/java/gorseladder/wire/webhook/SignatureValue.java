package gorseladder.wire.webhook;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;
import java.util.Optional;

/**
 * One signature of a delivery as bytes, so that two base64 texts of one signature are equal (Standard Webhooks
 * specification, "Signature scheme"). Immutable; callers do not modify the bytes.
 *
 * @param version the scheme that made it
 * @param bytes the signature
 */
public record SignatureValue(Version version, byte[] bytes) {
  /** The schemes of the specification, with their prefix and the length of a signature in bytes. */
  public enum Version {
    HMAC_SHA256("v1", 32),
    ED25519("v1a", 64);

    private final String prefix;
    private final int length;

    Version(String prefix, int length) {
      this.prefix = prefix;
      this.length = length;
    }

    /** The text before the comma. */
    public String prefix() {
      return prefix;
    }
  }

  /** Parses one element of a signature header; empty if no key can have made it. */
  static Optional<SignatureValue> parse(String text) {
    for (Version version : Version.values()) {
      if (text.startsWith(version.prefix + ",")) {
        return decode(version, text.substring(version.prefix.length() + 1));
      }
    }
    return Optional.empty();
  }

  private static Optional<SignatureValue> decode(Version version, String base64) {
    try {
      byte[] bytes = Base64.getDecoder().decode(base64.getBytes(StandardCharsets.ISO_8859_1));
      return bytes.length == version.length
          ? Optional.of(new SignatureValue(version, bytes))
          : Optional.empty();
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof SignatureValue value
        && version == value.version
        && Arrays.equals(bytes, value.bytes);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(bytes);
  }
}
