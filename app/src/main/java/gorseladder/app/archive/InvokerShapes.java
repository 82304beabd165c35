package gorseladder.app.archive;

import java.util.ArrayList;
import java.util.List;

/**
 * Names the invokers that the JVM needs to link lambdas, as lines of its class list. Without these lines the JVM
 * generates an invoker at run time for each new shape of arguments. A shape has one letter per argument, {@code L} for
 * every reference; a run of three or more equal letters is a letter and a count ({@code L3IJ_V}).
 */
final class InvokerShapes {
  private static final String LINE_PREFIX = "@lambda-form-invoker [LF_RESOLVE] java.lang.invoke.";
  private static final String DIRECT_PREFIX = LINE_PREFIX + "DirectMethodHandle$Holder ";

  private InvokerShapes() {}

  /**
   * The invokers of a site that creates a lambda.
   *
   * @param type the descriptor of the site, whose arguments are the captured values
   */
  static List<String> ofSite(String type) {
    String captured = argumentLetters(type);
    return List.of(
        DIRECT_PREFIX + "newInvokeSpecial " + shape("L" + captured, 'L'),
        DIRECT_PREFIX + "invokeSpecial " + shape("LL" + captured, 'L'),
        LINE_PREFIX + "Invokers$Holder linkToTargetMethod " + shape(captured + "L", 'L'));
  }

  /**
   * The invokers of the method handle of a lambda's body.
   *
   * @param kind the reference kind of the handle
   * @param type the descriptor of the body
   */
  static List<String> ofHandle(String kind, String type) {
    String arguments = argumentLetters(type);
    char result = shapeLetter(type.charAt(type.indexOf(')') + 1));
    List<String> lines = new ArrayList<>();
    switch (kind) {
      case "REF_invokeStatic" -> {
        lines.add(DIRECT_PREFIX + "invokeStatic " + shape("L" + arguments, result));
        lines.add(DIRECT_PREFIX + "invokeStaticInit " + shape("L" + arguments, result));
      }
      case "REF_newInvokeSpecial" ->
        lines.add(DIRECT_PREFIX + "newInvokeSpecial " + shape("L" + arguments, 'L'));
      case "REF_invokeInterface" ->
        lines.add(DIRECT_PREFIX + "invokeInterface " + shape("LL" + arguments, result));
      default -> {
        // The JVM links a method that is not overridden as a special call.
        lines.add(DIRECT_PREFIX + "invokeVirtual " + shape("LL" + arguments, result));
        lines.add(DIRECT_PREFIX + "invokeSpecial " + shape("LL" + arguments, result));
      }
    }
    return lines;
  }

  /** One letter per argument of a method descriptor. */
  private static String argumentLetters(String type) {
    StringBuilder letters = new StringBuilder();
    for (int i = 1; type.charAt(i) != ')'; i++) {
      letters.append(shapeLetter(type.charAt(i)));
      while (type.charAt(i) == '[') {
        i++;
      }
      if (type.charAt(i) == 'L') {
        i = type.indexOf(';', i);
      }
    }
    return letters.toString();
  }

  private static char shapeLetter(char type) {
    return switch (type) {
      case '[', 'L' -> 'L';
      case 'Z', 'B', 'S', 'C', 'I' -> 'I';
      default -> type;
    };
  }

  private static String shape(String letters, char result) {
    StringBuilder shape = new StringBuilder();
    for (int from = 0; from < letters.length(); ) {
      int to = from;
      while (to < letters.length() && letters.charAt(to) == letters.charAt(from)) {
        to++;
      }
      int run = to - from;
      shape.append(
          run > 2 ? letters.charAt(from) + Integer.toString(run) : letters.substring(from, to));
      from = to;
    }
    return shape.append('_').append(result).toString();
  }
}
