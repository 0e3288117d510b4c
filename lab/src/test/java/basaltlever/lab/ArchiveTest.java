package basaltlever.lab;

import com.beust.jcommander.JCommander;
import java.nio.file.Files;
import java.nio.file.Path;
import net.jqwik.api.Example;

/** Invalid options of the archive command must not delete an existing archive. */
class ArchiveTest {
  private static int run(Path archiveFile, String... options) throws Exception {
    ArchiveCommand command = new ArchiveCommand();
    JCommander parser = JCommander.newBuilder().addObject(command).build();
    String[] arguments = new String[options.length + 1];
    arguments[0] = archiveFile.toString();
    System.arraycopy(options, 0, arguments, 1, options.length);
    parser.parse(arguments);
    return command.run();
  }

  @Example
  void invalidOptionIsRejectedAndExistingArchiveIsKept() throws Exception {
    Path archiveFile = Files.createTempFile("record", ".jsa");
    try {
      Files.writeString(archiveFile, "existing archive");
      String[][] invalid = {
        {"--seconds", "0"},
        {"--seconds", "601"},
        {"--seconds", "-4"},
        {"--router-jar", "target/no-such.jar"}
      };
      for (String[] options : invalid) {
        if (run(archiveFile, options) != 2
            || !Files.readString(archiveFile).equals("existing archive")) {
          throw new AssertionError(
              String.join(" ", options) + " is rejected and keeps the archive");
        }
      }
    } finally {
      Files.delete(archiveFile);
    }
  }
}
