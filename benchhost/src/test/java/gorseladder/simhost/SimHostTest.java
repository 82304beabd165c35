package gorseladder.simhost;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Feeds messages of the bench to the host and checks the messages it writes. */
class SimHostTest {
  private static final String UP =
      "{'verb':'up','who':'d0','randomSeed':7,'facts':{'ordinal':0,'balancers':1,"
          + "'zone':'z','tickMs':2,'unheardOf':[1,{'a':null}],"
          + "'familyInfo':{'keepAliveMs':9000,'ifCold':'load','placementCalls':false},"
          + "'limits':{'maxAttempts':4},"
          + "'rules':{'stopSendingWithinMs':500,'coldFrom':0.2,'coldMs':9000,'tipMultiple':2,'overloadForMs':1500},"
          + "'profiles':[{'name':'c','effect':'pure','goalTimeMs':900,'giveUpMs':3000}]}}";
  private static final String LIST =
      "{'verb':'backendsChanged','who':'d0','kind':'SAVED','gen':1,'items':"
          + "[{'runner':'1.2.3.4:5','regionPart':'z','pack':0,'phase':'Running','nominal':1}]}";
  private static final String ACCEPT =
      "{'verb':'accept','who':'d0','opId':4000000000,'priority':'c',"
          + "'targetFn':'f/x','ttlMs':2500.5,'footprintMb':10,'perCopy':1,'later':'skipped'}";

  private final List<String> complaints = new ArrayList<>();
  private int code;

  private String run(String... lines) throws IOException {
    String input = String.join("\n", lines).replace('\'', '"');
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    code = SimHost.serve(
        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out, complaints::add);
    return out.toString(StandardCharsets.UTF_8).replace('"', '\'');
  }

  @Test
  void servesACall() throws IOException {
    String out = run(
        "{'verb':'batch','tsMs':1000.25}",
        UP,
        LIST,
        "{'verb':'overToYou'}",
        "{'verb':'batch','tsMs':1010}",
        ACCEPT,
        "{'verb':'overToYou'}");
    assertEquals(List.of(), complaints);
    assertEquals(0, code);
    assertTrue(
        out.contains("{'verb':'submitTo','who':'d0','opId':4000000000,'runner':'1.2.3.4:5'}\n"),
        out);
    assertTrue(
        out.contains("{'verb':'arm','who':'d0','inMs':2498.5,'token':'d4000000000'}\n"), out);
    assertTrue(out.endsWith("{'verb':'end'}\n"), out);
  }

  @Test
  void readsAnswersAndIgnoresStrangers() throws IOException {
    String reply =
        "{'verb':'reply','who':'d0','opId':4000000000,'shot':0,'runner':'1.2.3.4:5','lagMs':9,"
            + "'verdict':'%s','info':17,'stats':{'rif':3,'new':1}}";
    String out = run(
        "{'verb':'batch','tsMs':1000}",
        UP,
        LIST,
        ACCEPT,
        "{'verb':'overToYou'}",
        "{'verb':'batch','tsMs':1009}",
        String.format(reply, "DEADLINE_EXCEEDED"),
        "{'verb':'probed','who':'d0','runner':'1.2.3.4:5','verdict':'OK','lagMs':1}",
        "{'verb':'warmed','who':'d0','runner':'1.2.3.4:5','targetFn':'f/x','verdict':'OK','howMany':1}",
        "{'verb':'inbox','who':'d0','sender':1,'bytes':'hi'}",
        "{'verb':'flowing','who':'d0','opId':9,'shot':0,'runner':'1.2.3.4:5'}",
        "{'verb':'cancelledByClient','who':'d0','opId':4000000000}",
        "{'verb':'wakeup','who':'d0','token':'sweep'}",
        "{'verb':'kill','who':'d0'}",
        "{'verb':'overToYou'}");
    assertEquals(List.of(), complaints);
    assertEquals(2, out.split("submitTo", -1).length - 1, "sent again after the time-out: " + out);
  }

  @Test
  void exceptionsBecomeFaults() throws IOException {
    String out = run(
        "{'verb':'batch','tsMs':1000}",
        UP,
        LIST,
        ACCEPT.replace("'c'", "'nobody'"),
        "{'verb':'overToYou'}");
    assertTrue(
        out.contains("{'verb':'broken','who':'d0','bodyText':'java.lang.IllegalArgumentException"),
        out);
    assertEquals(0, code);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "[1]|must be an object",
        "{\"verb\":|not JSON",
        "{\"verb\":\"overToYou\"}|outside a batch",
        "{\"verb\":\"batch\"}|'tsMs'",
        "{\"verb\":\"batch\",\"tsMs\":1}|ends inside a batch",
        "{\"verb\":\"batch\",\"tsMs\":1}{\"verb\":\"accept\"}|'who'",
        "{\"verb\":\"batch\",\"tsMs\":1}{\"verb\":\"accept\",\"who\":\"d0\"}|not up",
        "{\"verb\":\"batch\",\"tsMs\":1}{\"verb\":\"up\",\"who\":\"d0\",\"facts\":{}}|'familyInfo'"
      })
  void malformedInputEndsWithOneLine(String input, String fault) throws IOException {
    run(input);
    assertEquals(1, code);
    assertEquals(1, complaints.size());
    assertTrue(
        complaints.get(0).contains(fault) && complaints.get(0).contains("line 1"),
        complaints.get(0));
  }

  @Test
  void unknownMessageEndsWithItsName() throws IOException {
    run("{'verb':'batch','tsMs':1}", UP, "{'verb':'dance','who':'d0'}");
    assertEquals(1, code);
    assertTrue(complaints.get(0).contains("'dance'"));
  }
}
