package gorseladder.wire.webhook;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.MessageDigest;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.security.spec.PKCS8EncodedKeySpec;
import java.security.spec.X509EncodedKeySpec;
import java.util.Base64;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * A key that signs or checks webhooks, by the Standard Webhooks specification, "Signature scheme": symmetric
 * {@code whsec_} keys give {@code v1} signatures (HMAC-SHA256); asymmetric keys give {@code v1a} (Ed25519, RFC 8032),
 * with {@code whsk_} for the 32-byte private seed and {@code whpk_} for the 32-byte public key, all in base64.
 *
 * <p>Immutable; any thread. {@link #toString()} does not tell the key.
 */
public final class Secret {
  private static final int LEAST_BYTES = 24;
  private static final int MOST_BYTES = 64;
  private static final byte[] PKCS8_ED25519 = hex("302e020100300506032b657004220420");
  private static final byte[] X509_ED25519 = hex("302a300506032b6570032100");

  private final SecretKeySpec symmetric;
  private final PrivateKey signs;
  private final PublicKey checks;

  private Secret(SecretKeySpec symmetric, PrivateKey signs, PublicKey checks) {
    this.symmetric = symmetric;
    this.signs = signs;
    this.checks = checks;
  }

  /**
   * Reads a key in its printed form.
   *
   * @throws IllegalArgumentException with a reason that does not quote the key
   */
  public static Secret parse(String text) {
    try {
      if (text.startsWith("whsec_")) {
        byte[] key = Base64.getDecoder().decode(text.substring(6));
        if (key.length < LEAST_BYTES || key.length > MOST_BYTES) {
          throw new IllegalArgumentException(
              "a whsec_ key has " + LEAST_BYTES + " to " + MOST_BYTES + " bytes");
        }
        return new Secret(new SecretKeySpec(key, "HmacSHA256"), null, null);
      }
      if (text.startsWith("whsk_")) {
        byte[] der = join(PKCS8_ED25519, seed(text));
        return new Secret(
            null,
            KeyFactory.getInstance("Ed25519").generatePrivate(new PKCS8EncodedKeySpec(der)),
            null);
      }
      if (text.startsWith("whpk_")) {
        byte[] der = join(X509_ED25519, seed(text));
        return new Secret(
            null,
            null,
            KeyFactory.getInstance("Ed25519").generatePublic(new X509EncodedKeySpec(der)));
      }
    } catch (GeneralSecurityException e) {
      throw new IllegalArgumentException("not an Ed25519 key", e);
    }
    throw new IllegalArgumentException("a key begins with whsec_, whsk_ or whpk_");
  }

  private static byte[] seed(String text) {
    byte[] key = Base64.getDecoder().decode(text.substring(5));
    if (key.length != 32) {
      throw new IllegalArgumentException("an Ed25519 key has 32 bytes");
    }
    return key;
  }

  /** True where this key can check signatures. */
  public boolean canCheck() {
    return signs == null;
  }

  /** The signature with its version, for example {@code v1,K5oZ…}. */
  public String sign(String id, long timestamp, byte[] body) {
    byte[] content = content(id, timestamp, body);
    try {
      if (symmetric != null) {
        return "v1," + Base64.getEncoder().encodeToString(mac(content));
      }
      if (signs == null) {
        throw new IllegalStateException("a public key cannot sign");
      }
      Signature signature = Signature.getInstance("Ed25519");
      signature.initSign(signs);
      signature.update(content);
      return "v1a," + Base64.getEncoder().encodeToString(signature.sign());
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(e);
    }
  }

  /** True where one signature, with its version, is this key's over the message. Compares in constant time. */
  boolean matches(String versioned, byte[] content) {
    int comma = versioned.indexOf(',');
    if (comma < 0) {
      return false;
    }
    String version = versioned.substring(0, comma);
    byte[] given;
    try {
      given = Base64.getDecoder()
          .decode(versioned.substring(comma + 1).getBytes(StandardCharsets.ISO_8859_1));
    } catch (IllegalArgumentException e) {
      return false;
    }
    try {
      if (version.equals("v1") && symmetric != null) {
        return MessageDigest.isEqual(mac(content), given);
      }
      if (version.equals("v1a") && checks != null) {
        Signature signature = Signature.getInstance("Ed25519");
        signature.initVerify(checks);
        signature.update(content);
        return given.length == 64 && signature.verify(given);
      }
    } catch (GeneralSecurityException e) {
      return false;
    }
    return false;
  }

  private byte[] mac(byte[] content) throws GeneralSecurityException {
    Mac mac = Mac.getInstance("HmacSHA256");
    mac.init(symmetric);
    return mac.doFinal(content);
  }

  static byte[] content(String id, long timestamp, byte[] body) {
    return join((id + "." + timestamp + ".").getBytes(StandardCharsets.UTF_8), body);
  }

  private static byte[] join(byte[] a, byte[] b) {
    byte[] both = java.util.Arrays.copyOf(a, a.length + b.length);
    System.arraycopy(b, 0, both, a.length, b.length);
    return both;
  }

  private static byte[] hex(String text) {
    return java.util.HexFormat.of().parseHex(text);
  }

  @Override
  public String toString() {
    return symmetric != null ? "whsec_…" : signs != null ? "whsk_…" : "whpk_…";
  }
}
