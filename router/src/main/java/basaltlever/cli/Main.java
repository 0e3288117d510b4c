package basaltlever.cli;

import basaltlever.adapter.Adapter;
import basaltlever.adapter.MalformedFrameException;
import basaltlever.config.InvalidSettingsException;
import basaltlever.config.OperatorFile;
import basaltlever.config.StartFile;
import basaltlever.log.Event;
import basaltlever.net.Router;
import basaltlever.time.Span;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/** The command line: picks what stands in front of the decisions. */
public final class Main {
  private static final int MISUSED = 2;
  private static final String PROVIDER = "slf4j.provider";
  private static final String PLAIN = "org.slf4j.simple.SimpleServiceProvider";
  private static final String JSON = "ch.qos.logback.classic.spi.LogbackServiceProvider";

  private Main() {}

  @Parameters(commandDescription = "Runs the router that the start file describes")
  private static final class Serve {
    @Parameter(names = "--file", description = "start file; $GW_CONFIG where it is not given")
    private String file = System.getenv("GW_CONFIG");

    @Parameter(
        names = "--operator",
        description = "the operator's own file, INI; none where it is not given")
    private String operator;

    @Parameter(
        names = "--follow",
        description = "logs the life of each statement that takes so many milliseconds or more")
    private Integer follow;
  }

  @Parameters(commandDescription = "Reads a start file and names all that is wrong with it")
  private static final class Check {
    @Parameter(description = "FILE", required = true)
    private List<String> files = new ArrayList<>();

    @Parameter(names = "--operator", description = "an operator's file to check as well")
    private String operator;
  }

  @Parameters(commandDescription = "Starts a router, has it answer one statement and stops it")
  private static final class Rehearse {
    @Parameter(description = "FILE", required = true)
    private String file;

    @Parameter(names = "--workload", description = "name of the statement's workload")
    private String workload = "list";
  }

  @Parameters(commandDescription = "Speaks the simulator's wire on standard input and output")
  private static final class Bench {}

  @Parameters(commandDescription = "What a router has kept: state show, verify, diff")
  private static final class State {}

  @Parameters(commandDescription = "Planned changes of primary: switch announce, status, cancel")
  private static final class Switch {}

  @Parameters(
      commandDescription = "Versions of a fleet's settings: propose, revert, status, history")
  private static final class Settings {}

  @Parameters(commandDescription = "Who is there in a fleet: fleet status")
  private static final class FleetOf {}

  @Parameters(commandDescription = "Prints the version")
  private static final class Version {}

  @Parameters(commandDescription = "Prints this page")
  private static final class Help {}

  public static void main(String[] args) throws InterruptedException, IOException {
    if (args.length == 1 && args[0].equals("serve")) {
      // Nothing to read: a router that is started again, while its clients wait, is spared the
      // reading.
      serve(System.getenv("GW_CONFIG"), null, null);
      return;
    }
    Serve serve = new Serve();
    Check check = new Check();
    Rehearse rehearse = new Rehearse();
    JCommander line =
        JCommander.newBuilder().programName("basaltlever").addCommand("serve", serve).build();
    StateCommand state = new StateCommand();
    SwitchCommand change = new SwitchCommand();
    FleetCommand fleet = new FleetCommand();
    if (args.length == 0 || !args[0].equals("serve")) {
      // Each is looked through by reflection: a router that starts, again and again, needs none of
      // them.
      line.addCommand("check", check);
      line.addCommand("rehearse", rehearse);
      line.addCommand("adapter", new Bench());
      line.addCommand("state", new State());
      line.addCommand("switch", new Switch());
      line.addCommand("settings", new Settings());
      line.addCommand("fleet", new FleetOf());
      line.addCommand("version", new Version());
      line.addCommand("help", new Help());
      state.joins(line);
      change.joins(line);
      fleet.joins(line);
    }
    try {
      line.parse(args);
    } catch (ParameterException fault) {
      System.err.println("basaltlever: " + fault.getMessage());
      line.usage();
      System.exit(MISUSED);
    }
    String command = line.getParsedCommand();
    boolean extra =
        serve.operator != null
            || check.operator != null
            || "state".equals(command)
            || "settings".equals(command)
            || "fleet".equals(command);
    if (extra && !OperatorLibraries.areHere()) {
      OperatorLibraries.mainWith(args);
      return;
    }
    switch (command == null ? "" : command) {
      case "serve" -> serve(serve.file, serve.operator, serve.follow);
      case "check" -> check(check.files, check.operator);
      case "rehearse" -> rehearse(rehearse.file, rehearse.workload);
      case "adapter" -> adapter();
      case "state" -> System.exit(state.run(System.out, System.err));
      case "settings", "fleet" -> System.exit(fleet.run(command, System.out, System.err));
      case "switch" -> System.exit(change.run(System.out, System.err));
      case "version" ->
          System.out.println("basaltlever " + Main.class.getPackage().getImplementationVersion());
      case "help" -> line.usage();
      default -> {
        line.usage();
        System.exit(MISUSED);
      }
    }
  }

