package gorseladder.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A planted fault changes a line by its text: two had lost theirs to later changes and could not be planted any more.
 */
class PlantedFaultTest {
  private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

  @ParameterizedTest
  @EnumSource
  void theLineThatItChangesIsThere(PlantedFault fault) throws Exception {
    assertTrue(fault.canBePlanted(ROOT), fault + " has lost its line");
  }
}
