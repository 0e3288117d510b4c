package basaltlever.net;

/** The phases of a router's life, in their order; none is entered twice. */
public enum RouterPhase {
  READING,
  DISCOVERING,
  LISTENING,
  SERVING,
  DRAINING,
  STOPPED
}
