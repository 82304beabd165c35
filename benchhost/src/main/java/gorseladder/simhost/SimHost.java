package gorseladder.simhost;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import gorseladder.Router;
import gorseladder.RouterApi.Event;
import gorseladder.platform.BadInput;
import gorseladder.platform.Fields;
import gorseladder.platform.PlatformSettings;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Hosts router instances for the bench: reads batches of events and writes the routers' actions. */
public final class SimHost {
  private final Map<String, Router> instances = new HashMap<>();
  private final JsonParser in;
  private final JsonGenerator out;

  SimHost(InputStream in, OutputStream out) throws IOException {
    JsonFactory factory = new JsonFactory();
    this.in = factory.createParser(in);
    this.out = factory.createGenerator(new BufferedOutputStream(out, 1 << 16));
    this.out.setPrettyPrinter(new MinimalPrettyPrinter(""));
  }

  /** Runs until the input ends; exits with 1 and one line on standard error if it is malformed. */
  public static void main(String[] args) throws IOException {
    int code = serve(System.in, System.out, System.err::println);
    if (code != 0) {
      System.exit(code);
    }
  }

  static int serve(InputStream in, OutputStream out, Consumer<String> errors) throws IOException {
    SimHost host = new SimHost(in, out);
    try {
      host.run();
      return 0;
    } catch (JsonProcessingException e) {
      errors.accept("gorseladder: line " + host.lineNumber() + ": not JSON: "
          + firstLine(e.getOriginalMessage()));
    } catch (BadInput | IllegalArgumentException e) {
      errors.accept("gorseladder: line " + host.lineNumber() + ": " + firstLine(e.getMessage()));
    }
    return 1;
  }

  private static String firstLine(String text) {
    return String.valueOf(text).lines().findFirst().orElse("");
  }

  private int lineNumber() {
    return in.currentLocation().getLineNr();
  }

  private Map<String, Object> nextMessage() throws IOException {
    JsonToken token = in.nextToken();
    if (token == null) {
      return null;
    }
    if (token != JsonToken.START_OBJECT) {
      throw new BadInput("a message must be an object");
    }
    return Wire.readObject(in);
  }

  private void run() throws IOException {
    for (Map<String, Object> m = nextMessage(); m != null; m = nextMessage()) {
      if (!"batch".equals(Fields.text(m, "verb"))) {
        throw new BadInput("'" + Fields.text(m, "verb") + "' outside a batch");
      }
      handleBatch(Fields.micros(m, "tsMs"));
    }
  }

  private void handleBatch(long now) throws IOException {
    while (true) {
      Map<String, Object> m = nextMessage();
      if (m == null) {
        throw new BadInput("input ends inside a batch");
      }
      String verb = Fields.text(m, "verb");
      if (verb.equals("overToYou")) {
        break;
      }
      handleMessage(now, verb, m);
    }
    out.writeRaw("{\"verb\":\"end\"}\n");
    out.flush();
  }

  private void handleMessage(long now, String verb, Map<String, Object> m) throws IOException {
    if (verb.equals("batch")) {
      throw new BadInput("a batch inside a batch");
    }
    String instance = Fields.text(m, "who");
    if (verb.equals("up")) {
      instances.put(instance, new Router(PlatformSettings.read(Fields.object(m, "facts")), (long)
          Fields.number(m, "randomSeed")));
    } else if (!instances.containsKey(instance)) {
      throw new BadInput("'" + verb + "' for '" + instance + "', which is not up");
    } else if (verb.equals("kill")) {
      instances.remove(instance);
    } else {
      decide(now, instance, Wire.event(verb, m));
    }
  }

  private void decide(long now, String instance, Event event) throws IOException {
    try {
      instances.get(instance).on(now, event, action -> {
        try {
          Wire.write(out, instance, action);
        } catch (IOException e) {
          throw new UncheckedIOException(e);
        }
      });
    } catch (UncheckedIOException e) {
      throw e.getCause();
    } catch (RuntimeException e) {
      StackTraceElement[] trace = e.getStackTrace();
      Wire.writeFault(out, instance, e + (trace.length > 0 ? " at " + trace[0] : ""));
    }
  }
}
