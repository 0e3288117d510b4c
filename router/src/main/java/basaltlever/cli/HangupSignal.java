package basaltlever.cli;

/** Handles SIGHUP, which makes a router reload its settings. */
final class HangupSignal {
  private HangupSignal() {}

  /**
   * Runs the action on each subsequent SIGHUP, on a thread of the Java runtime.
   *
   * @return whether the parent process had set the signal to be ignored; then it stays ignored
   */
  @SuppressWarnings("sunapi") // The only interface to signals of the Java runtime.
  static boolean handle(Runnable action) {
    sun.misc.SignalHandler before =
        sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> action.run());
    return before == sun.misc.SignalHandler.SIG_IGN;
  }
}
