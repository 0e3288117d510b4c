package basaltlever.lab.endtoend;

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

/** A short soak of a fixed seed, the shim that it uses, and what its commands refuse. */
class SoakTest {
  private static final long SEED = 39;
  private static final double SECONDS = 40;
  private static final long HOUR_MILLIS = 3_600_000;

  private static void check(boolean holds, String what) {
    if (!holds) {
      throw new AssertionError(what);
    }
  }

  /** Printed, so that a run without the faults of the shim is never taken for a whole one. */
  private static Path library() throws IOException, InterruptedException {
    Path library = FaultShim.build(Files.createTempDirectory("shim"));
    if (library == null) {
      System.out.println(
          "SKIPPED 1: no compiler (cc) on this machine: faults of clocks and system calls");
    }
    return library;
  }

  @Example
  void noRuleBreaksUnderSeededFaults() throws Exception {
    try (SoakDay day = new SoakDay(SEED, SECONDS, null, library())) {
      Map<String, Object> told = day.play();
      for (String rule :
          List.of(
              "lost",
              "lost_resting",
              "overdue",
              "drain_late",
              "doubled",
              "cold_toppled",
              "deadline",
              "crashed")) {
        check(told.get(rule).equals(0), rule + ": " + told);
      }
      check((int) told.get("statements") > 300, "there was traffic: " + told);
      check((double) told.get("served_share") > 0.3, "and it was served: " + told);
    }
  }

  /** Says what the wall clock is and whether a file below a folder can be written. */
  public static final class Child {
    private Child() {}

    public static void main(String[] args) throws Exception {
      System.out.println(System.currentTimeMillis());
      System.out.println(System.nanoTime());
      try {
        Files.writeString(Path.of(args[0], "file"), "text");
        System.out.println("written");
      } catch (IOException fails) {
        System.out.println("not written");
      }
    }
  }

  @Example
  void theShimStepsTheWallClockAloneAndFailsWritesBelowItsFolderAlone() throws Exception {
    Path library = library();
    if (library == null) {
      return;
    }
    Path folder = Files.createTempDirectory("watched");
    Path other = Files.createTempDirectory("other");
    FaultShim shim = FaultShim.open(library, folder.resolve("control"), folder, SEED);
    shim.wallClock(HOUR_MILLIS);
    shim.fails(FaultShim.Call.FILE_WRITE, 1_000_000);
    List<String> below = child(shim, folder);
    long off = Long.parseLong(below.get(0)) - Instant.now().toEpochMilli();
    check(off > HOUR_MILLIS - 20_000 && off <= HOUR_MILLIS, "an hour ahead: " + off);
    check(
        Math.abs(Long.parseLong(below.get(1)) - System.nanoTime()) < 20_000_000_000L,
        "the monotonic clock is as it was");
    check(below.get(2).equals("not written"), "below the folder: " + below);
    check(child(shim, other).get(2).equals("written"), "elsewhere");
    shim.allWell();
    check(child(shim, folder).get(2).equals("written"), "and again");
  }

  private static List<String> child(FaultShim shim, Path folder)
      throws IOException, InterruptedException {
    ProcessBuilder builder =
        new ProcessBuilder(
            System.getProperty("java.home") + "/bin/java",
            "-cp",
            System.getProperty("java.class.path"),
            Child.class.getName(),
            folder.toString());
    builder.environment().putAll(shim.environment());
    Process process = builder.start();
    String said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    check(
        process.waitFor() == 0,
        new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8));
    return said.lines().toList();
  }

  private static String refused(String... arguments) throws Exception {
    Soak soak = new Soak();
    JCommander.newBuilder().addObject(soak).build().parse(arguments);
    PrintStream before = System.err;
    ByteArrayOutputStream said = new ByteArrayOutputStream();
    System.setErr(new PrintStream(said, true, StandardCharsets.UTF_8));
    try {
      check(soak.run(figures -> check(false, "nothing is played")) == 2, "bad input");
    } finally {
      System.setErr(before);
    }
    return said.toString(StandardCharsets.UTF_8);
  }

  @Example
  void badInputIsRefusedWithItsKeyAndReason() throws Exception {
    check(
        refused("--minutes", "0").contains("--minutes is 0.0; it takes a number above 0"),
        "no time");
    check(refused("--seeds", "0").contains("--seeds is 0; it takes a number from 1"), "no seed");
    check(
        refused("--router-jar", "/nowhere.jar").contains("--router-jar is /nowhere.jar"), "no jar");
    for (String[] bad :
        new String[][] {
          {"servers=0", "servers can't be read: 0"},
          {"servers=many", "many"},
          {"router=2", "router is unknown"},
          {"rate", "rate can't be read"}
        }) {
      try {
        DayOptions.parse(List.of(bad[0]));
        check(false, "taken: " + bad[0]);
      } catch (InvalidOption fault) {
        check(fault.getMessage().contains(bad[1]), fault.getMessage());
      }
    }
  }
}
