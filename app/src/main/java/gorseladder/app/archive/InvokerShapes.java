package gorseladder.app.archive;

import java.util.ArrayList;
import java.util.List;

/**
 * Names the invokers that the Java machine needs where it links a lambda, as lines of its class list: without them it
 * makes one at run time for each shape of arguments that it has not met. A shape has a letter for each argument, all
 * references alike, and runs of three and more with their number ({@code L3IJ_V}).
 */
final class InvokerShapes {
  private static final String LINE = "@lambda-form-invoker [LF_RESOLVE] java.lang.invoke.";
  private static final String DIRECT = LINE + "DirectMethodHandle$Holder ";

  private InvokerShapes() {}

  /** Those of a site that makes a lambda; {@code type} takes what it captures. */
  static List<String> ofSite(String type) {
    String captured = arguments(type);
    return List.of(
        DIRECT + "newInvokeSpecial " + shape("L" + captured, 'L'),
        DIRECT + "invokeSpecial " + shape("LL" + captured, 'L'),
        LINE + "Invokers$Holder linkToTargetMethod " + shape(captured + "L", 'L'));
  }

  /** Those of the handle on a lambda's body, of that kind and type. */
  static List<String> ofHandle(String kind, String type) {
    String arguments = arguments(type);
    char result = letter(type.charAt(type.indexOf(')') + 1));
    List<String> lines = new ArrayList<>();
    switch (kind) {
      case "REF_invokeStatic" -> {
        lines.add(DIRECT + "invokeStatic " + shape("L" + arguments, result));
        lines.add(DIRECT + "invokeStaticInit " + shape("L" + arguments, result));
      }
      case "REF_newInvokeSpecial" ->
        lines.add(DIRECT + "newInvokeSpecial " + shape("L" + arguments, 'L'));
      case "REF_invokeInterface" ->
        lines.add(DIRECT + "invokeInterface " + shape("LL" + arguments, result));
      default -> {
        // A method that nobody overrides is called as a special one.
        lines.add(DIRECT + "invokeVirtual " + shape("LL" + arguments, result));
        lines.add(DIRECT + "invokeSpecial " + shape("LL" + arguments, result));
      }
    }
    return lines;
  }

  /** A letter for each argument of a method's type. */
  private static String arguments(String type) {
    StringBuilder letters = new StringBuilder();
    for (int i = 1; type.charAt(i) != ')'; i++) {
      letters.append(letter(type.charAt(i)));
      while (type.charAt(i) == '[') {
        i++;
      }
      if (type.charAt(i) == 'L') {
        i = type.indexOf(';', i);
      }
    }
    return letters.toString();
  }

  private static char letter(char type) {
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
