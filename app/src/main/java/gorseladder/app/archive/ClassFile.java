package gorseladder.app.archive;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * One class file: the classes that it refers to, and the places at which it makes a lambda or a method reference, as
 * lines of a class list of the Java machine ({@code -XX:SharedClassListFile}), so that an archive holds their classes
 * though no run has come by. Follows "The class File Format" of the Java Virtual Machine Specification, chapter 4.
 * Serializable lambdas and other bootstrap methods are left out: no archive holds them by name.
 */
final class ClassFile {
  private static final int UTF8 = 1;
  private static final int INTEGER = 3;
  private static final int FLOAT = 4;
  private static final int LONG = 5;
  private static final int DOUBLE = 6;
  private static final int CLASS = 7;
  private static final int STRING = 8;
  private static final int METHOD_HANDLE = 15;
  private static final int METHOD_TYPE = 16;
  private static final int DYNAMIC = 17;
  private static final int INVOKE_DYNAMIC = 18;
  private static final int MODULE = 19;
  private static final int PACKAGE = 20;
  private static final int HEAD_BYTES = 8;
  private static final String FACTORY = "java/lang/invoke/LambdaMetafactory metafactory ";
  /** Kinds of method handles by their number (section 4.4.8). */
  private static final List<String> KINDS = List.of(
      "",
      "REF_getField",
      "REF_getStatic",
      "REF_putField",
      "REF_putStatic",
      "REF_invokeVirtual",
      "REF_invokeStatic",
      "REF_invokeSpecial",
      "REF_newInvokeSpecial",
      "REF_invokeInterface");

  /** An entry of the constant pool: its tag, two numbers, a text. */
  private record Constant(int tag, int first, int second, String text) {}

  /** A bootstrap method and its arguments, as indices of the constant pool. */
  private record Bootstrap(int method, List<Integer> arguments) {}

  private final Constant[] pool;
  private final List<Bootstrap> bootstraps = new ArrayList<>();
  private final String className;

  private ClassFile(DataInputStream in) throws IOException {
    in.skipNBytes(HEAD_BYTES);
    pool = constants(in);
    in.readUnsignedShort();
    className = name(in.readUnsignedShort());
    in.readUnsignedShort();
    in.skipNBytes(2L * in.readUnsignedShort());
    skipMembers(in);
    skipMembers(in);
    for (int left = in.readUnsignedShort(); left > 0; left--) {
      String attribute = pool[in.readUnsignedShort()].text();
      int length = in.readInt();
      if (attribute.equals("BootstrapMethods")) {
        readBootstraps(in);
      } else {
        in.skipNBytes(length);
      }
    }
  }

  /**
   * Reads one.
   *
   * @throws IOException where it is none
   */
  static ClassFile read(InputStream in) throws IOException {
    return new ClassFile(new DataInputStream(in));
  }

  /** The names of the classes that it refers to, with slashes; arrays are left out. */
  Set<String> references() {
    Set<String> names = new TreeSet<>();
    for (Constant constant : pool) {
      if (constant != null && constant.tag() == CLASS) {
        names.add(pool[constant.first()].text());
      }
    }
    names.removeIf(name -> name.startsWith("["));
    return names;
  }

  private static Constant[] constants(DataInputStream in) throws IOException {
    Constant[] pool = new Constant[in.readUnsignedShort()];
    for (int i = 1; i < pool.length; i++) {
      int tag = in.readUnsignedByte();
      pool[i] = constant(tag, in);
      i += tag == LONG || tag == DOUBLE ? 1 : 0;
    }
    return pool;
  }

  private static Constant constant(int tag, DataInputStream in) throws IOException {
    return switch (tag) {
      case UTF8 -> new Constant(tag, 0, 0, in.readUTF());
      case CLASS, STRING, METHOD_TYPE, MODULE, PACKAGE ->
        new Constant(tag, in.readUnsignedShort(), 0, "");
      case METHOD_HANDLE -> new Constant(tag, in.readUnsignedByte(), in.readUnsignedShort(), "");
      case INTEGER, FLOAT -> new Constant(tag, in.readInt(), 0, "");
      case LONG, DOUBLE -> new Constant(tag, in.readInt(), in.readInt(), "");
      default -> {
        if (tag < STRING || tag > INVOKE_DYNAMIC) {
          throw new IOException("no class file: tag " + tag);
        }
        yield new Constant(tag, in.readUnsignedShort(), in.readUnsignedShort(), "");
      }
    };
  }

  private static void skipMembers(DataInputStream in) throws IOException {
    for (int left = in.readUnsignedShort(); left > 0; left--) {
      in.skipNBytes(6);
      for (int attributes = in.readUnsignedShort(); attributes > 0; attributes--) {
        in.readUnsignedShort();
        in.skipNBytes(in.readInt());
      }
    }
  }

  private void readBootstraps(DataInputStream in) throws IOException {
    for (int left = in.readUnsignedShort(); left > 0; left--) {
      int method = in.readUnsignedShort();
      List<Integer> arguments = new ArrayList<>();
      for (int more = in.readUnsignedShort(); more > 0; more--) {
        arguments.add(in.readUnsignedShort());
      }
      bootstraps.add(new Bootstrap(method, arguments));
    }
  }

  /** The name that a constant refers to. */
  private String name(int index) {
    return pool[pool[index].first()].text();
  }

  /** Name and type of a constant. */
  private String nameAndType(int index) {
    return name(index) + " " + pool[pool[index].second()].text();
  }

  private String member(int index) {
    return name(pool[index].first()) + " " + nameAndType(pool[index].second());
  }

  private String handle(Constant handle) {
    return KINDS.get(handle.first()) + " " + member(handle.second());
  }

  /** The lines of its lambdas, one for each that is made differently. */
  List<String> lambdas() {
    List<String> lines = new ArrayList<>();
    for (Constant site : pool) {
      if (site != null && site.tag() == INVOKE_DYNAMIC) {
        Bootstrap bootstrap = bootstraps.get(site.first());
        if (member(pool[bootstrap.method()].second()).startsWith(FACTORY)) {
          addSite(site, bootstrap, lines);
        }
      }
    }
    return lines;
  }

  private void addSite(Constant site, Bootstrap bootstrap, List<String> lines) {
    String made = pool[pool[site.second()].second()].text();
    Constant body = pool[bootstrap.arguments().get(1)];
    String bodyType = pool[pool[pool[body.second()].second()].second()].text();
    lines.addAll(InvokerShapes.ofSite(made));
    lines.addAll(InvokerShapes.ofHandle(KINDS.get(body.first()), bodyType));
    lines.add(String.join(
        " ",
        "@lambda-proxy",
        className,
        nameAndType(site.second()),
        type(bootstrap.arguments().get(0)),
        handle(body),
        type(bootstrap.arguments().get(2))));
  }

  private String type(int index) {
    return name(index);
  }
}
