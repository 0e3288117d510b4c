package basaltlever.lab;

import com.beust.jcommander.JCommander;
import java.nio.file.Files;
import java.nio.file.Path;
import net.jqwik.api.Example;

/** What the recording of classes refuses, before it touches the record that is there. */
class ArchiveTest {
  private static int run(Path record, String... options) throws Exception {
    ArchiveCommand archive = new ArchiveCommand();
    JCommander line = JCommander.newBuilder().addObject(archive).build();
    String[] words = new String[options.length + 1];
    words[0] = record.toString();
    System.arraycopy(options, 0, words, 1, options.length);
    line.parse(words);
    return archive.run();
  }

  @Example
  void badInputIsRefusedAndLeavesTheRecordThatIsThere() throws Exception {
    Path record = Files.createTempFile("record", ".jsa");
    try {
      Files.writeString(record, "the last one");
      String[][] bad = {
        {"--seconds", "0"},
        {"--seconds", "601"},
        {"--seconds", "-4"},
        {"--router-jar", "target/no-such.jar"}
      };
      for (String[] options : bad) {
        if (run(record, options) != 2 || !Files.readString(record).equals("the last one")) {
          throw new AssertionError(String.join(" ", options) + " is refused");
        }
      }
    } finally {
      Files.delete(record);
    }
  }
}
