package gorseladder.wire;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.standardwebhooks.Webhook;
import gorseladder.wire.oip.LoadReport;
import gorseladder.wire.oip.Oip;
import gorseladder.wire.webhook.Delivery;
import gorseladder.wire.webhook.Delivery.Check;
import gorseladder.wire.webhook.Payload;
import gorseladder.wire.webhook.Secret;
import java.net.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class WebhookTest {
  private static final String KEY = "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw";
  private static final byte[] BODY = "{\"type\":\"t\"}".getBytes(StandardCharsets.UTF_8);

  private static Check check(String signature, long now, String... keys) {
    return Delivery.of("msg_1", "1000", signature)
        .check(BODY, java.util.Arrays.stream(keys).map(Secret::parse).toList(), now, 300);
  }

  /** Signatures are interchangeable with those of the specification project's own library. */
  @Test
  void agreesWithAnIndependentPeer() throws Exception {
    long now = System.currentTimeMillis() / 1000;
    String librarySignature =
        new Webhook(KEY).sign("msg_p", now, new String(BODY, StandardCharsets.UTF_8));
    String ownSignature = Secret.parse(KEY).sign("msg_p", now, BODY);
    assertEquals(librarySignature, ownSignature);
    Map<String, List<String>> headers = Map.of(
        Delivery.ID,
        List.of("msg_p"),
        Delivery.TIMESTAMP,
        List.of(Long.toString(now)),
        Delivery.SIGNATURE,
        List.of(ownSignature));
    assertDoesNotThrow(() -> new Webhook(KEY)
        .verify(new String(BODY, StandardCharsets.UTF_8), HttpHeaders.of(headers, (a, b) -> true)));
    assertEquals(
        Check.GOOD,
        Delivery.of("msg_p", Long.toString(now), librarySignature)
            .check(BODY, List.of(Secret.parse(KEY)), now, 300));
  }

  @Test
  void severalSignaturesAndLiveSecretsForARotation() {
    String other = "whsec_" + Base64.getEncoder().encodeToString(new byte[32]);
    String good = Secret.parse(KEY).sign("msg_1", 1000, BODY);
    String old = Secret.parse(other).sign("msg_1", 1000, BODY);
    assertEquals(Check.GOOD, check(old + " " + good, 1000, KEY));
    assertEquals(Check.GOOD, check(good, 1000, other, KEY));
    assertEquals(Check.BAD_SIGNATURE, check(old, 1000, KEY));
    assertEquals(
        Check.BAD_SIGNATURE,
        check("v2," + good.substring(3) + " v1a," + good.substring(3), 1000, KEY));
    assertEquals(Check.BAD_SIGNATURE, check("v1,%%% v1 ,", 1000, KEY));
  }

  @Test
  void theTimestampIsJudgedBothWaysAndOnlyForWhoKnowsTheSecret() {
    String good = Secret.parse(KEY).sign("msg_1", 1000, BODY);
    assertEquals(Check.GOOD, check(good, 1300, KEY));
    assertEquals(Check.GOOD, check(good, 700, KEY));
    assertEquals(Check.STALE, check(good, 1301, KEY));
    assertEquals(Check.STALE, check(good, 699, KEY));
    assertEquals(Check.BAD_SIGNATURE, check("v1,AAAA", 9999, KEY));
  }

  /** Uses the key pair of RFC 8032 section 7.1, test 1, as seed and public key. */
  @Test
  void asymmetricSignatures() {
    String seed =
        "whsk_" + base64("9d61b19deffd5a60ba844af492ec2cc44449c5697b326919703bac031cae7f60");
    String publicKey =
        "whpk_" + base64("d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a");
    String signature = Secret.parse(seed).sign("msg_1", 1000, BODY);
    assertTrue(signature.startsWith("v1a,"));
    assertEquals(Check.GOOD, check(signature, 1000, publicKey));
    assertEquals(
        Check.BAD_SIGNATURE, check(signature.replace("v1a,", "v1,"), 1000, publicKey, KEY));
    assertFalse(Secret.parse(seed).canCheck());
    assertThrows(IllegalStateException.class, () -> Secret.parse(publicKey).sign("m", 1, BODY));
  }

  private static String base64(String hex) {
    return Base64.getEncoder().encodeToString(java.util.HexFormat.of().parseHex(hex));
  }

  /** Two texts of one signature, or of one key, must not count as two. */
  @Test
  void signaturesAndKeysAreToldApartByWhatTheyMean() {
    String good = Secret.parse(KEY).sign("msg_1", 1000, BODY);
    String unpadded = good.substring(0, good.length() - 1);
    Delivery delivery =
        Delivery.of("msg_1", "1000", unpadded + " v2,AAAA " + good + " v1,AAAA " + good);
    assertEquals(1, delivery.signatures().size());
    Delivery.Verification verified = delivery.verify(BODY, List.of(Secret.parse(KEY)), 1000, 300);
    assertEquals(1, verified.good().size());
    assertEquals(1, verified.secrets().size());

    byte[] key = new byte[24];
    key[0] = 1;
    Secret plain = Secret.parse("whsec_" + Base64.getEncoder().encodeToString(key));
    Secret padded = Secret.parse(
        "whsec_" + Base64.getEncoder().encodeToString(java.util.Arrays.copyOf(key, 40)));
    assertEquals(plain.sign("m", 1, BODY), padded.sign("m", 1, BODY));
    assertEquals(plain.fingerprint(), padded.fingerprint());
    assertNotEquals(plain.fingerprint(), Secret.parse(KEY).fingerprint());
  }

  @Property(tries = 2000, seed = "7")
  void anyChangedBitIsSeen(
      @ForAll @Size(min = 1, max = 64) byte[] body, @ForAll @IntRange(min = 0, max = 511) int bit) {
    String signature = Secret.parse(KEY).sign("msg_1", 1000, body);
    byte[] changed = body.clone();
    changed[bit / 8 % body.length] ^= (byte) (1 << bit % 8);
    List<Secret> keys = List.of(Secret.parse(KEY));
    assertEquals(
        Check.BAD_SIGNATURE,
        Delivery.of("msg_1", "1000", signature).check(changed, keys, 1000, 300));
    assertEquals(
        Check.BAD_SIGNATURE, Delivery.of("msg_2", "1000", signature).check(body, keys, 1000, 300));
    assertEquals(
        Check.BAD_SIGNATURE, Delivery.of("msg_1", "1001", signature).check(body, keys, 1000, 300));
    assertEquals(Check.GOOD, Delivery.of("msg_1", "1000", signature).check(body, keys, 1000, 300));
  }

  @Property(tries = 1000, seed = "8")
  void anySignatureTextIsJudged(@ForAll @Size(min = 1, max = 60) byte[] noise) {
    String text = "v1," + new String(noise, StandardCharsets.ISO_8859_1);
    try {
      assertNotEquals(
          Check.GOOD,
          Delivery.of("msg_1", "1000", text).check(BODY, List.of(Secret.parse(KEY)), 1000, 300));
    } catch (IllegalArgumentException e) {
      assertTrue(e.getMessage().contains(Delivery.SIGNATURE));
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "whsec_", "whsec_AAAA", "whsec_%%%", "key", "whpk_AAAA"})
  void unusableKeysAreNamedWithoutQuotingThem(String key) {
    String message =
        assertThrows(IllegalArgumentException.class, () -> Secret.parse(key)).getMessage();
    assertFalse(!key.isEmpty() && message.contains(key) && key.length() > 6);
    assertEquals("whsec_…", Secret.parse(KEY).toString());
  }

  @ParameterizedTest
  @ValueSource(strings = {"a.b", "a b", "", "é"})
  void anIdThatCouldBeReadTwoWaysIsRefused(String id) {
    assertThrows(IllegalArgumentException.class, () -> Delivery.of(id, "1", "v1,x"));
    assertThrows(IllegalArgumentException.class, () -> Delivery.of("a", "-1", "v1,x"));
  }

  @Test
  void payloads() {
    Payload payload = Payload.parse(
        "{\"type\":\"a\",\"x\":[{}],\"data\":{\"function\":\"f/1\",\"lanes\":2,\"load_ms\":5,"
            .concat("\"memory_mb\":1.5,\"deep\":{\"function\":\"no\"}}}")
            .getBytes(StandardCharsets.UTF_8));
    assertEquals(new Payload("a", "f/1", 1.5, 2, 5), payload);
    for (String bad : new String[] {
      "",
      "[]",
      "{",
      "{\"type\":1}",
      "{\"type\":\"a\",\"type\":\"b\"}",
      "{\"type\":\"a\"} x",
      "{\"type\":\"a\",\"data\":{\"function\":\"a b\"}}",
      "{\"type\":\"a\",\"data\":{\"lanes\":-1}}",
      "{\"a\":".repeat(80) + "1" + "}".repeat(80)
    }) {
      assertThrows(
          IllegalArgumentException.class,
          () -> Payload.parse(bad.getBytes(StandardCharsets.UTF_8)),
          bad);
    }
  }

  @Test
  void inferenceMessages() {
    Oip.Content request = Oip.content(Oip.request("id 1", BODY));
    assertEquals("id 1", request.id());
    assertEquals(
        new String(BODY, StandardCharsets.UTF_8),
        new String(request.data(), StandardCharsets.UTF_8));
    assertEquals("svc/a b%", Oip.modelIn(Oip.inferTarget("svc/a b%"), "/v2/models/", "/infer"));
    assertEquals(null, Oip.modelIn("/v2/models/a/b/infer", "/v2/models/", "/infer"));
    assertEquals(null, Oip.modelIn("/v2/models/%zz/infer", "/v2/models/", "/infer"));
    assertEquals(3, Oip.copiesIn(Oip.loadRequest(3)));
    assertThrows(
        IllegalArgumentException.class,
        () -> Oip.content("{\"outputs\":[]}".getBytes(StandardCharsets.UTF_8)));
  }

  @Test
  void loadReports() {
    Map<String, Double> report = LoadReport.parse(LoadReport.format(0.25, Map.of("inFlight", 3.0)));
    assertEquals(Map.of("cpu_utilization", 0.25, "inFlight", 3.0), report);
    assertEquals(Map.of("a", 1.0), LoadReport.parse("TEXT a=1, b=x, =2, c, d=NaN"));
    assertEquals(Map.of(), LoadReport.parse("JSON {}"));
  }
}
