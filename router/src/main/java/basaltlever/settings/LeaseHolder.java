package basaltlever.settings;

import basaltlever.time.Moment;
import java.util.ArrayDeque;

/**
 * Which versions one router keeps to, and for how long. A lease counts from the sending of the beat
 * that it answers, on this router's own steady clock, so it ends here before its leader counts it
 * as over. Whoever was stopped, or cut off, finds its lease over before its next act and keeps to
 * what no version could forbid until a grant says which holds.
 */
public final class LeaseHolder {
  /**
   * Beats without an answer that are remembered: an answer to an older one is worth nothing any
   * more.
   */
  private static final int MOST_OUT = 64;

  private record SentHeartbeat(long number, Moment sent) {}

  private final ArrayDeque<SentHeartbeat> out = new ArrayDeque<>();
  private long beats;

  /** Of the latest grant; those of an older charter never reach it. */
  private long changes;

  private Moment leaseEnds = Moment.LONG_AGO;
  private SettingsVersion inForce;
  private SettingsVersion prepared;

  /** Before the first grant nothing is known to hold. */
  private boolean careful = true;

  /**
   * A process before this one was told of that charter: what came before it binds nobody any more.
   */
  public void knows(long charter) {
    changes = Math.max(changes, VersionRegister.first(charter));
  }

  /** The latest charter that it was told of. */
  public long charter() {
    return VersionRegister.charter(changes);
  }

  /** Number of a beat that is sent now. */
  public long beat(Moment now) {
    out.addLast(new SentHeartbeat(++beats, now));
    if (out.size() > MOST_OUT) {
      out.removeFirst();
    }
    return beats;
  }

  /** True where what it keeps to is another than before. */
  public boolean granted(Moment now, LeaseGrant grant) {
    Moment sent = null;
    while (!out.isEmpty() && out.peekFirst().number() <= grant.beat()) {
      SentHeartbeat beat = out.removeFirst();
      sent = beat.number() == grant.beat() ? beat.sent() : sent;
    }
    if (sent == null || grant.changes() < changes) {
      // Repeated, overtaken, or by one that was replaced without knowing it: what it has not heard
      // of yet
      // this router may have promised its successor to keep to.
      return false;
    }
    changes = grant.changes();
    boolean differs =
        inForce == null
            || inForce.number() != grant.inForce().number()
            || number(prepared) != number(grant.prepared());
    inForce = grant.inForce();
    prepared = grant.prepared();
    leaseEnds = leaseEnds.later(sent.plus(grant.lasts()));
    boolean was = careful;
    careful = !now.isBefore(leaseEnds);
    return differs || was != careful;
  }

  /** Whether its lease has ended unnoticed: nothing may be done that was decided under it. */
  public boolean isOver(Moment now) {
    return !careful && !now.isBefore(leaseEnds);
  }

  /** To be asked before every act: true where its lease has ended since it was asked last. */
  public boolean hasJustEnded(Moment now) {
    boolean ends = isOver(now);
    careful |= ends;
    return ends;
  }

  private static long number(SettingsVersion version) {
    return version == null ? 0 : version.number();
  }

  /** Whether it keeps to what no version could forbid. */
  public boolean isCareful() {
    return careful;
  }

  public Moment leaseEnds() {
    return leaseEnds;
  }

  /** Null before the first grant. */
  public SettingsVersion inForce() {
    return inForce;
  }

  /** The version on its way, to which it keeps as well; null where there is none. */
  public SettingsVersion prepared() {
    return prepared;
  }

  /**
   * What is acknowledged with the next beat: the version on its way that this router keeps to by
   * now.
   */
  public long keepsTo() {
    return careful ? 0 : number(prepared);
  }
}
