package gorseladder.simhost;

import static gorseladder.platform.Fields.flag;
import static gorseladder.platform.Fields.list;
import static gorseladder.platform.Fields.micros;
import static gorseladder.platform.Fields.number;
import static gorseladder.platform.Fields.text;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import gorseladder.RouterApi;
import gorseladder.RouterApi.Action;
import gorseladder.RouterApi.Event;
import gorseladder.RouterApi.Outcome;
import gorseladder.platform.BadInput;
import gorseladder.platform.PlatformList;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Translates between the bench's JSON messages and the router's events and actions. */
final class Wire {
  private static final Map<String, Outcome> OUTCOMES = Map.of(
      "OK",
      Outcome.OK,
      "INTERNAL",
      Outcome.ERROR,
      "RESOURCE_EXHAUSTED",
      Outcome.FULL,
      "DEADLINE_EXCEEDED",
      Outcome.TIMEOUT,
      "UNAVAILABLE",
      Outcome.CONNECT_FAILED,
      "ABORTED",
      Outcome.RESET,
      "CANCELLED",
      Outcome.CANCELLED,
      "TOO_LATE",
      Outcome.MOOT,
      "NOT_FOUND",
      Outcome.MISS);
  private static final Map<String, String> REPORT_NAMES = Map.of("rif", "inFlight", "q", "queued");
  private static final RouterApi.CopyStatus[] COPY_STATUSES = RouterApi.CopyStatus.values();

  private Wire() {}

  /** Reads one JSON object; the current token is its opening brace. */
  static Map<String, Object> readObject(JsonParser in) throws IOException {
    Map<String, Object> object = new LinkedHashMap<>();
    while (in.nextToken() != JsonToken.END_OBJECT) {
      if (in.currentToken() == null) {
        throw new BadInput("input ends inside a message");
      }
      String name = in.currentName();
      in.nextToken();
      object.put(name, readValue(in));
    }
    return object;
  }

