package gorseladder.app.archive;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Parses a class file for the classes that it refers to and for the call sites that create lambdas and method
 * references. The sites are returned as lines of a JVM class list ({@code -XX:SharedClassListFile}), so that an archive
 * holds their classes although no run has reached them. Follows "The class File Format" of the Java Virtual Machine
 * Specification, chapter 4. Serializable lambdas and other bootstrap methods are left out: no archive holds them by
 * name.
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
  private static final int HEADER_BYTES = 8;
  private static final String LAMBDA_METAFACTORY =
      "java/lang/invoke/LambdaMetafactory metafactory ";
  /** Reference kinds of method handles by number (section 4.4.8). */
  private static final List<String> HANDLE_KINDS = List.of(
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

  /** An entry of the constant pool; the meaning of {@code first} and {@code second} depends on the tag. */
  private record Constant(int tag, int first, int second, String text) {}

  /** A bootstrap method and its arguments, as indices into the constant pool. */
  private record BootstrapMethod(int method, List<Integer> arguments) {}

  private final Constant[] pool;
  private final List<BootstrapMethod> bootstrapMethods = new ArrayList<>();
  private final String className;

  private ClassFile(DataInputStream in) throws IOException {
    in.skipNBytes(HEADER_BYTES);
    pool = readConstants(in);
    in.readUnsignedShort();
    className = name(in.readUnsignedShort());
    in.readUnsignedShort();
    in.skipNBytes(2L * in.readUnsignedShort());
    skipMembers(in);
    skipMembers(in);
    for (int remaining = in.readUnsignedShort(); remaining > 0; remaining--) {
      String attribute = pool[in.readUnsignedShort()].text();
      int length = in.readInt();
      if (attribute.equals("BootstrapMethods")) {
        readBootstrapMethods(in);
      } else {
        in.skipNBytes(length);
      }
    }
  }

  /**
   * Parses a class file.
   *
   * @throws IOException when the stream holds no class file
   */
  static ClassFile read(InputStream in) throws IOException {
    return new ClassFile(new DataInputStream(in));
  }

  /** The internal names (with slashes) of the classes that this one refers to, without arrays. */
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

  private static Constant[] readConstants(DataInputStream in) throws IOException {
    Constant[] pool = new Constant[in.readUnsignedShort()];
    for (int i = 1; i < pool.length; i++) {
      int tag = in.readUnsignedByte();
      pool[i] = readConstant(tag, in);
      i += tag == LONG || tag == DOUBLE ? 1 : 0;
    }
    return pool;
  }

  private static Constant readConstant(int tag, DataInputStream in) throws IOException {
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
    for (int remaining = in.readUnsignedShort(); remaining > 0; remaining--) {
      in.skipNBytes(6);
      for (int remainingAttributes = in.readUnsignedShort();
          remainingAttributes > 0;
          remainingAttributes--) {
        in.readUnsignedShort();
        in.skipNBytes(in.readInt());
      }
    }
  }

  private void readBootstrapMethods(DataInputStream in) throws IOException {
    for (int remaining = in.readUnsignedShort(); remaining > 0; remaining--) {
      int method = in.readUnsignedShort();
      List<Integer> arguments = new ArrayList<>();
      for (int remainingArguments = in.readUnsignedShort();
          remainingArguments > 0;
          remainingArguments--) {
        arguments.add(in.readUnsignedShort());
      }
      bootstrapMethods.add(new BootstrapMethod(method, arguments));
    }
  }

  /** The text that the constant at the index refers to. */
  private String name(int index) {
    return pool[pool[index].first()].text();
  }

  /** Name and descriptor of the member that the constant at the index refers to. */
  private String nameAndType(int index) {
    return name(index) + " " + pool[pool[index].second()].text();
  }

  private String member(int index) {
    return name(pool[index].first()) + " " + nameAndType(pool[index].second());
  }

  private String describeHandle(Constant handle) {
    return HANDLE_KINDS.get(handle.first()) + " " + member(handle.second());
  }

  /** The class list lines of all sites that create a lambda or a method reference. */
  List<String> lambdaLines() {
    List<String> lines = new ArrayList<>();
    for (Constant site : pool) {
      if (site != null && site.tag() == INVOKE_DYNAMIC) {
        BootstrapMethod bootstrap = bootstrapMethods.get(site.first());
        if (member(pool[bootstrap.method()].second()).startsWith(LAMBDA_METAFACTORY)) {
          addSite(site, bootstrap, lines);
        }
      }
    }
    return lines;
  }

  private void addSite(Constant site, BootstrapMethod bootstrap, List<String> lines) {
    String factoryType = pool[pool[site.second()].second()].text();
    Constant body = pool[bootstrap.arguments().get(1)];
    String bodyType = pool[pool[pool[body.second()].second()].second()].text();
    lines.addAll(InvokerShapes.ofSite(factoryType));
    lines.addAll(InvokerShapes.ofHandle(HANDLE_KINDS.get(body.first()), bodyType));
    lines.add(String.join(
        " ",
        "@lambda-proxy",
        className,
        nameAndType(site.second()),
        methodType(bootstrap.arguments().get(0)),
        describeHandle(body),
        methodType(bootstrap.arguments().get(2))));
  }

  private String methodType(int index) {
    return name(index);
  }
}
