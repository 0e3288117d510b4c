package basaltlever.cli;

import basaltlever.config.InvalidSettingsException;
import basaltlever.config.OperatorFile;
import basaltlever.config.StartFile;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Checks start files and an operator's file without starting a router. */
@Parameters(commandDescription = "Checks start files and reports all faults")
final class CheckCommand implements Command {
  @Parameter(description = "FILE", required = true)
  private List<String> files = new ArrayList<>();

  @Parameter(names = "--operator", description = "operator's file to check as well")
  private String operator;

  private interface FileReader {
    void read() throws InvalidSettingsException;
  }

  @Override
  public boolean needsOperatorLibraries() {
    return operator != null;
  }

  @Override
  public int run(PrintStream out, PrintStream err) {
    boolean valid =
        operator == null || isValid(operator, () -> OperatorFile.read(Path.of(operator)), out, err);
    for (String file : files) {
      valid &= isValid(file, () -> StartFile.read(Path.of(file)), out, err);
    }
    return valid ? ExitCode.OK : ExitCode.MISUSED;
  }

  private static boolean isValid(String file, FileReader reader, PrintStream out, PrintStream err) {
    try {
      reader.read();
      out.println(file + " is sound");
      return true;
    } catch (InvalidSettingsException fault) {
      err.println(fault.getMessage());
      return false;
    }
  }
}
