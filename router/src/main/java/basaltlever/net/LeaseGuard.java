package basaltlever.net;

import basaltlever.config.InvalidSettingsException;
import basaltlever.config.StartFile;
import basaltlever.discovery.EndpointList;
import basaltlever.gateway.Settings;
import basaltlever.log.Event;
import basaltlever.membership.MembershipUpdate;
import basaltlever.membership.MembershipView;
import basaltlever.settings.LeaseGrant;
import basaltlever.settings.LeaseHolder;
import basaltlever.settings.SettingsConstraints;
import basaltlever.settings.SettingsVersion;
import basaltlever.settings.StricterSettings;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.List;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * What this router keeps to by its fleet's word, on the router's loop. Looked at before every turn
 * and before every write to a node: a process that was stopped finds its lease over before it does
 * anything else, and what was decided under another stance is not sent any more but decided anew.
 */
final class LeaseGuard {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseGuard.class);

  private static final int NONE = -1;

  private final LeaseHolder leaseHolder = new LeaseHolder();
  private final StartFile own;
  private final Span widestBound;
  private final MembershipView membership;
  private final EndpointList list;
  private final BiConsumer<StartFile, Settings> keepTo;

  /** Asks discovery for the whole list. */
  private final Runnable asksAnew;

  private boolean adrift = true;
  private long era;
  private int stance;
  private StartFile force;
  private long refused;
  private String refusal = "";

  /**
   * Own is the start file as installed; roll and list are this router's; keepTo is given the file
   * in force and what holds for now.
   */
  LeaseGuard(
      StartFile own,
      Span widestBound,
      MembershipView membership,
      EndpointList list,
      Runnable asksAnew,
      BiConsumer<StartFile, Settings> keepTo) {
    this.own = own;
    this.membership = membership;
    this.list = list;
    this.asksAnew = asksAnew;
    this.widestBound = widestBound;
    this.keepTo = keepTo;
    force = own;
  }

  LeaseHolder follower() {
    return leaseHolder;
  }

  long refused() {
    return refused;
  }

  String refusal() {
    return refusal;
  }

  /**
   * Before the first grant nothing is known to hold. The stricter of the start file and of what an
   * earlier process of this router was told last bounds what no care can: how many share a cold
   * node's budget, how long it takes to warm, how long a list may be kept.
   */
  void begin(SettingsVersion told) {
    Settings holds = own.startValues().settings();
    if (told != null) {
      // As any version: by place, other names would give one workload the times of another.
      String fault = fault(told);
      if (fault.isEmpty()) {
        holds = StricterSettings.of(holds, agreed(told));
      } else {
        Event.FLEET_TURNED_DOWN.log(
            LOG,
            Level.WARN,
            "left out: the start file is kept to, with care",
            told.number(),
            fault);
      }
    }
    Event.FLEET_KEEPS.log(
        LOG,
        Level.INFO,
        "until its fleet is heard",
        told == null ? "none" : told.number(),
        "none",
        true);
    keepTo.accept(own, StricterSettings.strictest(holds));
  }

  /**
   * Counts up with every other thing that is kept to; none where what is kept to is over by now.
   */
  int stance(Moment now) {
    return leaseHolder.isExpired(now) || membership.isOutOfContact(now) != adrift ? NONE : stance;
  }

  /** At the beginning of a turn. */
  void look(Moment now) {
    if (leaseHolder.restrictIfExpired(now)) {
      keep();
    }
    if (membership.isOutOfContact(now) != adrift) {
      drifts(now);
    }
  }

  /**
   * Without a word for so long that any member may serve another group: none is used until one
   * comes.
   */
  private void drifts(Moment now) {
    adrift = membership.isOutOfContact(now);
    stance++;
    Event.ADRIFT.log(
        LOG,
        Level.WARN,
        adrift ? "no member is used" : "members are used again",
        now.since(leaseHolder.leaseEnd()).micros() / 1_000);
    list.publishMembershipChanges(now);
  }

  /** With what the fleet makes of lists; null where its leader says nothing of them. */
  void granted(Moment now, LeaseGrant grant, MembershipUpdate update) {
    if (update != null) {
      membership.receiveUpdate(now, update);
    }
    if (grant.prepared() != null && grant.prepared().number() != refused) {
      String fault = fault(grant.prepared());
      if (!fault.isEmpty()) {
        refused = grant.prepared().number();
        refusal = fault;
        Event.FLEET_TURNED_DOWN.log(LOG, Level.WARN, "", refused, refusal);
      }
    }
    // A version that this router can't hold is not kept to either; the leader withdraws it for all.
    boolean takes = grant.prepared() == null || grant.prepared().number() != refused;
    if (leaseHolder.acceptGrant(
        now,
        takes
            ? grant
            : new LeaseGrant(
                grant.heartbeatNumber(),
                grant.duration(),
                grant.inForce(),
                null,
                grant.changeCount()))) {
      keep();
    }
    if (grant.duration().micros() > 0) {
      // One that was replaced without knowing it goes on answering, with nothing to give.
      membership.extendLease(leaseHolder.leaseEnd());
    }
    if (membership.isOutOfContact(now) != adrift) {
      drifts(now);
    } else if (update != null) {
      list.publishMembershipChanges(now);
    }
    if (membership.isListOutdated() && era != membership.era()) {
      era = membership.era();
      asksAnew.run();
    }
  }

  private String fault(SettingsVersion version) {
    try {
      StartFile next = file(version);
      List<String> fixed = next.changesOfFixedFleetSettings(own);
      if (!fixed.isEmpty()) {
        return String.join(", ", fixed) + ": takes a restart";
      }
      return String.join(
          "; ",
          SettingsConstraints.findViolations(
              next.startValues().settings(), own.startValues().settings(), widestBound));
    } catch (InvalidSettingsException fault) {
      return fault.getMessage().replace('\n', ';');
    }
  }

  /** Of one that is free of faults. */
  private Settings agreed(SettingsVersion version) {
    try {
      return file(version).startValues().settings();
    } catch (InvalidSettingsException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  private StartFile file(SettingsVersion version) throws InvalidSettingsException {
    return own.with(version.settingsJson(), version.routers());
  }

  private void keep() {
    stance++;
    SettingsVersion known = leaseHolder.inForce();
    SettingsVersion next = leaseHolder.prepared();
    Settings holds;
    try {
      force = known == null ? own : file(known);
      holds = force.startValues().settings();
      if (leaseHolder.isRestricted()) {
        holds = StricterSettings.strictest(holds);
      } else if (next != null) {
        holds = StricterSettings.of(holds, file(next).startValues().settings());
      }
    } catch (InvalidSettingsException impossible) {
      // It was checked before it came into force, by this build or by another: whoever can't read
      // what
      // all others act on acts on nothing that could contradict it.
      Event.FLEET_TURNED_DOWN.log(
          LOG, Level.ERROR, "kept to with care", known.number(), impossible.getMessage());
      holds = StricterSettings.strictest(own.startValues().settings());
    }
    Event.FLEET_KEEPS.log(
        LOG,
        Level.INFO,
        "",
        known == null ? "none" : known.number(),
        next == null ? "none" : next.number(),
        leaseHolder.isRestricted());
    keepTo.accept(force, holds);
  }
}
