package review;

import java.nio.file.Path;

/** Settings of an edge, after the program's example; {@code more} adds to them. */
final class Settings {
  private Settings() {}

  static String edge(Path folder, WorkerList list, String more) {
    return String.join(
        "\n",
        "listen: \"127.0.0.1:0\"",
        "data_directory: \"" + folder.resolve("data") + "\"",
        "request_class { name: \"read\" effect: SAFE aim_ms: 1000 deadline_ms: 5000 worth: 3 }",
        "request_class { name: \"issue\" effect: UNSAFE aim_ms: 2000 deadline_ms: 10000 worth: 5 }",
        "tenant { name: \"office\" share: 1 }",
        "endpoint {",
        "  path: \"/hooks/office\"",
        "  tenant: \"office\"",
        "  secret: \"" + Sender.SECRET + "\"",
        "  route { type: \"hours.read\" request_class: \"read\" function: \"hours\" }",
        "  route { type: \"certificate.issued\" request_class: \"issue\" function: \"certificates\" }",
        "}",
        "runners { loads_on_miss: true cancelling: true }",
        "rules { drain_grace_ms: 500 cold_ms: 18000 }",
        "worker_list { address: \"" + list.address() + "\" service: \"runners\" }",
        "log { form: JSON level: \"INFO\" }",
        more,
        "");
  }
}
