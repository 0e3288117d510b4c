package basaltlever.net;

/** The phases of a router, in order. None is entered twice. */
public enum RouterPhase {
  READING,
  DISCOVERING,
  LISTENING,
  SERVING,
  DRAINING,
  STOPPED
}
