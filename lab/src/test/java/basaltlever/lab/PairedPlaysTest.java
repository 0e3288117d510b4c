package basaltlever.lab;

import com.beust.jcommander.JCommander;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;
import net.jqwik.api.Example;

/** With a bench of three lines that tells what lies in the checkout it is started in. */
class PairedPlaysTest {
  private static final String BENCH =
      """
        #!/bin/sh
        while [ "$1" != --json ]; do [ "$1" = --seed ] && seed=$2; shift; done
        echo "$seed" >> order
        [ -f row ] && sed "s/SEED/$seed/g" row > "$2" || echo "no build"
        """;

  private int code;

  private String play(Path folder, String rowA, String rowB) throws Exception {
    Path bench = Files.writeString(folder.resolve("bench"), BENCH);
    check(bench.toFile().setExecutable(true), "a program");
    for (String name : new String[] {"a", "b"}) {
      Path checkout = Files.createDirectories(folder.resolve(name));
      String row = name.equals("a") ? rowA : rowB;
      if (row != null) {
        Files.writeString(checkout.resolve("row"), row);
      }
    }
    PairedPlaysCommand plays = new PairedPlaysCommand();
    JCommander.newBuilder()
        .addObject(plays)
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
    ByteArrayOutputStream told = new ByteArrayOutputStream();
    try {
      System.setOut(new PrintStream(told, true, StandardCharsets.UTF_8));
      System.setErr(System.out);
      code = plays.run();
    } finally {
      System.setOut(out);
      System.setErr(err);
    }
    return told.toString(StandardCharsets.UTF_8);
  }

  @Example
  void theDifferenceIsTakenPairByPairWithItsNoise() throws Exception {
    String row = "{\"row\":{\"score\":%s,\"rules\":{\"lost\":%d},\"fault\":null,\"seed\":SEED}}";
    Path folder = Files.createTempDirectory("paired");
    // A moves by the seed and B with it, so nothing of that is noise.
    String told = play(folder, row.formatted("0.SEED", 0), row.formatted("0.SEED5", 0));
    Pattern row6 = Pattern.compile("all +6 +0[.]200 +0[.]250 +[+]0[.]050 +0[.]000");
    check(code == 0 && row6.matcher(told).find(), code + told);
    check(
        Files.readString(folder.resolve("a/order")).equals("1\n2\n3\n1\n2\n3\n"),
        "each seed once a day");

    folder = Files.createTempDirectory("paired");
    told = play(folder, row.formatted("0.5", 0), row.formatted("0.5", 2));
    check(
        code == 1 && told.contains("BROKEN") && told.contains("lost=2"), "a broken rule: " + told);

    told = play(Files.createTempDirectory("paired"), row.formatted("0.5", 0), null);
    check(
        code == 2 && told.contains("left no row") && told.contains("no build"),
        "what the bench said is passed on: " + told);
  }

  private static void check(boolean holds, String what) {
    if (!holds) {
      throw new AssertionError(what);
    }
  }
}
