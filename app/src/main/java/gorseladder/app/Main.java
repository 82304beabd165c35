package gorseladder.app;

import gorseladder.app.bench.BenchCommand;
import gorseladder.app.log.LogProvider;
import gorseladder.node.NodeMain;
import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * The command line. Exit codes: 0 good, 1 a rule was broken or a check failed, 2 bad usage or settings, 3 cannot start.
 */
@Command(
    name = "gorseladder",
    mixinStandardHelpOptions = true,
    versionProvider = Main.Version.class,
    description =
        "A gateway that runs signed webhook calls on workers that load functions on demand.",
    subcommands = {
      Demo.class,
      Up.class,
      EdgeCommand.class,
      Check.class,
      RunnerCommand.class,
      PlayCommand.class,
      Sign.class,
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
  static final int GOOD = 0;
  static final int BROKEN = 1;
  static final int BAD_USAGE = 2;
  static final int CANNOT_START = 3;

  private Main() {}

  /** Runs a command and exits with its code. */
  public static void main(String[] args) throws InterruptedException {
    LogProvider.choose();
    System.exit(args.length == 1 ? runAlone(args[0]) : run(args));
  }

  /**
   * Runs a command given without options. A dispatcher starts on a part of a core, in little memory: the command line's
   * library stays out of its way, and out of the archive of classes that its rehearsal writes.
   */
  private static int runAlone(String command) throws InterruptedException {
    return switch (command) {
      case NodeCommand.NAME -> NodeMain.run();
      case RehearseCommand.NAME -> rehearse();
      default -> run(command);
    };
  }

  private static int rehearse() {
    try {
      return new RehearseCommand().call();
    } catch (Exception e) {
      return failed(e, new PrintWriter(System.err, true));
    }
  }

  private static int failed(Exception e, PrintWriter err) {
    err.println("gorseladder: " + (e.getMessage() == null ? e : e.getMessage()));
    return CANNOT_START;
  }

  /** Runs a command and returns its code. A first word that is no command is bad usage, whatever stands behind it. */
  static int run(String... args) {
    CommandLine line = new CommandLine(new Main());
    if (args.length > 0
        && !args[0].startsWith("-")
        && !line.getSubcommands().containsKey(args[0])) {
      line.getErr()
          .println("gorseladder: there is no command '" + args[0] + "'; --help lists them");
      return BAD_USAGE;
    }
    line.setExecutionExceptionHandler((e, command, parsed) -> failed(e, command.getErr()));
    return line.execute(args);
  }

  /** The version from the package, or the one being built. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      return new String[] {"gorseladder 0.2.0, Java " + Runtime.version()};
    }
  }

  /** {@code version}. */
  @Command(name = "version", mixinStandardHelpOptions = true, description = "Print the version.")
  static final class VersionCommand implements Runnable {
    @Override
    public void run() {
      System.out.println(new Version().getVersion()[0]);
    }
  }
}
