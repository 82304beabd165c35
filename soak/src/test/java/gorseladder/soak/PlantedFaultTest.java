package gorseladder.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A planted fault replaces a piece of source text; a later change of the source can remove that text, which happened to
 * two faults.
 */
class PlantedFaultTest {
  private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

  @ParameterizedTest
  @EnumSource
  void theLineThatItChangesIsThere(PlantedFault fault) throws Exception {
    assertTrue(fault.canBePlanted(ROOT), fault + " has lost its line");
  }
}
