package gorseladder.app.archive;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

class ClassFileTest {
  /** Holds lambdas that this test does not run. */
  private static final class Sample {
    private Sample(String text) {}

    static Supplier<String> captures(String text, int number, long large, double[] list) {
      return () -> text + number + large + list;
    }

    static Function<String, Sample> refersToAConstructor() {
      return Sample::new;
    }

    static Function<String, String> refersToAMethod() {
      return String::strip;
    }
  }

  /** Guards against lines that match no site: the JVM skips them and generates the lambda at run time. */
  @Test
  void namesEverySiteAsTheMachineDoes() throws IOException {
    List<String> lines;
    try (InputStream in = Sample.class.getResourceAsStream("ClassFileTest$Sample.class")) {
      lines = ClassFile.read(in).lambdaLines();
    }
    String sample = "gorseladder/app/archive/ClassFileTest$Sample";
    for (String line : List.of(
        "@lambda-proxy " + sample
            + " get (Ljava/lang/String;IJ[D)Ljava/util/function/Supplier; ()Ljava/lang/Object;"
            + " REF_invokeStatic " + sample
            + " lambda$captures$0 (Ljava/lang/String;IJ[D)Ljava/lang/String;"
            + " ()Ljava/lang/String;",
        "@lambda-proxy " + sample
            + " apply ()Ljava/util/function/Function; (Ljava/lang/Object;)Ljava/lang/Object;"
            + " REF_newInvokeSpecial " + sample
            + " <init> (Ljava/lang/String;)V (Ljava/lang/String;)L" + sample + ";",
        "@lambda-proxy " + sample
            + " apply ()Ljava/util/function/Function; (Ljava/lang/Object;)Ljava/lang/Object;"
            + " REF_invokeVirtual java/lang/String strip ()Ljava/lang/String; (Ljava/lang/String;)Ljava/lang/String;",
        "@lambda-form-invoker [LF_RESOLVE] java.lang.invoke.DirectMethodHandle$Holder newInvokeSpecial LLIJL_L",
        "@lambda-form-invoker [LF_RESOLVE] java.lang.invoke.Invokers$Holder linkToTargetMethod LIJLL_L",
        "@lambda-form-invoker [LF_RESOLVE] java.lang.invoke.DirectMethodHandle$Holder invokeSpecial L3IJL_L",
        "@lambda-form-invoker [LF_RESOLVE] java.lang.invoke.DirectMethodHandle$Holder invokeSpecial LL_L")) {
      assertTrue(lines.contains(line), () -> "missing: " + line + "\n" + String.join("\n", lines));
    }
  }
}
