package basaltlever.cli;

import basaltlever.config.InvalidSettingsException;
import basaltlever.config.OperatorFile;
import basaltlever.log.Event;
import basaltlever.net.Router;
import basaltlever.time.Span;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.Semaphore;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Starts the router of a process, handles signals and waits for the router to stop. Separate from
 * the class of the options, since parsing the command line loads all types in that class's methods.
 */
final class RouterProcess {
  /** The provider of plain text log lines. */
  private static final String PLAIN_LOG = "org.slf4j.simple.SimpleServiceProvider";

  /** The provider of JSON log lines. */
  private static final String JSON_LOG = "ch.qos.logback.classic.spi.LogbackServiceProvider";

  private static final String LOG_PROVIDER = "slf4j.provider";
  private static final String LOG_VERBOSITY = "slf4j.internal.verbosity";
  private static final String NETTY_RECORDINGS = "io.netty.jfr.enabled";
  private static final String NETTY_LEAK_DETECTION = "io.netty.leakDetection.level";

  private final String file;
  private final String operator;
  private final Integer traceMillis;

  /**
   * Prepares a router.
   *
   * @param file the start file; null if none is given
   * @param operator the operator's file; null if none is given
   * @param traceMillis traces statements that take at least this many milliseconds; null for none
   */
  RouterProcess(String file, String operator, Integer traceMillis) {
    this.file = file;
    this.operator = operator;
    this.traceMillis = traceMillis;
  }

  /** Runs until the router has stopped; returns the exit code. */
  int run(PrintStream err) throws InterruptedException {
    // Installed first, since the Java runtime exits on SIGHUP without a handler. A signal that
    // arrives during the start is handled after it.
    Semaphore reloads = new Semaphore(0);
    boolean hangupIgnored = HangupSignal.handle(reloads::release);
    if (traceMillis != null && traceMillis < 0) {
      err.println("basaltlever: --follow takes milliseconds, 0 or more, not " + traceMillis);
      return ExitCode.MISUSED;
    }
    if (file == null) {
      err.println("basaltlever: no start file: set GW_CONFIG or give --file");
      return ExitCode.MISUSED;
    }
    OperatorFile operatorFile = null;
    if (operator != null) {
      try {
        operatorFile = OperatorFile.read(Path.of(operator));
      } catch (InvalidSettingsException fault) {
        return reportFault(fault, err);
      }
    }
    return serve(operatorFile, reloads, hangupIgnored, err);
  }

  @SuppressWarnings("IllegalCatch") // Any failure to start is reported in one line.
  private int serve(
      OperatorFile operatorFile, Semaphore reloads, boolean hangupIgnored, PrintStream err)
      throws InterruptedException {
    Router router = createRouter(operatorFile);
    if (hangupIgnored) {
      Event.SIGNAL_IGNORED.log(
          LoggerFactory.getLogger(Main.class),
          Level.WARN,
          "the parent process set this signal to be ignored; settings can't be reloaded by signal",
          "HUP");
    }
    Thread shutdown = new Thread(() -> shutDown(router), "drain");
    Runtime.getRuntime().addShutdownHook(shutdown);
    try {
      router.start(Path.of(file), operatorFile);
    } catch (InvalidSettingsException | RuntimeException fault) {
      try {
        Runtime.getRuntime().removeShutdownHook(shutdown);
      } catch (IllegalStateException ending) {
        // The process is already shutting down; the failure to start is still reported.
      }
      return reportFault(fault, err);
    }
    Thread reload = new Thread(() -> reloadOnRequest(router, reloads), "reload");
    reload.setDaemon(true);
    reload.start();
    router.awaitStop();
    return ExitCode.OK;
  }

  private Router createRouter(OperatorFile operatorFile) {
    setLogProvider(operatorFile != null && operatorFile.logsJson() ? JSON_LOG : PLAIN_LOG);
    configureNetty();
    Router router = new Router();
    router.traceStatementsSlowerThan(traceMillis == null ? null : Span.ofMillis(traceMillis));
    return router;
  }

  private static void shutDown(Router router) {
    router.drain();
    try {
      router.awaitStop();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    // Without this, the exit code would state the signal and not a clean shutdown.
    Runtime.getRuntime().halt(ExitCode.OK);
  }

  private static void reloadOnRequest(Router router, Semaphore reloads) {
    while (true) {
      reloads.acquireUninterruptibly();
      reloads.drainPermits();
      try {
        router.reload();
      } catch (InterruptedException ended) {
        return;
      }
    }
  }

  private static int reportFault(Exception fault, PrintStream err) {
    err.println(
        "basaltlever: " + String.valueOf(fault.getMessage()).replace("\n", "\nbasaltlever: "));
    return ExitCode.MISUSED;
  }

  /** Sets the system properties of a router process that the command line does not set. */
  static void configureRuntime() {
    setLogProvider(PLAIN_LOG);
    configureNetty();
  }

  /** Sets the logging provider; must be called before the first log line. */
  private static void setLogProvider(String provider) {
    if (System.getProperty(LOG_PROVIDER) == null) {
      System.setProperty(LOG_PROVIDER, provider);
      System.setProperty(LOG_VERBOSITY, "WARN");
    }
  }

  /**
   * Disables Netty's flight recorder events and leak detection, which would cost a fifth of the CPU
   * time of a start (docs/performance.md).
   */
  private static void configureNetty() {
    setDefault(NETTY_RECORDINGS, "false");
    setDefault(NETTY_LEAK_DETECTION, "disabled");
  }

  private static void setDefault(String property, String value) {
    if (System.getProperty(property) == null) {
      System.setProperty(property, value);
    }
  }
}
