package basaltlever.settings;

import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The leader's table of router leases: who holds one until when and who has acknowledged the
 * prepared version. From it follows what the voters have to agree on next.
 *
 * <p>Two rules keep leases of successive leaders from contradicting each other. A lease never
 * outlasts one lease duration after the last moment at which a majority confirmed the leader, so a
 * leader that was replaced without noticing soon has nothing left to grant. A new leader assumes
 * for the longest duration of a lease that every router may hold one from its predecessor.
 */
public final class LeaseTable {
  /** Routers that sent no heartbeat for so many lease durations are removed from the table. */
  private static final int MAX_SILENCE_LEASES = 20;

  private static final int MAX_ROUTERS = 2_000;

  /** The next command that the leader has to propose to the voters. */
  public record Step(Kind kind, long number, String reason, int routers) {
    /** What the command does. */
    public enum Kind {
      /** Nothing is due. */
      NOTHING,
      /** The prepared version {@code number} takes effect. */
      BRING_INTO_FORCE,
      /** The prepared version {@code number} is withdrawn for {@code reason}. */
      WITHDRAW,
      /** The version in force, {@code number}, is proposed again for {@code routers} routers. */
      SET_ROUTER_COUNT
    }

    static final Step NOTHING = new Step(Kind.NOTHING, 0, "", 0);
  }

  /** What the leader knows of one router. */
  public static final class RouterLease {
    private final String name;
    private long incarnation;
    private Moment leaseEnd = Moment.LONG_AGO;
    private Moment lastHeartbeatAt = Moment.LONG_AGO;
    private long acknowledged;
    private long inForce;
    private String rejectionReason = "";
    private long rejected;

    /** End of the leases of an earlier process under the same name. */
    private Moment formerIncarnationLeaseEnd = Moment.LONG_AGO;

    RouterLease(String name) {
      this.name = name;
    }

    /** Name of the router. */
    public String name() {
      return name;
    }

    /** Of the process that sent the last heartbeat. */
    public long incarnation() {
      return incarnation;
    }

    /** Latest end of its leases, by the leader's clock. */
    public Moment leaseEnd() {
      return leaseEnd;
    }

    /** When its last heartbeat came. */
    public Moment lastHeartbeatAt() {
      return lastHeartbeatAt;
    }

    /** Number of the prepared version that it complies with already, or 0. */
    public long acknowledged() {
      return acknowledged;
    }

    /** Number of the version that it has in force. */
    public long inForce() {
      return inForce;
    }

    /** Why it can't comply with the prepared version; empty where it rejects nothing. */
    public String rejectionReason() {
      return rejectionReason;
    }

    private void update(Moment now, RouterHeartbeat heartbeat) {
      if (incarnation != heartbeat.incarnation()) {
        // The earlier process may still act under its lease; with a second lease the two would use
        // two shares of the capacity under one name.
        formerIncarnationLeaseEnd = leaseEnd;
        incarnation = heartbeat.incarnation();
      }
      lastHeartbeatAt = now;
      inForce = heartbeat.inForce();
      acknowledged = heartbeat.acknowledged();
      rejected = heartbeat.rejected();
      rejectionReason = heartbeat.rejectionReason();
    }

    private boolean hasLease(Moment now) {
      return leaseEnd.isAfter(now);
    }
  }

  private final Span leaseDuration;
  private final double maxClockDrift;
  private final TreeMap<String, RouterLease> routers = new TreeMap<>();

  /** Last heartbeat since the election, by router; routers removed from the table stay here. */
  private final Map<String, Moment> lastHeartbeatAt = new HashMap<>();

  private Moment lastConfirmedAt = Moment.LONG_AGO;

  /** By then all leases of the former leader are over. */
  private Moment formerLeasesEnd = Moment.NEVER;

  /**
   * Creates the empty table of a voter that does not lead.
   *
   * @param leaseDuration how long a lease lasts by the router's clock
   * @param maxClockDrift share by which any clock may run faster or slower than any other, below
   *     0.5
   */
  public LeaseTable(Span leaseDuration, double maxClockDrift) {
    this.leaseDuration = leaseDuration;
    this.maxClockDrift = maxClockDrift;
  }

  /** How long at most, by the leader's clock, lasts what a router counts as the given duration. */
  public Span withClockDrift(Span byRouterClock) {
    return byRouterClock.times(1 + 2 * maxClockDrift);
  }

  /** This voter leads from now on and does not know which leases its predecessor granted. */
  public void startLeading(Moment now) {
    routers.clear();
    lastHeartbeatAt.clear();
    lastConfirmedAt = Moment.LONG_AGO;
    formerLeasesEnd = now.plus(withClockDrift(leaseDuration));
  }

  /** This voter leads no more and grants nothing. */
  public void stopLeading() {
    formerLeasesEnd = Moment.NEVER;
    lastConfirmedAt = Moment.LONG_AGO;
  }

  /**
   * A majority accepted a command that was sent at this moment, so nobody else had been elected by
   * then.
   */
  public void confirmLeadership(Moment sentAt) {
    lastConfirmedAt = lastConfirmedAt.later(sentAt);
  }

