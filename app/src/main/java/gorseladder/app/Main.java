package gorseladder.app;

import gorseladder.app.bench.BenchCommand;
import gorseladder.app.log.LogProvider;
import gorseladder.node.NodeMain;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line. The {@code EXIT_} constants are its exit codes. */
@Command(
    name = "gorseladder",
    mixinStandardHelpOptions = true,
    versionProvider = Main.Version.class,
    description =
        "A gateway that runs signed webhook calls on workers that load functions on demand.",
    subcommands = {
      DemoCommand.class,
      UpCommand.class,
      EdgeCommand.class,
      CheckCommand.class,
      RunnerCommand.class,
      PlayCommand.class,
      SignCommand.class,
      HistoryCommand.class,
      PlannerCommand.class,
      NodeCommand.class,
      RehearseCommand.class,
      AccountCommand.class,
      EmulateCommand.class,
      ExperimentCommand.class,
      ScaleCommand.class,
      SoakCommand.class,
      ReplayCommand.class,
      SabotageCommand.class,
      Main.VersionCommand.class,
      BenchCommand.class,
      CommandLine.HelpCommand.class
    },
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {
      "0:good",
      "1:a rule was broken or a check failed",
      "2:bad usage or settings",
      "3:cannot start or failed"
    })
public final class Main {
  static final int EXIT_OK = 0;
  static final int EXIT_CHECK_FAILED = 1;
  static final int EXIT_BAD_USAGE = 2;
  static final int EXIT_CANNOT_START = 3;

  private Main() {}

  /** Runs a command and exits with its code. */
  public static void main(String[] args) throws InterruptedException {
    LogProvider.install();
    // A dispatcher starts on a fraction of a core and in little memory, so that it does not load
    // picocli.
    System.exit(args.length == 1 && args[0].equals(NodeCommand.NAME) ? NodeMain.run() : run(args));
  }

  /**
   * Runs a command and returns its exit code. An unknown command is bad usage whatever follows it, also {@code --help}.
   */
  static int run(String... args) {
    CommandLine commandLine = new CommandLine(new Main());
    if (args.length > 0
        && !args[0].startsWith("-")
        && !commandLine.getSubcommands().containsKey(args[0])) {
      commandLine
          .getErr()
          .println("gorseladder: there is no command '" + args[0] + "'; --help lists them");
      return EXIT_BAD_USAGE;
    }
    commandLine.setExecutionExceptionHandler((e, command, parsed) -> {
      command.getErr().println("gorseladder: " + (e.getMessage() == null ? e : e.getMessage()));
      return EXIT_CANNOT_START;
    });
    return commandLine.execute(args);
  }

  /** The versions of this program and of the Java runtime. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      return new String[] {"gorseladder 0.2.0, Java " + Runtime.version()};
    }
  }

  /** {@code version}: prints the versions. */
  @Command(name = "version", mixinStandardHelpOptions = true, description = "Print the version.")
  static final class VersionCommand implements Runnable {
    @Override
    public void run() {
      System.out.println(new Version().getVersion()[0]);
    }
  }
}
