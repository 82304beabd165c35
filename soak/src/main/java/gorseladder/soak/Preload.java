package gorseladder.soak;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteOrder;
import java.nio.LongBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * The library that makes system calls of a process fail, steps its wall clock and makes its files fail; built from
 * {@code faults.c} by the machine's C compiler. Thread-safe.
 */
public final class Preload {
  private static final String SOURCE = "faults.c";

  private final Path library;

  private Preload(Path library) {
    this.library = library;
  }

  /** Builds the library in a folder; empty where the machine has no suitable compiler. */
  public static Optional<Preload> build(Path folder) throws IOException, InterruptedException {
    Path source = folder.resolve(SOURCE);
    try (InputStream text = Preload.class.getResourceAsStream(SOURCE)) {
      Files.copy(text, source, StandardCopyOption.REPLACE_EXISTING);
    }
    Path library = folder.resolve("faults.so");
    try {
      Process compiler = new ProcessBuilder(
              "cc",
              "-shared",
              "-fPIC",
              "-O2",
              "-DFAULT_SLOTS=" + slots(),
              "-o",
              library.toString(),
              source.toString(),
              "-ldl")
          .redirectErrorStream(true)
          .redirectOutput(folder.resolve("cc.log").toFile())
          .start();
      return compiler.waitFor() == 0 ? Optional.of(new Preload(library)) : Optional.empty();
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /** The names of all faults in order, for the slots of the library's source. */
  private static String slots() {
    return Arrays.stream(Fault.values()).map(Fault::name).collect(Collectors.joining(","));
  }

  /** What can be set for one process; the ordinals are the slots of the library's control file. */
  public enum Fault {
    WALL_OFFSET_MS,
    ACCEPT_RATE,
    ACCEPT_ERRNO,
    CONNECT_RATE,
    CONNECT_ERRNO,
    SOCKET_RATE,
    SOCKET_ERRNO,
    SHORT_RATE,
    INTERRUPT_RATE,
    BROKEN_RATE,
    BROKEN_ERRNO,
    DISK_WRITE_RATE,
    DISK_SYNC_RATE,
    DISK_REMOVE_RATE,
    DISK_ERRNO,
    THREAD_RATE,
    /** Thread starts fail from the one with this number on, counted from 1; 0 for none. */
    THREAD_FROM,
    /** How long thread starts fail after the first of these failures. */
    THREAD_FAILS_MS,
    OPEN_RATE,
    OPEN_ERRNO,
    SEED,
    INJECTED
  }

  /** Controls the faults of one process. */
  public static final class Control {
    private final Path file;
    private final LongBuffer values;

    private Control(Path file) throws IOException {
      this.file = file;
      int bytes = Fault.values().length * Long.BYTES;
      Files.write(file, new byte[bytes]);
      try (FileChannel channel =
          FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
        values = channel
            .map(FileChannel.MapMode.READ_WRITE, 0, bytes)
            .order(ByteOrder.nativeOrder())
            .asLongBuffer();
      }
    }

    /** Sets a rate in thousandths, an error number or a step in milliseconds; takes effect at once. */
    public void set(Fault fault, long value) {
      values.put(fault.ordinal(), value);
    }

    /** The number of calls that were made to fail so far. */
    public long injected() {
      return values.get(Fault.INJECTED.ordinal());
    }
  }

  /** Creates the control of one process in this file. */
  public Control control(Path file) throws IOException {
    return new Control(file);
  }

  /** The environment of a controlled process; {@code folder} holds the files that may fail, or is null. */
  public Map<String, String> environment(Control control, Path folder) {
    return Map.of(
        "LD_PRELOAD",
        library.toString(),
        "GORSELADDER_FAULTS",
        control.file.toString(),
        "GORSELADDER_FAULTS_FOLDER",
        folder == null ? "/nowhere/" : folder.toString());
  }
}
