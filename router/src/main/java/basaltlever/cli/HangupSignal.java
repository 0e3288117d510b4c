package basaltlever.cli;

/** SIGHUP, which asks a router to read its settings again. */
final class HangupSignal {
  private HangupSignal() {}

  /**
   * Runs the action on each SIGHUP from now on, on a thread of the runtime's own.
   *
   * @return whether the signal was ignored by whoever started this process, and stays ignored
   */
  @SuppressWarnings("sunapi") // The only interface to signals that the runtime has.
  static boolean handle(Runnable action) {
    sun.misc.SignalHandler before =
        sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> action.run());
    return before == sun.misc.SignalHandler.SIG_IGN;
  }
}