  /** Records a router's heartbeat and answers it; the grant's duration is zero without a lease. */
  public LeaseGrant answerHeartbeat(
      Moment now, RouterHeartbeat heartbeat, VersionRegister register) {
    boolean isTableFull = !routers.containsKey(heartbeat.router()) && routers.size() >= MAX_ROUTERS;
    Span duration = isTableFull ? Span.NONE : recordAndGrant(now, heartbeat, register);
    return new LeaseGrant(
        heartbeat.number(),
        duration,
        register.inForce(),
        register.prepared(),
        register.changeCount());
  }

  private Span recordAndGrant(Moment now, RouterHeartbeat heartbeat, VersionRegister register) {
    RouterLease router = routers.computeIfAbsent(heartbeat.router(), RouterLease::new);
    router.update(now, heartbeat);
    lastHeartbeatAt.put(heartbeat.router(), now);
    boolean isEntitled =
        canFormerLeasesRun(now)
            ? heartbeat.holdsLease()
            : router.hasLease(now) || hasUnusedShare(now, register);
    if (!isEntitled || now.isBefore(router.formerIncarnationLeaseEnd)) {
      return Span.NONE;
    }
    Span untilUnconfirmed = lastConfirmedAt.plus(leaseDuration).since(now);
    Span duration = leaseDuration.shorter(untilUnconfirmed).longer(Span.NONE);
    if (duration.micros() > 0) {
      router.leaseEnd = router.leaseEnd.later(now.plus(withClockDrift(duration)));
    }
    return duration;
  }

  /** Whether one more router may act: the versions divide all capacity by their router counts. */
  private boolean hasUnusedShare(Moment now, VersionRegister register) {
    SettingsVersion prepared = register.prepared();
    int shares = register.inForce().routers();
    if (prepared != null) {
      shares = Math.min(shares, prepared.routers());
    }
    return countLeased(now) < shares;
  }

  private int countLeased(Moment now) {
    return (int) routers.values().stream().filter(router -> router.hasLease(now)).count();
  }

  /** The next command for the voters: for the prepared version if there is one, else the count. */
  public Step nextStep(Moment now, VersionRegister register) {
    removeSilentRouters(now);
    SettingsVersion prepared = register.prepared();
    return prepared == null
        ? stepForRouterCount(now, register.inForce())
        : stepForPrepared(now, prepared);
  }

  private void removeSilentRouters(Moment now) {
    Span maxSilence = leaseDuration.times(MAX_SILENCE_LEASES);
    routers
        .values()
        .removeIf(
            router ->
                now.since(router.lastHeartbeatAt).isLongerThan(maxSilence)
                    && !router.hasLease(now));
  }

  private Step stepForPrepared(Moment now, SettingsVersion prepared) {
    for (RouterLease router : routers.values()) {
      if (router.rejected == prepared.number() && hasRecentHeartbeat(router, now)) {
        String reason = router.name + ": " + router.rejectionReason;
        return new Step(Step.Kind.WITHDRAW, prepared.number(), reason, 0);
      }
    }
    return isAcknowledgedByAll(now, prepared)
        ? new Step(Step.Kind.BRING_INTO_FORCE, prepared.number(), "", 0)
        : Step.NOTHING;
  }

  private boolean isAcknowledgedByAll(Moment now, SettingsVersion prepared) {
    List<RouterLease> leased =
        routers.values().stream().filter(router -> router.hasLease(now)).toList();
    // With no router at all nobody has checked the version, and it might suit none.
    return !canFormerLeasesRun(now)
        && !leased.isEmpty()
        && leased.stream().allMatch(router -> router.acknowledged == prepared.number());
  }

  private Step stepForRouterCount(Moment now, SettingsVersion inForce) {
    int present =
        (int)
            routers.values().stream()
                .filter(router -> router.hasLease(now) || hasRecentHeartbeat(router, now))
                .count();
    // A smaller count enlarges every share: not while unknown routers may hold a former lease.
    boolean isChangeDue =
        present > inForce.routers() || (present < inForce.routers() && !canFormerLeasesRun(now));
    return isChangeDue && present > 0
        ? new Step(Step.Kind.SET_ROUTER_COUNT, inForce.number(), "", present)
        : Step.NOTHING;
  }

  /** How long a lease lasts by the router's clock. */
  public Span leaseDuration() {
    return leaseDuration;
  }

  /** Whether a router of this name may act under a lease of this leader. */
  public boolean hasLease(String name, Moment now) {
    RouterLease router = routers.get(name);
    return router != null && router.hasLease(now);
  }

  /** Whether leases that the former leader granted may still run. */
  public boolean canFormerLeasesRun(Moment now) {
    return now.isBefore(formerLeasesEnd);
  }

  /**
   * Whether a majority confirmed this leader within the last lease duration; otherwise another may
   * lead by now.
   */
  public boolean isConfirmed(Moment now) {
    return now.isBefore(lastConfirmedAt.plus(leaseDuration));
  }

  /** When the router's last heartbeat since the election came. */
  public Moment lastHeartbeatAt(String name) {
    return lastHeartbeatAt.getOrDefault(name, Moment.LONG_AGO);
  }

  private boolean hasRecentHeartbeat(RouterLease router, Moment now) {
    return !now.since(router.lastHeartbeatAt).isLongerThan(leaseDuration);
  }

  /** All known routers, by name. */
  public List<RouterLease> routers() {
    return new ArrayList<>(routers.values());
  }
}
