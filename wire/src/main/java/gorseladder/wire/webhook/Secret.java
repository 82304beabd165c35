package gorseladder.wire.webhook;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.MessageDigest;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.security.SignatureException;
import java.security.spec.PKCS8EncodedKeySpec;
import java.security.spec.X509EncodedKeySpec;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * A key that signs or verifies webhooks (Standard Webhooks specification, "Signature scheme"). Symmetric {@code whsec_}
 * keys make {@code v1} signatures (HMAC-SHA256). Asymmetric keys make {@code v1a} signatures (Ed25519, RFC 8032):
 * {@code whsk_} is the 32-byte private seed and {@code whpk_} the 32-byte public key. All keys are in base64.
 *
 * <p>Immutable and thread safe. {@link #toString()} does not disclose the key.
 */
public final class Secret {
  private static final int MIN_KEY_BYTES = 24;
  /** The block of HMAC-SHA256: longer keys would be replaced by their digest. */
  private static final int MAX_KEY_BYTES = 64;

  private static final int FINGERPRINT_BYTES = 16;
  private static final String HMAC = "HmacSHA256";
  /** ASN.1 encoding before the 32 key bytes of an Ed25519 key, private (PKCS #8) and public (X.509). */
  private static final byte[] PKCS8_ED25519_PREFIX = hex("302e020100300506032b657004220420");

  private static final byte[] X509_ED25519_PREFIX = hex("302a300506032b6570032100");

  private final SecretKeySpec symmetric;
  /** With the key and no content; only copies of it are used. Null without a symmetric key. */
  private final Mac preparedMac;

  private final PrivateKey privateKey;
  private final PublicKey publicKey;
  private final String fingerprint;

  private Secret(SecretKeySpec symmetric, PrivateKey privateKey, PublicKey publicKey)
      throws GeneralSecurityException {
    this.symmetric = symmetric;
    this.preparedMac = symmetric == null ? null : prepareMac(symmetric);
    this.privateKey = privateKey;
    this.publicKey = publicKey;
    this.fingerprint = computeFingerprint();
  }

  /**
   * Parses a key in its text form.
   *
   * @throws IllegalArgumentException if the key is invalid; the message does not contain the key
   */
  public static Secret parse(String text) {
    try {
      if (text.startsWith("whsec_")) {
        byte[] key = Base64.getDecoder().decode(text.substring(6));
        if (key.length < MIN_KEY_BYTES || key.length > MAX_KEY_BYTES) {
          throw new IllegalArgumentException(
              "a whsec_ key has " + MIN_KEY_BYTES + " to " + MAX_KEY_BYTES + " bytes");
        }
        return new Secret(new SecretKeySpec(key, HMAC), null, null);
      }
      if (text.startsWith("whsk_")) {
        byte[] der = join(PKCS8_ED25519_PREFIX, ed25519KeyBytes(text));
        return new Secret(
            null,
            KeyFactory.getInstance("Ed25519").generatePrivate(new PKCS8EncodedKeySpec(der)),
            null);
      }
      if (text.startsWith("whpk_")) {
        byte[] der = join(X509_ED25519_PREFIX, ed25519KeyBytes(text));
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

  private static byte[] ed25519KeyBytes(String text) {
    byte[] key = Base64.getDecoder().decode(text.substring(5));
    if (key.length != 32) {
      throw new IllegalArgumentException("an Ed25519 key has 32 bytes");
    }
    return key;
  }

  /** Returns true if this key can verify signatures: a {@code whsk_} key can only sign. */
  public boolean canCheck() {
    return privateKey == null;
  }

  /**
   * Returns the signature with its version, for example {@code v1,K5oZ…}.
   *
   * @param timestamp seconds since the Unix epoch
   * @throws IllegalStateException if this is a public key
   */
  public String sign(String id, long timestamp, byte[] body) {
    byte[] content = content(id, timestamp, body);
    try {
      if (symmetric != null) {
        return "v1," + Base64.getEncoder().encodeToString(mac(content));
      }
      if (privateKey == null) {
        throw new IllegalStateException("a public key cannot sign");
      }
      Signature signature = Signature.getInstance("Ed25519");
      signature.initSign(privateKey);
      signature.update(content);
      return "v1a," + Base64.getEncoder().encodeToString(signature.sign());
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Returns those signatures that were made with this key over the content. Compares in constant time.
   *
   * @param content see {@link #content}
   */
  List<SignatureValue> matching(List<SignatureValue> signatures, byte[] content) {
    try {
      return symmetric != null
          ? matchingMacs(signatures, content)
          : publicKey != null ? matchingEd25519(signatures, content) : List.of();
    } catch (GeneralSecurityException e) {
      return List.of();
    }
  }

  private List<SignatureValue> matchingMacs(List<SignatureValue> signatures, byte[] content)
      throws GeneralSecurityException {
    byte[] expected = mac(content);
    return signatures.stream()
        .filter(s -> s.version() == SignatureValue.Version.HMAC_SHA256)
        .filter(s -> MessageDigest.isEqual(expected, s.bytes()))
        .toList();
  }

  private List<SignatureValue> matchingEd25519(List<SignatureValue> signatures, byte[] content)
      throws GeneralSecurityException {
    List<SignatureValue> matching = new ArrayList<>(1);
    for (SignatureValue value : signatures) {
      if (value.version() == SignatureValue.Version.ED25519 && verifies(value, content)) {
        matching.add(value);
      }
    }
    return matching;
  }

  private boolean verifies(SignatureValue value, byte[] content) throws GeneralSecurityException {
    Signature verifier = Signature.getInstance("Ed25519");
    verifier.initVerify(publicKey);
    verifier.update(content);
    try {
      return verifier.verify(value.bytes());
    } catch (SignatureException e) {
      return false;
    }
  }

  /**
   * Returns a digest that is the same for all text forms of this key. Two symmetric keys that differ only in zero bytes
   * at their end have one fingerprint, since HMAC pads keys with them (RFC 2104 section 2), so that they make the same
   * signatures.
   */
  public String fingerprint() {
    return fingerprint;
  }

  private String computeFingerprint() {
    try {
      MessageDigest sha = MessageDigest.getInstance("SHA-256");
      byte[] key = symmetric != null
          ? Arrays.copyOf(symmetric.getEncoded(), MAX_KEY_BYTES)
          : (privateKey != null ? privateKey : publicKey).getEncoded();
      sha.update("gorseladder webhook key\0".getBytes(StandardCharsets.US_ASCII));
      return HexFormat.of().formatHex(sha.digest(key), 0, FINGERPRINT_BYTES);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Uses a copy of a prepared state, which costs a part of looking the algorithm up and preparing the key. */
  private byte[] mac(byte[] content) throws GeneralSecurityException {
    try {
      return ((Mac) preparedMac.clone()).doFinal(content);
    } catch (CloneNotSupportedException e) {
      return prepareMac(symmetric).doFinal(content);
    }
  }

  private static Mac prepareMac(SecretKeySpec key) throws GeneralSecurityException {
    Mac mac = Mac.getInstance(HMAC);
    mac.init(key);
    return mac;
  }

  /** Returns the bytes that are signed. */
  static byte[] content(String id, long timestamp, byte[] body) {
    return join((id + "." + timestamp + ".").getBytes(StandardCharsets.UTF_8), body);
  }

  private static byte[] join(byte[] a, byte[] b) {
    byte[] joined = Arrays.copyOf(a, a.length + b.length);
    System.arraycopy(b, 0, joined, a.length, b.length);
    return joined;
  }

  private static byte[] hex(String text) {
    return HexFormat.of().parseHex(text);
  }

  @Override
  public String toString() {
    return symmetric != null ? "whsec_…" : privateKey != null ? "whsk_…" : "whpk_…";
  }
}