  private static Object readValue(JsonParser in) throws IOException {
    JsonToken token = in.currentToken();
    if (token == null) {
      throw new BadInput("input ends inside a message");
    }
    return switch (token) {
      case START_OBJECT -> readObject(in);
      case START_ARRAY -> {
        List<Object> list = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
          list.add(readValue(in));
        }
        yield list;
      }
      case VALUE_STRING -> in.getText();
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> in.getDoubleValue();
      case VALUE_TRUE -> Boolean.TRUE;
      case VALUE_FALSE -> Boolean.FALSE;
      default -> null;
    };
  }

  /** Reads an event; the host itself handles {@code up}, {@code kill} and the lines that delimit a batch. */
  static Event event(String verb, Map<String, Object> m) {
    return switch (verb) {
      case "backendsChanged" -> workers(m);
      case "accept" ->
        new RouterApi.Request(
            id(m),
            text(m, "priority"),
            text(m, "team", ""),
            text(m, "targetFn"),
            micros(m, "ttlMs"),
            micros(m, "weightHintMs", 0),
            number(m, "footprintMb", 0),
            (int) number(m, "perCopy", 1),
            micros(m, "loadTimeMs", 0),
            flag(m, "repeat"));
      case "flowing" ->
        new RouterApi.FirstByte(
            id(m), (int) number(m, "shot"), text(m, "runner"), micros(m, "lagMs", 0));
      case "reply" -> answer(m);
      case "cancelledByClient" -> new RouterApi.ClientGone(id(m));
      case "wakeup" -> new RouterApi.TimerDue(text(m, "token"));
      case "probed" ->
        new RouterApi.Probed(text(m, "runner"), outcome(m), micros(m, "lagMs", 0), report(m));
      case "inbox" -> new RouterApi.PeerMessage((int) number(m, "sender"), text(m, "bytes", ""));
      case "warmed" ->
        new RouterApi.Loaded(
            text(m, "runner"),
            text(m, "targetFn"),
            (int) number(m, "howMany", 0),
            outcome(m),
            micros(m, "lagMs", 0));
      default -> throw new BadInput("unknown message '" + verb + "'");
    };
  }

  private static Event answer(Map<String, Object> m) {
    int info = (int) number(m, "info", 0);
    int copyStatusIndex = info & 7;
    Outcome outcome = outcome(m);
    boolean hasConcurrency = outcome == Outcome.OK || outcome == Outcome.FULL;
    return new RouterApi.Answer(
        id(m),
        (int) number(m, "shot"),
        text(m, "runner"),
        outcome,
        flag(m, "settled"),
        micros(m, "lagMs", 0),
        copyStatusIndex < COPY_STATUSES.length ? COPY_STATUSES[copyStatusIndex] : COPY_STATUSES[0],
        hasConcurrency ? info >> 3 : -1,
        report(m));
  }

  private static Event workers(Map<String, Object> m) {
    RouterApi.ListKind kind = switch (text(m, "kind")) {
      case "INCREMENTAL" -> RouterApi.ListKind.DELTA;
      case "FULL" -> RouterApi.ListKind.FULL;
      case "SAVED" -> RouterApi.ListKind.SAVED;
      case "FAILED" -> RouterApi.ListKind.FAILED;
      default -> throw new BadInput("unknown list kind");
    };
    List<RouterApi.WorkerEntry> entries = new ArrayList<>();
    for (Map<String, Object> e : list(m, "items", false)) {
      entries.add(PlatformList.ofSimulator(e));
    }
    return new RouterApi.WorkerListUpdate(kind, entries);
  }

  private static Map<String, Double> report(Map<String, Object> m) {
    Map<String, Double> report = new LinkedHashMap<>();
    if (m.get("stats") instanceof Map<?, ?> stats) {
      stats.forEach((name, value) -> {
        if (value instanceof Double d) {
          report.put(REPORT_NAMES.getOrDefault(name, (String) name), d);
        }
      });
    }
    return report;
  }

  /** Writes one action of an instance as a line. */
  static void write(JsonGenerator out, String instance, Action action) throws IOException {
    out.writeStartObject();
    if (action instanceof RouterApi.Send a) {
      writeHeader(out, "submitTo", instance);
      out.writeNumberField("opId", a.id());
      out.writeStringField("runner", a.worker());
      if (a.timeout() > 0) {
        writeMillis(out, "giveUpAfterMs", a.timeout());
      }
    } else if (action instanceof RouterApi.Cancel a) {
      writeHeader(out, "retract", instance);
      out.writeNumberField("opId", a.id());
      out.writeNumberField("shot", a.attempt());
    } else if (action instanceof RouterApi.Refuse a) {
      writeHeader(out, "decline", instance);
      out.writeNumberField("opId", a.id());
      if (a.retryAfter() > 0) {
        writeMillis(out, "pauseMs", a.retryAfter());
      }
    } else if (action instanceof RouterApi.Fail a) {
      writeHeader(out, "respondError", instance);
      out.writeNumberField("opId", a.id());
    } else if (action instanceof RouterApi.SetTimer a) {
      writeHeader(out, "arm", instance);
      writeMillis(out, "inMs", a.delay());
      out.writeStringField("token", a.token());
    } else if (action instanceof RouterApi.TellPeers a) {
      writeHeader(out, "announce", instance);
      out.writeStringField("dst", "all");
      out.writeStringField("bytes", a.text());
    } else if (action instanceof RouterApi.Load a) {
      writeHeader(out, "mount", instance);
      out.writeStringField("runner", a.worker());
      out.writeStringField("targetFn", a.function());
      out.writeNumberField("howMany", a.copies());
    } else if (action instanceof RouterApi.SubscribeWorkerList) {
      writeHeader(out, "streamChanges", instance);
      out.writeBooleanField("enable", true);
    } else if (action instanceof RouterApi.Log a) {
      writeHeader(out, "writeLog", instance);
      out.writeStringField("bodyText", a.text());
    }
    out.writeEndObject();
    out.writeRaw('\n');
  }

  /** Writes the message that reports a failure of the decision code. */
  static void writeFault(JsonGenerator out, String instance, String text) throws IOException {
    out.writeStartObject();
    writeHeader(out, "broken", instance);
    out.writeStringField("bodyText", text);
    out.writeEndObject();
    out.writeRaw('\n');
  }

  private static void writeHeader(JsonGenerator out, String verb, String instance)
      throws IOException {
    out.writeStringField("verb", verb);
    out.writeStringField("who", instance);
  }

  private static void writeMillis(JsonGenerator out, String name, long micros) throws IOException {
    out.writeNumberField(name, micros / 1000.0);
  }

  private static long id(Map<String, Object> m) {
    return (long) number(m, "opId");
  }

  private static Outcome outcome(Map<String, Object> m) {
    Outcome outcome = OUTCOMES.get(text(m, "verdict"));
    if (outcome == null) {
      throw new BadInput("unknown verdict");
    }
    return outcome;
  }
}
