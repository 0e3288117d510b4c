package basaltlever.lab.endtoend;

import basaltlever.lab.fleet.VersionSoak;
import com.beust.jcommander.JCommander;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;

/** A short soak run with a fixed seed, its fault shim, and the validation of its options. */
class SoakTest {
  private static final long SEED = 39;
  private static final long VERSION_SEED = 760;
  private static final double SECONDS = 40;
  private static final long HOUR_MILLIS = 3_600_000;

  private static void check(boolean condition, String message) {
    if (!condition) {
      throw new AssertionError(message);
    }
  }

  /** Reports a missing compiler, so that a run without the shim's faults is seen as incomplete. */
  private static Path buildShim() throws IOException, InterruptedException {
    Path library = FaultShim.build(Files.createTempDirectory("shim"));
    if (library == null) {
      System.out.println(
          "SKIPPED 1: no compiler (cc) on this machine: faults of clocks and system calls");
    }
    return library;
  }

  @Example
  void seededFaultsCauseNoViolations() throws Exception {
    try (SoakRun run = new SoakRun(SEED, SECONDS, null, buildShim())) {
      Map<String, Object> figures = run.run();
      for (String figure :
          List.of(
              "lost",
              "lost_resting",
              "overdue",
              "drain_late",
              "doubled",
              "cold_toppled",
              "deadline",
              "crashed")) {
        check(figures.get(figure).equals(0), figure + ": " + figures);
      }
      check((int) figures.get("statements") > 300, "more than 300 statements: " + figures);
      check((double) figures.get("served_share") > 0.3, "more than 30 % served: " + figures);
    }
  }

  /**
   * Guards against reads beyond what the version in force allows while another is prepared, by
   * router processes that are stopped, cut off and restarted.
   */
  @Example
  void preparedVersionsCauseNoStaleReads() throws Exception {
    Map<String, Object> figures = VersionSoak.run(VERSION_SEED, SECONDS, null);
    check(
        ((List<?>) figures.get("broken")).isEmpty(),
        figures.get("broken") + " " + figures.get("stale_reads") + " " + figures);
  }

  /** Prints both clocks and whether a file in the given folder can be written. */
  public static final class Probe {
    private Probe() {}

    public static void main(String[] args) throws Exception {
      System.out.println(System.currentTimeMillis());
      System.out.println(System.nanoTime());
      try {
        Files.writeString(Path.of(args[0], "file"), "text");
        System.out.println("written");
      } catch (IOException e) {
        System.out.println("not written");
      }
    }
  }

  @Example
  void shimStepsOnlyTheWallClockAndFailsOnlyWritesInItsFolder() throws Exception {
    Path library = buildShim();
    if (library == null) {
      return;
    }
    Path folder = Files.createTempDirectory("watched");
    Path other = Files.createTempDirectory("other");
    FaultShim shim = FaultShim.open(library, folder.resolve("control"), folder, SEED);
    shim.setWallClockOffset(HOUR_MILLIS);
    shim.setFailureRate(FaultShim.Call.FILE_WRITE, 1_000_000);
    List<String> insideFolder = runProbe(shim, folder);
    long offsetMillis = Long.parseLong(insideFolder.get(0)) - Instant.now().toEpochMilli();
    check(
        offsetMillis > HOUR_MILLIS - 20_000 && offsetMillis <= HOUR_MILLIS,
        "the wall clock is an hour ahead: " + offsetMillis);
    check(
        Math.abs(Long.parseLong(insideFolder.get(1)) - System.nanoTime()) < 20_000_000_000L,
        "the monotonic clock is unchanged");
    check(insideFolder.get(2).equals("not written"), "writes in the folder fail: " + insideFolder);
    check(runProbe(shim, other).get(2).equals("written"), "writes elsewhere succeed");
    shim.clearFailures();
    check(runProbe(shim, folder).get(2).equals("written"), "writes succeed after the reset");
  }

  private static List<String> runProbe(FaultShim shim, Path folder)
      throws IOException, InterruptedException {
    ProcessBuilder builder =
        new ProcessBuilder(
            System.getProperty("java.home") + "/bin/java",
            "-cp",
            System.getProperty("java.class.path"),
            Probe.class.getName(),
            folder.toString());
    builder.environment().putAll(shim.environment());
    Process process = builder.start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    check(
        process.waitFor() == 0,
        new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8));
    return output.lines().toList();
  }

  private static String errorOutput(String... arguments) throws Exception {
    Soak soak = new Soak();
    JCommander.newBuilder().addObject(soak).build().parse(arguments);
    PrintStream originalErr = System.err;
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    System.setErr(new PrintStream(output, true, StandardCharsets.UTF_8));
    try {
      check(soak.run(figures -> check(false, "no run is started")) == 2, "exit status 2");
    } finally {
      System.setErr(originalErr);
    }
    return output.toString(StandardCharsets.UTF_8);
  }

  @Example
  void invalidInputIsRejectedWithKeyAndReason() throws Exception {
    check(
        errorOutput("--minutes", "0").contains("--minutes is 0.0; it takes a number above 0"),
        "zero minutes are rejected");
    check(
        errorOutput("--seeds", "0").contains("--seeds is 0; it takes a number from 1"),
        "zero seeds are rejected");
    check(
        errorOutput("--router-jar", "/nowhere.jar").contains("--router-jar is /nowhere.jar"),
        "a missing jar is rejected");
    for (String[] invalid :
        new String[][] {
          {"servers=0", "servers can't be read: 0"},
          {"servers=many", "many"},
          {"router=2", "router is unknown"},
          {"rate", "rate can't be read"}
        }) {
      try {
        RunOptions.parse(List.of(invalid[0]));
        check(false, "accepted: " + invalid[0]);
      } catch (InvalidOptionException e) {
        check(e.getMessage().contains(invalid[1]), e.getMessage());
      }
    }
  }
}
