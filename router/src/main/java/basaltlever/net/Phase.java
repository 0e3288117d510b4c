package basaltlever.net;

/** The phases of a router's life, in their order; none is entered twice. */
public enum Phase {
  READING,
  LOOKING,
  LISTENING,
  SERVING,
  DRAINING,
  STOPPED
}
