package gorseladder.config;

import com.google.protobuf.Message;
import com.google.protobuf.TextFormat;
import com.google.protobuf.TextFormatParseInfoTree;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads a message from protobuf text format and reports a fault for each unreadable place. Any thread. */
public final class TextFile {
  private static final Pattern POSITION = Pattern.compile("(?:line )?(\\d+):(\\d+):?\\s*(.*)");
  private static final String UNKNOWN_FIELDS = "Input contains unknown fields";
  /**
   * The parser also logs unknown fields, which are already reported as faults. The logger is held in a field because a
   * collected logger loses its level.
   */
  private static final Logger PARSER = Logger.getLogger(TextFormat.class.getName());

  static {
    PARSER.setLevel(Level.OFF);
  }

  private TextFile() {}

  /**
   * Reads the text into the message. Unknown fields are faults but do not prevent the others from being read.
   *
   * @param file name of the file for the faults
   * @return the location of each field; null if the text could not be read to its end, and then the content of the
   *     message is unusable
   */
  public static TextFormatParseInfoTree parse(
      String file, String text, Message.Builder into, List<Fault> faults) {
    try {
      return parse(text, into, false);
    } catch (TextFormat.ParseException e) {
      addFaults(file, e, into, faults);
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
    TextFormatParseInfoTree.Builder locations = TextFormatParseInfoTree.builder();
    TextFormat.Parser.newBuilder()
        .setAllowUnknownFields(allowUnknown)
        .setParseInfoTreeBuilder(locations)
        .build()
        .merge(text, into);
    return locations.build();
  }

  private static void addFaults(
      String file, TextFormat.ParseException e, Message.Builder into, List<Fault> faults) {
    Pattern field = Pattern.compile(
        "gorseladder\\.(?:" + into.getDescriptorForType().getName() + "\\.)?(\\S+)");
    boolean unknown = e.getMessage().contains(UNKNOWN_FIELDS);
    int previousCount = faults.size();
    for (String line : e.getMessage().split("\n")) {
      Matcher m = POSITION.matcher(line.strip());
      if (m.matches() && !m.group(3).startsWith(UNKNOWN_FIELDS)) {
        Matcher name = field.matcher(m.group(3));
        boolean namesField = unknown && name.matches();
        faults.add(new Fault(
            file,
            Integer.parseInt(m.group(1)),
            namesField ? name.group(1) : "",
            namesField ? "there is no such field" : m.group(3)));
      }
    }
    if (faults.size() == previousCount) {
      faults.add(new Fault(file, e.getLine(), "", e.getMessage()));
    }
  }
}
