package basaltlever.settings;

import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The leader's book: who has a lease until when, who keeps to the version on its way, and what
 * follows from it. It only ever grants what a majority has confirmed of late, so that one that was
 * replaced without knowing has nothing to give from a lease's length after its last confirmation
 * on; and one that was just elected counts everybody as leased for that long. Clocks may run apart
 * by the drift, either way.
 */
public final class LeaseTable {
  /** One that asked nothing for so many leases is forgotten. */
  private static final int FORGOTTEN_AFTER = 20;

  private static final int MOST_PEERS = 2_000;

  /** What there is to be done next, for the engine to agree on. */
  public record Step(Kind kind, long number, String reason, int routers) {
    /** Of steps. */
    public enum Kind {
      NOTHING,
      BRING_INTO_FORCE,
      WITHDRAW,
      COUNT_ROUTERS
    }

    static final Step NOTHING = new Step(Kind.NOTHING, 0, "", 0);
  }

  /** One router as the leader sees it. */
  public static final class Peer {
    public final String name;

    /** Of its process: another one under the same name knows nothing of what this one kept to. */
    public long incarnation;

    public Moment leaseEnds = Moment.LONG_AGO;
    public Moment heard = Moment.LONG_AGO;
    public long keepsTo;
    public long inForce;
    public String refusal = "";
    long refused;
    Moment barredUntil = Moment.LONG_AGO;

    Peer(String name) {
      this.name = name;
    }
  }

  private final Span lease;
  private final double drift;
  private final TreeMap<String, Peer> peers = new TreeMap<>();

  /** Of everybody since the election, those that are forgotten too. */
  private final Map<String, Moment> heardAt = new HashMap<>();

  private Moment confirmed = Moment.LONG_AGO;
  private Moment quietUntil = Moment.NEVER;

  /** Drift is the share by which any clock may run faster or slower than any other, below 0.5. */
  public LeaseTable(Span lease, double drift) {
    this.lease = lease;
    this.drift = drift;
  }

  /** How long a lease may last by the leader's clock that a router counts on its own. */
  public Span atMost(Span granted) {
    return granted.times(1 + 2 * drift);
  }

  /** From here on this voter leads; what the one before granted is not known. */
  public void elected(Moment now) {
    peers.clear();
    heardAt.clear();
    confirmed = Moment.LONG_AGO;
    quietUntil = now.plus(atMost(lease));
  }

  public void resigned() {
    quietUntil = Moment.NEVER;
    confirmed = Moment.LONG_AGO;
  }

  /**
   * A majority took a command that was sent at this moment: nobody else had been elected by then.
   */
  public void confirmed(Moment sent) {
    confirmed = confirmed.later(sent);
  }

  /**
   * A router's beat: its number, its process, the version that it has in force and the one on its
   * way to which it keeps, why it can't, empty where it can, and whether it held a lease as it sent
   * this. The grant lasts nothing where none is given.
   */
  public LeaseGrant beat(
      Moment now,
      String name,
      long incarnation,
      long number,
      long inForce,
      long keepsTo,
      long refused,
      String refusal,
      boolean holds,
      VersionRegister register) {
    Span lasts = lease.shorter(confirmed.plus(lease).since(now)).longer(Span.NONE);
    if (!peers.containsKey(name) && peers.size() >= MOST_PEERS) {
      return new LeaseGrant(
          number, Span.NONE, register.inForce(), register.prepared(), register.changes());
    }
    Peer peer = peers.computeIfAbsent(name, Peer::new);
    if (peer.incarnation != incarnation) {
      // The process before may still act under its lease: two of one name would take two shares.
      peer.barredUntil = peer.leaseEnds;
      peer.incarnation = incarnation;
      peer.keepsTo = 0;
    }
    peer.heard = now;
    heardAt.put(name, now);
    peer.inForce = inForce;
    peer.keepsTo = keepsTo;
    peer.refused = refused;
    peer.refusal = refusal;
    // Without a share of its own it would take of the whole what others still count as theirs. Who
    // was
    // leased by the leader before is known only from its own word, until all those leases are over.
    boolean hasShare =
        now.isBefore(quietUntil)
            ? holds
            : isLive(peer, now)
                || live(now)
                    < Math.min(
                        register.inForce().routers(),
                        register.prepared() == null
                            ? Integer.MAX_VALUE
                            : register.prepared().routers());
    if (!hasShare || now.isBefore(peer.barredUntil)) {
      lasts = Span.NONE;
    }
    if (lasts.micros() > 0) {
      peer.leaseEnds = peer.leaseEnds.later(now.plus(atMost(lasts)));
    }
    return new LeaseGrant(
        number, lasts, register.inForce(), register.prepared(), register.changes());
  }

  private static boolean isLive(Peer peer, Moment now) {
    return peer.leaseEnds.isAfter(now);
  }

  private int live(Moment now) {
    return (int) peers.values().stream().filter(peer -> isLive(peer, now)).count();
  }

  /** What follows, by the first rule that applies. */
  public Step next(Moment now, VersionRegister register) {
    peers
        .values()
        .removeIf(
            peer ->
                now.since(peer.heard).isLongerThan(lease.times(FORGOTTEN_AFTER))
                    && !isLive(peer, now));
    SettingsVersion prepared = register.prepared();
    if (prepared != null) {
      for (Peer peer : peers.values()) {
        if (peer.refused == prepared.number() && isHeard(peer, now)) {
          return new Step(
              Step.Kind.WITHDRAW, prepared.number(), peer.name + ": " + peer.refusal, 0);
        }
      }
      // Somebody has to have checked it: with nobody there, one that none can hold came into force.
      boolean all =
          !now.isBefore(quietUntil)
              && peers.values().stream()
                  .allMatch(peer -> !isLive(peer, now) || peer.keepsTo == prepared.number())
              && peers.values().stream().anyMatch(peer -> isLive(peer, now));
      return all ? new Step(Step.Kind.BRING_INTO_FORCE, prepared.number(), "", 0) : Step.NOTHING;
    }
    int wanted =
        (int)
            peers.values().stream().filter(peer -> isLive(peer, now) || isHeard(peer, now)).count();
    boolean counts =
        wanted > register.inForce().routers()
            || (wanted < register.inForce().routers() && !now.isBefore(quietUntil));
    return counts && wanted > 0
        ? new Step(Step.Kind.COUNT_ROUTERS, register.inForce().number(), "", wanted)
        : Step.NOTHING;
  }

  public Span lease() {
    return lease;
  }

  /** Whether somebody of this name may act under a lease. */
  public boolean isLive(String name, Moment now) {
    return peers.containsKey(name) && isLive(peers.get(name), now);
  }

  /** Whether leases that the leader before has granted may go on. */
  public boolean isQuiet(Moment now) {
    return now.isBefore(quietUntil);
  }

  /** Whether a majority has borne this leader out of late: another may lead by now where not. */
  public boolean isBorneOut(Moment now) {
    return now.isBefore(confirmed.plus(lease));
  }

  /** When this leader heard from it last. */
  public Moment heard(String name) {
    return heardAt.getOrDefault(name, Moment.LONG_AGO);
  }

  private boolean isHeard(Peer peer, Moment now) {
    return !now.since(peer.heard).isLongerThan(lease);
  }

  /** Everybody known, by name. */
  public List<Peer> peers() {
    return new ArrayList<>(peers.values());
  }
}
