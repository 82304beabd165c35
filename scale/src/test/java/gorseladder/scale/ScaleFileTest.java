package gorseladder.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Which scale files are accepted; an error names the field and the value. */
class ScaleFileTest {
  private static final long GIGABYTE = 1L << 30;
  private static final String SWEEP = "sweep { field: WORKERS value: [10, 40, 160, 640] }";

  @TempDir
  Path directory;

  private Path file(String text) throws IOException {
    return Files.writeString(directory.resolve("scale.txtpb"), text);
  }

  @Test
  void aSmallFileIsTakenAndHasASeed() throws IOException {
    assertEquals(1, ScaleFile.load(file(SWEEP), GIGABYTE, GIGABYTE).getSeed(0));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '#',
      value = {
        "sweep { field: WORKERS value: [10, 40, 160] }#sweep WORKERS: has 3 sizes, needs 4",
        "sweep { field: WORKERS value: [10, 20, 30, 40] }#sweep WORKERS: spans a factor of 4.0, needs 64",
        "sweep { field: WORKERS value: [10, 10, 20, 640] }#sweep WORKERS: sizes must grow",
        "sweep { field: WORKERS value: [1000, 4000, 16000, 9000000] }"
            + "#sweep WORKERS: 4 dispatchers with 9000000 workers",
        "base { dispatchers: 0 } sweep { field: WORKERS value: [10, 40, 160, 640] }"
            + "#dispatchers: is 0.0, must be positive",
        "base { weight_from: 2 weight_to: 1 } sweep { field: WORKERS value: [10, 40, 160, 640] }#weight_to: is below",
        "seed: 3#sweep: at least one is needed",
        "sweeps { }#scale.txtpb:1:1",
        "sweep { field: WORKERS value: [10, 40, 160, 640] } real { dispatchers: [301] }"
            + "#real dispatchers: 301 is over 300",
        "sweep { field: WORKERS value: [10, 40, 160, 640] } real { dispatchers: [250] }"
            + "#real dispatchers: 250 processes need",
        "sweep { field: WORKERS value: [10, 40, 160, 640] } real { workers: [-1] }#real workers: is -1.0"
      })
  void aFileThatCannotRunIsRefusedWithFieldAndFigure(String text, String error) throws IOException {
    Path file = file(text);
    Exception e = assertThrows(
        IllegalArgumentException.class, () -> ScaleFile.load(file, GIGABYTE, 16 * GIGABYTE));
    assertTrue(e.getMessage().contains(error), e.getMessage());
  }
}
