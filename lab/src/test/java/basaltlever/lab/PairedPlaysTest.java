package basaltlever.lab;

import com.beust.jcommander.JCommander;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;
import net.jqwik.api.Example;

/** Uses a benchmark script that writes the row which lies in the checkout it is started in. */
class PairedPlaysTest {
  private static final String BENCH_SCRIPT =
      """
        #!/bin/sh
        while [ "$1" != --json ]; do [ "$1" = --seed ] && seed=$2; shift; done
        echo "$seed" >> order
        [ -f row ] && sed "s/SEED/$seed/g" row > "$2" || echo "no build"
        """;

  private int exitCode;

  private String play(Path folder, String rowA, String rowB) throws Exception {
    Path bench = Files.writeString(folder.resolve("bench"), BENCH_SCRIPT);
    check(bench.toFile().setExecutable(true), "the benchmark is executable");
    for (String name : new String[] {"a", "b"}) {
      Path checkout = Files.createDirectories(folder.resolve(name));
      String row = name.equals("a") ? rowA : rowB;
      if (row != null) {
        Files.writeString(checkout.resolve("row"), row);
      }
    }
    PairedPlaysCommand command = new PairedPlaysCommand();
    JCommander.newBuilder()
        .addObject(command)
        .build()
        .parse(
            "--bench",
            bench.toString(),
            "--site",
            bench.toString(),
            "--days",
            "calm,rude",
            "--seeds",
            "1,2,3",
            folder.resolve("a").toString(),
            folder.resolve("b").toString());
    PrintStream out = System.out;
    PrintStream err = System.err;
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    try {
      System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
      System.setErr(System.out);
      exitCode = command.run();
    } finally {
      System.setOut(out);
      System.setErr(err);
    }
    return output.toString(StandardCharsets.UTF_8);
  }

  @Example
  void differenceIsComputedFromPairsAndFailedPlaysAreReported() throws Exception {
    String row = "{\"row\":{\"score\":%s,\"rules\":{\"lost\":%d},\"fault\":null,\"seed\":SEED}}";
    Path folder = Files.createTempDirectory("paired");
    // The seed changes A and B alike, so that the standard error of the difference is 0.
    String output = play(folder, row.formatted("0.SEED", 0), row.formatted("0.SEED5", 0));
    Pattern summaryRow = Pattern.compile("all +6 +0[.]200 +0[.]250 +[+]0[.]050 +0[.]000");
    check(exitCode == 0 && summaryRow.matcher(output).find(), exitCode + output);
    check(
        Files.readString(folder.resolve("a/order")).equals("1\n2\n3\n1\n2\n3\n"),
        "one play for each seed and scenario");

    folder = Files.createTempDirectory("paired");
    output = play(folder, row.formatted("0.5", 0), row.formatted("0.5", 2));
    check(
        exitCode == 1 && output.contains("BROKEN") && output.contains("lost=2"),
        "exit code 1 for a broken rule: " + output);

    output = play(Files.createTempDirectory("paired"), row.formatted("0.5", 0), null);
    check(
        exitCode == 2 && output.contains("left no row") && output.contains("no build"),
        "exit code 2 and the output of the benchmark: " + output);
  }

  private static void check(boolean condition, String expectation) {
    if (!condition) {
      throw new AssertionError(expectation);
    }
  }
}
