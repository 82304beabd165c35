package gorseladder.config;

import com.google.protobuf.Message;
import com.google.protobuf.TextFormat;
import com.google.protobuf.TextFormatParseInfoTree;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads a message from protobuf text format, with a fault for each place that cannot be read. Any thread. */
public final class TextFile {
  private static final Pattern PLACE = Pattern.compile("(?:line )?(\\d+):(\\d+):?\\s*(.*)");
  private static final String UNKNOWN = "Input contains unknown fields";
  /**
   * The parser tells of unknown fields here too; they are faults already. Held, as the level is forgotten with the
   * logger.
   */
  private static final Logger PARSER = Logger.getLogger(TextFormat.class.getName());

  static {
    PARSER.setLevel(Level.OFF);
  }

  private TextFile() {}

  /**
   * Reads the text into the message. Fields that do not exist are faults and hide nothing of those that do.
   *
   * @param file named in the faults
   * @return where each field stands; null where the text could not be read to its end, and then the message holds
   *     nothing of use
   */
  public static TextFormatParseInfoTree parse(
      String file, String text, Message.Builder into, List<Fault> faults) {
    try {
      return parse(text, into, false);
    } catch (TextFormat.ParseException e) {
      tell(file, e, into, faults);
    }
    into.clear();
    try {
      return parse(text, into, true);
    } catch (TextFormat.ParseException e) {
      return null;
    }
  }

  private static TextFormatParseInfoTree parse(
      String text, Message.Builder into, boolean allowUnknown) throws TextFormat.ParseException {
    TextFormatParseInfoTree.Builder places = TextFormatParseInfoTree.builder();
    TextFormat.Parser.newBuilder()
        .setAllowUnknownFields(allowUnknown)
        .setParseInfoTreeBuilder(places)
        .build()
        .merge(text, into);
    return places.build();
  }

  private static void tell(
      String file, TextFormat.ParseException e, Message.Builder into, List<Fault> faults) {
    Pattern field = Pattern.compile(
        "gorseladder\\.(?:" + into.getDescriptorForType().getName() + "\\.)?(\\S+)");
    boolean unknown = e.getMessage().contains(UNKNOWN);
    int before = faults.size();
    for (String line : e.getMessage().split("\n")) {
      Matcher m = PLACE.matcher(line.strip());
      if (m.matches() && !m.group(3).startsWith(UNKNOWN)) {
        Matcher name = field.matcher(m.group(3));
        boolean named = unknown && name.matches();
        faults.add(new Fault(
            file,
            Integer.parseInt(m.group(1)),
            named ? name.group(1) : "",
            named ? "there is no such field" : m.group(3)));
      }
    }
    if (faults.size() == before) {
      faults.add(new Fault(file, e.getLine(), "", e.getMessage()));
    }
  }
}
