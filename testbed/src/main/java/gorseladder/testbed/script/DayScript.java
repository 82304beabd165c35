package gorseladder.testbed.script;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.tree.TerminalNode;

/**
 * A parsed script of a day: its settings and troubles. Immutable; times are microseconds from the start of the day.
 */
public final class DayScript {
  /** The kinds of trouble. */
  public enum Kind {
    /** Calls arrive at a multiple of the rate. */
    BURST,
    /** Runners read calls and do not answer until the trouble ends; then they do the work. */
    HANG,
    /** Runners crash, are removed from the list and return cold at the end. */
    CRASH,
    /** Runners stop answering but stay on the list, and return cold at the end. */
    VANISH,
    /** Runners work slower by the factor. */
    SLOW,
    /** Runners answer with errors at once. */
    FAST_ERRORS,
    /** Runners refuse most calls as full. */
    THROTTLE,
    /** Clients retry at once and often. */
    RETRY_ABUSE,
    /** Somebody posts the given share of all signed requests again, at the other endpoint. */
    REPLAY,
    /** The list shows no changes until the end. */
    LIST_BEHIND,
    /** Edges are killed and restarted, one after the other. */
    RESTART_EDGES,
    /** Load reports stay as they were at the start of the trouble. */
    REPORT_LATE,
    /** One function receives the given share of all calls. */
    HOT_KEY,
    /** The given share of the calls names functions that are used only once. */
    SCAN,
    /** Another program slows runners down, on and off. */
    NEIGHBOUR,
    /** Runners become slower and slower, then crash and return cold. */
    AGEING,
    /** New connections are served after a delay. */
    SLOW_HANDSHAKE,
    /** Runners drain, leave the list and return cold. */
    DRAIN,
    /** Runners reset the connection in the middle of an answer. */
    RESET,
    /** Runners close a reused connection when a call arrives on it. */
    STALE,
    /** The archive is slower by the factor. */
    ARCHIVE_SLOW
  }

  /**
   * A trouble of the day.
   *
   * @param amount number of runners or edges affected, or a share if {@code share}
   */
  public record Trouble(
      Kind kind, long at, long lasts, double amount, boolean share, double factor) {
    /** Returns how many of {@code all} are affected: at least one. */
    public int affectedCount(int all) {
      return (int) Math.max(1, Math.min(all, Math.round(share ? amount * all : amount)));
    }
  }

  /** Thrown for a script that cannot be parsed; the message starts with line and column. */
  public static final class BadScript extends Exception {
    private static final long serialVersionUID = 1L;

    BadScript(int line, int column, String text) {
      super(line + ":" + column + ": " + text);
    }
  }

  /** Default values of the settings: times in microseconds, counts, calls per second, and shares. */
  private static final Map<String, Double> DEFAULTS = Map.ofEntries(
      Map.entry("day", 20e6),
      Map.entry("seed", 1.0),
      Map.entry("edges", 3.0),
      Map.entry("runners", 12.0),
      Map.entry("functions", 12.0),
      Map.entry("rate", 60.0),
      Map.entry("safe", 0.5),
      Map.entry("keyed", 0.25),
      Map.entry("unsafe", 0.25),
      Map.entry("work", 30e3),
      Map.entry("lanes", 2.0),
      Map.entry("cores", 4.0),
      Map.entry("load", 300e3),
      Map.entry("on_miss", 1.0),
      Map.entry("list_late", 300e3),
      Map.entry("duplicates", 0.0),
      Map.entry("cancelling", 1.0));

  private final Map<String, Double> settings = new TreeMap<>(DEFAULTS);
  private final List<Trouble> troubles = new ArrayList<>();

  private DayScript() {}

  /**
   * Parses a script.
   *
   * @throws BadScript at the first error
   */
  public static DayScript parse(String text) throws BadScript {
    List<BadScript> errors = new ArrayList<>();
    BaseErrorListener listener = new BaseErrorListener() {
      @Override
      public void syntaxError(
          Recognizer<?, ?> recognizer,
          Object symbol,
          int line,
          int column,
          String message,
          RecognitionException e) {
        errors.add(new BadScript(line, column + 1, message));
      }
    };
    DayLexer lexer = new DayLexer(CharStreams.fromString(text));
    DayParser parser = new DayParser(new CommonTokenStream(lexer));
    lexer.removeErrorListeners();
    parser.removeErrorListeners();
    lexer.addErrorListener(listener);
    parser.addErrorListener(listener);
    DayParser.ScriptContext tree = parser.script();
    if (!errors.isEmpty()) {
      throw errors.get(0);
    }
    DayScript script = new DayScript();
    for (DayParser.SettingContext s : tree.setting()) {
      script.setting(s);
    }
    for (DayParser.TroubleContext t : tree.trouble()) {
      script.trouble(t);
    }
    script.troubles.sort(Comparator.comparingLong(Trouble::at));
    return script;
  }

  private static BadScript bad(ParserRuleContext at, String text) {
    return new BadScript(at.start.getLine(), at.start.getCharPositionInLine() + 1, text);
  }

  private static double time(TerminalNode number, TerminalNode unit) {
    return Double.parseDouble(number.getText()) * (unit.getText().equals("s") ? 1e6 : 1e3);
  }

  private void setting(DayParser.SettingContext s) throws BadScript {
    String name = s.NAME().getText();
    if (!DEFAULTS.containsKey(name)) {
      throw bad(
          s,
          "no setting is called '" + name + "'; there are " + String.join(", ", settings.keySet()));
    }
    DayParser.ValueContext v = s.value();
    boolean isTime = List.of("day", "work", "load", "list_late").contains(name);
    if (isTime != (v.UNIT() != null)) {
      throw bad(s, name + (isTime ? " needs a time, for example 20s" : " takes no unit of time"));
    }
    double number = Double.parseDouble(v.NUMBER().getText());
    settings.put(
        name, isTime ? time(v.NUMBER(), v.UNIT()) : v.PERCENT() != null ? number / 100 : number);
  }

  private void trouble(DayParser.TroubleContext t) throws BadScript {
    Kind kind;
    try {
      kind = Kind.valueOf(t.NAME().getText().toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw bad(t, "no trouble is called '" + t.NAME().getText() + "'");
    }
    long at = (long) time(t.NUMBER(0), t.UNIT(0));
    long lasts = t.UNIT().size() > 1 ? (long) time(t.NUMBER(1), t.UNIT(1)) : 3_000_000;
    boolean share = t.amount() != null && t.amount().PERCENT() != null;
    double amount = t.amount() == null
        ? 1
        : Double.parseDouble(t.amount().NUMBER().getText()) / (share ? 100 : 1);
    double factor =
        t.factor() == null ? 3 : Double.parseDouble(t.factor().NUMBER().getText());
    if (factor <= 0 || share && amount > 1) {
      throw bad(t, "an amount of at most 100% and a factor above 0 are needed");
    }
    troubles.add(new Trouble(kind, at, lasts, amount, share, factor));
  }

  /** Returns the value of a setting. */
  public double number(String name) {
    return settings.get(name);
  }

  /** Returns the value of a setting, rounded to an integer. */
  public int count(String name) {
    return (int) Math.round(settings.get(name));
  }

  /** Returns the troubles in order of their start. */
  public List<Trouble> troubles() {
    return List.copyOf(troubles);
  }
}
