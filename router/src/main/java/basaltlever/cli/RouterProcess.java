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
 * The process of a running router: starts it, handles its signals and waits for its end. Apart from
 * the options' class, whose methods' types are all loaded when the command line is parsed.
 */
final class RouterProcess {
  /** Log lines of plain text. */
  private static final String PLAIN_LOG = "org.slf4j.simple.SimpleServiceProvider";

  /** Log lines of JSON. */
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
   * @param file the start file; null where none is given
   * @param operator the operator's file; null where none is given
   * @param traceMillis traces statements that take this many milliseconds; null for none
   */
  RouterProcess(String file, String operator, Integer traceMillis) {
    this.file = file;
    this.operator = operator;
    this.traceMillis = traceMillis;
  }

  /** Runs until the router has ended; returns the exit code. */
  int run(PrintStream err) throws InterruptedException {
    // First of all: without a handler the runtime ends on this signal, and starting takes its time.
    // One that arrives during the start is handled after it.
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

  @SuppressWarnings("IllegalCatch") // Whatever keeps a router from starting is told as one line.
  private int serve(
      OperatorFile operatorFile, Semaphore reloads, boolean hangupIgnored, PrintStream err)
      throws InterruptedException {
    Router router = createRouter(operatorFile);
    if (hangupIgnored) {
      Event.SIGNAL_IGNORED.log(
          LoggerFactory.getLogger(Main.class),
          Level.WARN,
          "it was started that way, and the runtime keeps to it: no reload will be heard",
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
        // Told to end at this very moment: why it did not start is told all the same.
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
    // By itself, a runtime that ends on a signal reports the signal and not a clean shutdown.
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

  /** Sets the system properties of a process with a router, where the command line sets none. */
  static void configureRuntime() {
    setLogProvider(PLAIN_LOG);
    configureNetty();
  }

  /** Chooses the form of log lines; to be called before the first one. */
  private static void setLogProvider(String provider) {
    if (System.getProperty(LOG_PROVIDER) == null) {
      System.setProperty(LOG_PROVIDER, provider);
      System.setProperty(LOG_VERBOSITY, "WARN");
    }
  }

  /**
   * Switches off Netty's recording events and leak detection, which would cost a fifth of a start's
   * processor time (docs/performance.md).
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
