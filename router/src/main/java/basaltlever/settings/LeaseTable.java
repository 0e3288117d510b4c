package basaltlever.settings;

import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Table of router leases at the leader: which routers hold a lease until when, and which have
 * acknowledged the prepared version. It determines the next command to propose to the voters.
 *
 * <p>Two rules keep leases of successive leaders from contradicting each other. A lease ends at
 * most one lease duration after the last moment at which a majority confirmed the leader, so a
 * leader that was replaced without noticing can soon grant nothing. A new leader assumes, for the
 * maximum duration of a lease, that every router may hold one from its predecessor.
 */
public final class LeaseTable {
  /** Lease durations without a heartbeat after which a router is removed from the table. */
  private static final int MAX_SILENCE_LEASES = 20;

  private static final int MAX_ROUTERS = 2_000;

  /** The next command that the leader has to propose to the voters. */
  public record Step(Kind kind, long number, String reason, int routers) {
    /** Type of the command. */
    public enum Kind {
      /** No command is due. */
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

  /** State of one router at the leader. */
  public static final class RouterLease {
    private final String name;
    private long incarnation;
    private Moment leaseEnd = Moment.LONG_AGO;
    private Moment lastHeartbeatAt = Moment.LONG_AGO;
    private long acknowledged;
    private long inForce;
    private String rejectionReason = "";
    private long rejected;

    /** End of the leases of the former process of that name. */
    private Moment formerIncarnationLeaseEnd = Moment.LONG_AGO;

    RouterLease(String name) {
      this.name = name;
    }

    /** Returns the name of the router. */
    public String name() {
      return name;
    }

    /** Returns the incarnation of the process that sent the last heartbeat. */
    public long incarnation() {
      return incarnation;
    }

    /** Returns the latest end of any lease granted to it, by the leader's clock. */
    public Moment leaseEnd() {
      return leaseEnd;
    }

    /** Returns when its last heartbeat arrived. */
    public Moment lastHeartbeatAt() {
      return lastHeartbeatAt;
    }

    /** Returns the number of the prepared version that it has acknowledged, or 0. */
    public long acknowledged() {
      return acknowledged;
    }

    /** Returns the number of the version that it has in force. */
    public long inForce() {
      return inForce;
    }

    /** Returns why it can't comply with the prepared version; empty if it rejects none. */
    public String rejectionReason() {
      return rejectionReason;
    }

    private void update(Moment now, RouterHeartbeat heartbeat) {
      if (incarnation != heartbeat.incarnation()) {
        // The former process may still act under its lease. With a second lease the two processes
        // would use two shares of the capacity under one name.
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

  /** Last heartbeat since the election, by router; includes routers removed from the table. */
  private final Map<String, Moment> lastHeartbeatAt = new HashMap<>();

  private Moment lastConfirmedAt = Moment.LONG_AGO;

  /** Time by which all leases of the former leader have expired. */
  private Moment formerLeasesEnd = Moment.NEVER;

  /**
   * Creates the empty table of a voter that does not lead.
   *
   * @param leaseDuration duration of a lease by the router's clock
   * @param maxClockDrift share by which any clock may run faster or slower than any other, below
   *     0.5
   */
  public LeaseTable(Span leaseDuration, double maxClockDrift) {
    this.leaseDuration = leaseDuration;
    this.maxClockDrift = maxClockDrift;
  }

  /** Returns the maximum, by the leader's clock, of a duration measured by a router's clock. */
  public Span withClockDrift(Span byRouterClock) {
    return byRouterClock.times(1 + 2 * maxClockDrift);
  }

  /** Called when this voter becomes the leader; leases of its predecessor are unknown. */
  public void startLeading(Moment now) {
    routers.clear();
    lastHeartbeatAt.clear();
    lastConfirmedAt = Moment.LONG_AGO;
    formerLeasesEnd = now.plus(withClockDrift(leaseDuration));
  }

  /** Called when this voter is no longer the leader; it grants no more leases. */
  public void stopLeading() {
    formerLeasesEnd = Moment.NEVER;
    lastConfirmedAt = Moment.LONG_AGO;
  }

  /**
   * Records that a majority accepted a command sent at this time, so that no other leader had been
   * elected by then.
   */
  public void confirmLeadership(Moment sentAt) {
    lastConfirmedAt = lastConfirmedAt.later(sentAt);
  }

  /** Records a router's heartbeat and answers it; a grant of zero duration means no lease. */
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

  /**
   * Whether one more router may hold a lease. Each router uses the capacity divided by the router
   * count of the version, so no more routers than that may act.
   */
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

  /**
   * Returns the next command: on the prepared version if there is one, else on the router count.
   */
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
    // Without any router with a lease no router has validated the version.
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
    // A smaller count enlarges every share, which is unsafe while unknown routers may hold leases
    // of the former leader.
    boolean isChangeDue =
        present > inForce.routers() || (present < inForce.routers() && !canFormerLeasesRun(now));
    return isChangeDue && present > 0
        ? new Step(Step.Kind.SET_ROUTER_COUNT, inForce.number(), "", present)
        : Step.NOTHING;
  }

  /** Returns the duration of a lease by the router's clock. */
  public Span leaseDuration() {
    return leaseDuration;
  }

  /** Whether the router of this name may hold a lease of this leader. */
  public boolean hasLease(String name, Moment now) {
    RouterLease router = routers.get(name);
    return router != null && router.hasLease(now);
  }

  /** Whether leases that the former leader granted may still run. */
  public boolean canFormerLeasesRun(Moment now) {
    return now.isBefore(formerLeasesEnd);
  }

  /**
   * Whether a majority confirmed this leader within the last lease duration; otherwise another
   * leader may have been elected.
   */
  public boolean isConfirmed(Moment now) {
    return now.isBefore(lastConfirmedAt.plus(leaseDuration));
  }

  /** Returns when the router's last heartbeat since the election arrived. */
  public Moment lastHeartbeatAt(String name) {
    return lastHeartbeatAt.getOrDefault(name, Moment.LONG_AGO);
  }

  private boolean hasRecentHeartbeat(RouterLease router, Moment now) {
    return !now.since(router.lastHeartbeatAt).isLongerThan(leaseDuration);
  }

  /** Returns all routers in the table, sorted by name. */
  public List<RouterLease> routers() {
    return new ArrayList<>(routers.values());
  }
}
