package basaltlever.settings;

import basaltlever.time.Moment;
import java.util.ArrayDeque;

/**
 * One router's lease: which versions of the settings it complies with, and until when.
 *
 * <p>A lease counts from the sending of the heartbeat that it answers, by the router's own
 * monotonic clock, so it ends here before it ends at the leader. The holder must be asked before
 * every act whether the lease has just ended: a process that was paused or disconnected thereby
 * notices the end of its lease first. Without a lease the router is restricted to what every
 * version allows.
 */
public final class LeaseHolder {
  /** Unanswered heartbeats remembered; a lease from an older one would be over already. */
  private static final int MAX_UNANSWERED_HEARTBEATS = 64;

  private record SentHeartbeat(long number, Moment sentAt) {}

  private final ArrayDeque<SentHeartbeat> unanswered = new ArrayDeque<>();
  private long lastNumber;

  /** Change count of the latest grant accepted; grants with a smaller one are outdated. */
  private long latestChangeCount;

  private Moment leaseEnd = Moment.LONG_AGO;
  private SettingsVersion inForce;
  private SettingsVersion prepared;

  /** True without a lease, as before the first grant. */
  private boolean restricted = true;

  /**
   * Restores the configuration epoch that an earlier process on this router had seen: grants from
   * before that epoch are rejected.
   */
  public void restoreEpoch(long epoch) {
    latestChangeCount = Math.max(latestChangeCount, VersionRegister.firstChangeCount(epoch));
  }

  /** The latest configuration epoch seen. */
  public long epoch() {
    return VersionRegister.epoch(latestChangeCount);
  }

  /** Registers a heartbeat that is sent now and returns its number. */
  public long registerHeartbeat(Moment now) {
    lastNumber++;
    unanswered.addLast(new SentHeartbeat(lastNumber, now));
    if (unanswered.size() > MAX_UNANSWERED_HEARTBEATS) {
      unanswered.removeFirst();
    }
    return lastNumber;
  }

  /** Takes in a grant; returns whether the settings to comply with differ from those before. */
  public boolean acceptGrant(Moment now, LeaseGrant grant) {
    Moment sentAt = removeAnswered(grant.heartbeatNumber());
    boolean isDuplicate = sentAt == null;
    // A leader that was replaced without noticing may lack a version that this router has already
    // acknowledged to its successor.
    boolean isOutdated = grant.changeCount() < latestChangeCount;
    if (isDuplicate || isOutdated) {
      return false;
    }
    latestChangeCount = grant.changeCount();
    boolean versionsDiffer =
        inForce == null
            || inForce.number() != grant.inForce().number()
            || numberOf(prepared) != numberOf(grant.prepared());
    inForce = grant.inForce();
    prepared = grant.prepared();
    leaseEnd = leaseEnd.later(sentAt.plus(grant.duration()));
    boolean wasRestricted = restricted;
    restricted = !now.isBefore(leaseEnd);
    return versionsDiffer || wasRestricted != restricted;
  }

  /**
   * Removes the heartbeat and all before it; returns when it was sent, or null where it was
   * answered before or overtaken by the answer to a later one.
   */
  private Moment removeAnswered(long number) {
    Moment sentAt = null;
    while (!unanswered.isEmpty() && unanswered.peekFirst().number() <= number) {
      SentHeartbeat heartbeat = unanswered.removeFirst();
      if (heartbeat.number() == number) {
        sentAt = heartbeat.sentAt();
      }
    }
    return sentAt;
  }

  /**
   * Whether the lease has ended and the end is not noted yet: nothing that was decided under it may
   * be carried out.
   */
  public boolean isExpired(Moment now) {
    return !restricted && !now.isBefore(leaseEnd);
  }

  /** Notes the end of the lease; true where it has ended since the last call. */
  public boolean restrictIfExpired(Moment now) {
    boolean ended = isExpired(now);
    restricted |= ended;
    return ended;
  }

  private static long numberOf(SettingsVersion version) {
    return version == null ? 0 : version.number();
  }

  /** Whether the router has no lease and is restricted to what every version allows. */
  public boolean isRestricted() {
    return restricted;
  }

  /** Latest end of its leases, by the router's clock. */
  public Moment leaseEnd() {
    return leaseEnd;
  }

  /** The version in force; null before the first grant. */
  public SettingsVersion inForce() {
    return inForce;
  }

  /** The prepared version, which the router complies with as well; null where there is none. */
  public SettingsVersion prepared() {
    return prepared;
  }

  /**
   * Number of the prepared version that the next heartbeat acknowledges, because the router
   * complies with it under a lease; 0 where there is none.
   */
  public long acknowledgedVersion() {
    return restricted ? 0 : numberOf(prepared);
  }
}
