package basaltlever.settings;

import basaltlever.time.Moment;
import java.util.ArrayDeque;

/**
 * Tracks the lease of one router: the versions of the settings it complies with, and until when.
 *
 * <p>A lease starts when the heartbeat that it answers is sent, by the router's own monotonic
 * clock, so it ends at the router before it ends at the leader. The router must check for its
 * expiry before every action, so that a process that was paused or disconnected does not act under
 * an expired lease. Without a lease the router is restricted to what every version allows.
 */
public final class LeaseHolder {
  /** Maximum of tracked heartbeats; a lease granted for an older one would have expired. */
  private static final int MAX_UNANSWERED_HEARTBEATS = 64;

  private record SentHeartbeat(long number, Moment sentAt) {}

  private final ArrayDeque<SentHeartbeat> unanswered = new ArrayDeque<>();
  private long lastNumber;

  /** Change count of the last accepted grant; grants with a smaller count are outdated. */
  private long latestChangeCount;

  private Moment leaseEnd = Moment.LONG_AGO;
  private SettingsVersion inForce;
  private SettingsVersion prepared;

  /** Whether the router has no lease, as before the first grant. */
  private boolean restricted = true;

  /**
   * Restores the latest configuration epoch that an earlier process of this router received. Grants
   * of earlier epochs are rejected.
   */
  public void restoreEpoch(long epoch) {
    latestChangeCount = Math.max(latestChangeCount, VersionRegister.firstChangeCount(epoch));
  }

  /** Returns the latest configuration epoch received. */
  public long epoch() {
    return VersionRegister.epoch(latestChangeCount);
  }

  /** Records the sending of a heartbeat and returns its number. */
  public long registerHeartbeat(Moment now) {
    lastNumber++;
    unanswered.addLast(new SentHeartbeat(lastNumber, now));
    if (unanswered.size() > MAX_UNANSWERED_HEARTBEATS) {
      unanswered.removeFirst();
    }
    return lastNumber;
  }

  /** Applies a grant; returns whether the settings to comply with have changed. */
  public boolean acceptGrant(Moment now, LeaseGrant grant) {
    Moment sentAt = removeAnswered(grant.heartbeatNumber());
    boolean isDuplicate = sentAt == null;
    // A leader that was replaced without noticing may lack a version that this router has already
    // acknowledged to the new leader.
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
   * Removes the heartbeat and all earlier ones. Returns when it was sent, or null if it or a later
   * heartbeat has been answered before.
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
   * Whether the lease has expired and {@link #restrictIfExpired} has not been called since.
   * Decisions made under that lease must not be carried out.
   */
  public boolean isExpired(Moment now) {
    return !restricted && !now.isBefore(leaseEnd);
  }

  /**
   * Restricts the router if its lease has expired; returns whether it expired since the last call.
   */
  public boolean restrictIfExpired(Moment now) {
    boolean ended = isExpired(now);
    restricted |= ended;
    return ended;
  }

  private static long numberOf(SettingsVersion version) {
    return version == null ? 0 : version.number();
  }

  /** Whether the router is restricted to what every version allows, having no lease. */
  public boolean isRestricted() {
    return restricted;
  }

  /** Returns the latest end of any lease granted so far, by the router's clock. */
  public Moment leaseEnd() {
    return leaseEnd;
  }

  /** Returns the version in force, or null before the first grant. */
  public SettingsVersion inForce() {
    return inForce;
  }

  /** Returns the prepared version, which the router also complies with; null if there is none. */
  public SettingsVersion prepared() {
    return prepared;
  }

  /**
   * Returns the number of the prepared version that the next heartbeat acknowledges, as the router
   * complies with it under a lease; 0 if there is none.
   */
  public long acknowledgedVersion() {
    return restricted ? 0 : numberOf(prepared);
  }
}
