package basaltlever.cli;

import java.io.IOException;

/** The entry point of the program. */
public final class Main {
  private Main() {}

  /** Runs the command that the arguments name; exits with its code if it fails. */
  public static void main(String[] args) throws InterruptedException, IOException {
    // A start without options skips the parsing of arguments, since clients wait for the router.
    boolean plainServe = args.length == 1 && args[0].equals("serve");
    int code =
        plainServe
            ? new RouterProcess(System.getenv("GW_CONFIG"), null, null).run(System.err)
            : new CommandLine(args).run(System.out, System.err);
    if (code != ExitCode.OK) {
      System.exit(code);
    }
  }
}
