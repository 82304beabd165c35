package gorseladder.app;

import gorseladder.wire.webhook.Delivery;
import gorseladder.wire.webhook.Secret;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code sign}: prints the signature headers of a webhook, for manual calls. */
@Command(
    name = "sign",
    mixinStandardHelpOptions = true,
    description =
        "Print the three headers that sign a payload, one a line; the payload is a file or standard input.")
final class SignCommand implements Callable<Integer> {
  @Option(names = "--secret", required = true, description = "whsec_… or whsk_…")
  private String secret;

  @Option(names = "--id", required = true, description = "The message id; a retry keeps it.")
  private String id;

  @Option(names = "--timestamp", description = "Seconds since 1970 (default: now).")
  private Long timestamp;

  @Parameters(
      paramLabel = "FILE",
      arity = "0..1",
      description = "The payload (default: standard input).")
  private Path file;

  @Override
  public Integer call() throws IOException {
    byte[] body = file == null ? System.in.readAllBytes() : Files.readAllBytes(file);
    long sentAtSeconds = timestamp == null ? System.currentTimeMillis() / 1000 : timestamp;
    try {
      String signature = Secret.parse(secret).sign(id, sentAtSeconds, body);
      System.out.println(Delivery.ID + ": " + id);
      System.out.println(Delivery.TIMESTAMP + ": " + sentAtSeconds);
      System.out.println(Delivery.SIGNATURE + ": " + signature);
      return Main.EXIT_OK;
    } catch (IllegalArgumentException | IllegalStateException e) {
      System.err.println("gorseladder: --secret: " + e.getMessage());
      return Main.EXIT_BAD_USAGE;
    }
  }
}
