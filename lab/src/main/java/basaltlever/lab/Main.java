package basaltlever.lab;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;

/** The laboratory's command line. */
public final class Main {
    private static final int MISUSED = 2;

    private Main() {
    }

    @Parameters(commandDescription = "Prints this page")
    private static final class Help {
    }

    public static void main(String[] args) {
        JCommander line = JCommander.newBuilder().programName("basaltlever-lab").addCommand("help", new Help())
            .build();
        try {
            line.parse(args);
        } catch (ParameterException fault) {
            System.err.println("basaltlever-lab: " + fault.getMessage());
            System.exit(MISUSED);
        }
        line.usage();
        System.exit(line.getParsedCommand() == null ? MISUSED : 0);
    }
}
