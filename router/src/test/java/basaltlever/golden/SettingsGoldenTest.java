package basaltlever.golden;

import basaltlever.cli.Main;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.Example;

/**
 * Checks start files and operator's files of an earlier release: they are accepted as before, or
 * rejected for the same reasons.
 */
class SettingsGoldenTest {
  @Example
  void everyKeyIsAcceptedAndFaultsAreReportedAsRecorded() throws Exception {
    Path folder = Files.createTempDirectory("golden");
    for (String name : List.of("start.json", "operator.ini", "faulty.json", "faulty.ini")) {
      Files.write(folder.resolve(name), Golden.bytes("settings/" + name));
    }
    StringBuilder output = new StringBuilder();
    for (List<String> files :
        List.of(List.of("start.json", "operator.ini"), List.of("faulty.json", "faulty.ini"))) {
      output.append(
          CommandRunner.run(
              Main.class,
              List.of(
                  "check",
                  "--operator",
                  folder.resolve(files.get(1)).toString(),
                  folder.resolve(files.get(0)).toString())));
    }
    Golden.check("settings/told.txt", output.toString().replace(folder.toString(), "FOLDER"));
  }
}