  private static void serve(String file, String operator, Integer follow)
      throws InterruptedException {
    // Before anything else: left to itself, the runtime ends on this signal, and all that is set up
    // from here
    // on takes its time. One that comes while starting is heard afterwards.
    Semaphore asked = new Semaphore(0);
    boolean deaf = HangupSignal.handle(asked::release);
    if (follow != null && follow < 0) {
      System.err.println("basaltlever: --follow takes milliseconds, 0 or more, not " + follow);
      System.exit(MISUSED);
    }
    if (file == null) {
      System.err.println("basaltlever: no start file: set GW_CONFIG or give --file");
      System.exit(MISUSED);
    }
    OperatorFile with = null;
    if (operator != null) {
      try {
        with = OperatorFile.read(Path.of(operator));
      } catch (InvalidSettingsException fault) {
        refuse(fault);
      }
    }
    logsBy(with != null && with.logsJson() ? JSON : PLAIN);
    startsLean();
    Router router = new Router();
    router.follow(follow == null ? null : Span.ofMillis(follow));
    if (deaf) {
      Event.SIGNAL_IGNORED.log(
          LoggerFactory.getLogger(Main.class),
          Level.WARN,
          "it was started that way, and the runtime keeps to it: no reload will be heard",
          "HUP");
    }
    Thread drain =
        new Thread(
            () -> {
              router.drain();
              try {
                router.awaitStop();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
              // Left to itself, a runtime that ends on a signal reports the signal, not that all
              // was answered.
              Runtime.getRuntime().halt(0);
            },
            "drain");
    Runtime.getRuntime().addShutdownHook(drain);
    try {
      router.start(Path.of(file), with);
    } catch (InvalidSettingsException | RuntimeException fault) {
      try {
        Runtime.getRuntime().removeShutdownHook(drain);
      } catch (IllegalStateException ends) {
        // Told to end in that very moment: what could not be set up is told all the same.
      }
      refuse(fault);
    }
    Thread reload =
        new Thread(
            () -> {
              while (true) {
                asked.acquireUninterruptibly();
                asked.drainPermits();
                try {
                  router.reload();
                } catch (InterruptedException ended) {
                  return;
                }
              }
            },
            "reload");
    reload.setDaemon(true);
    reload.start();
    router.awaitStop();
  }

  private static void refuse(Exception fault) {
    System.err.println(
        "basaltlever: " + String.valueOf(fault.getMessage()).replace("\n", "\nbasaltlever: "));
    System.exit(MISUSED);
  }

  /** To be said before the first line is logged; what the command line itself says goes first. */
  private static void logsBy(String provider) {
    if (System.getProperty(PROVIDER) == null) {
      System.setProperty(PROVIDER, provider);
      System.setProperty("slf4j.internal.verbosity", "WARN");
    }
  }

  /**
   * Events for recordings and the hunt for leaks are set up by Netty before its first buffer, for a
   * fifth of a start's processor time (docs/performance.md). Whoever wants them says so on the
   * command line.
   */
  private static void startsLean() {
    for (String[] property :
        new String[][] {
          {"io.netty.jfr.enabled", "false"}, {"io.netty.leakDetection.level", "disabled"}
        }) {
      if (System.getProperty(property[0]) == null) {
        System.setProperty(property[0], property[1]);
      }
    }
  }

  private interface Reading {
    void read() throws InvalidSettingsException;
  }

  private static void check(List<String> files, String operator) {
    boolean sound =
        operator == null || isSound(operator, () -> OperatorFile.read(Path.of(operator)));
    for (String file : files) {
      sound &= isSound(file, () -> StartFile.read(Path.of(file)));
    }
    System.exit(sound ? 0 : MISUSED);
  }

  private static boolean isSound(String file, Reading reading) {
    try {
      reading.read();
      System.out.println(file + " is sound");
      return true;
    } catch (InvalidSettingsException fault) {
      System.err.println(fault.getMessage());
      return false;
    }
  }

  private static void rehearse(String file, String workload) throws InterruptedException {
    logsBy(PLAIN);
    startsLean();
    try {
      System.out.println("answered: " + Rehearsal.run(Path.of(file), workload));
    } catch (InvalidSettingsException | IOException fault) {
      System.err.println("basaltlever: " + fault.getMessage());
      System.exit(MISUSED);
    }
  }

  private static void adapter() {
    try {
      new Adapter(System.in, System.out).run();
    } catch (MalformedFrameException | IOException fault) {
      System.err.println("basaltlever: " + fault.getMessage());
      System.exit(1);
    }
  }
}
