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

  private static final int NO_TOKEN = -1;

  private final LeaseHolder leaseHolder = new LeaseHolder();
  private final StartFile installedFile;
  private final Span maxStalenessBound;
  private final MembershipView membership;
  private final EndpointList list;
  private final BiConsumer<StartFile, Settings> settingsListener;

  /** Asks discovery for the whole list. */
  private final Runnable fullListRequest;

  private boolean outOfContact = true;
  private long era;
  private int fencingToken;
  private StartFile fileInForce;
  private long refusedVersion;
  private String refusalReason = "";

  /**
   * Own is the start file as installed; roll and list are this router's; keepTo is given the file
   * in force and what holds for now.
   */
  LeaseGuard(
      StartFile installedFile,
      Span maxStalenessBound,
      MembershipView membership,
      EndpointList list,
      Runnable fullListRequest,
      BiConsumer<StartFile, Settings> settingsListener) {
    this.installedFile = installedFile;
    this.membership = membership;
    this.list = list;
    this.fullListRequest = fullListRequest;
    this.maxStalenessBound = maxStalenessBound;
    this.settingsListener = settingsListener;
    fileInForce = installedFile;
  }

  LeaseHolder leaseHolder() {
    return leaseHolder;
  }

  long refusedVersion() {
    return refusedVersion;
  }

  String refusalReason() {
    return refusalReason;
  }

  /**
   * Before the first grant nothing is known to hold. The stricter of the start file and of what an
   * earlier process of this router was told last bounds what no care can: how many share a cold
   * node's budget, how long it takes to warm, how long a list may be kept.
   */
  void begin(SettingsVersion lastReceived) {
    Settings effective = installedFile.startValues().settings();
    if (lastReceived != null) {
      // As any version: by place, other names would give one workload the times of another.
      String fault = findFault(lastReceived);
      if (fault.isEmpty()) {
        effective = StricterSettings.of(effective, settingsOf(lastReceived));
      } else {
        Event.FLEET_TURNED_DOWN.log(
            LOG,
            Level.WARN,
            "left out: the start file is kept to, with care",
            lastReceived.number(),
            fault);
      }
    }
    Event.FLEET_KEEPS.log(
        LOG,
        Level.INFO,
        "until its fleet is heard",
        lastReceived == null ? "none" : lastReceived.number(),
        "none",
        true);
    settingsListener.accept(installedFile, StricterSettings.strictest(effective));
  }

  /**
   * Counts up with every other thing that is kept to; none where what is kept to is over by now.
   */
  int fencingToken(Moment now) {
    return leaseHolder.isExpired(now) || membership.isOutOfContact(now) != outOfContact
        ? NO_TOKEN
        : fencingToken;
  }

  /** At the beginning of a turn. */
  void checkLease(Moment now) {
    if (leaseHolder.restrictIfExpired(now)) {
      applySettings();
    }
    if (membership.isOutOfContact(now) != outOfContact) {
      updateContact(now);
    }
  }

  /**
   * Without a word for so long that any member may serve another group: none is used until one
   * comes.
   */
  private void updateContact(Moment now) {
    outOfContact = membership.isOutOfContact(now);
    fencingToken++;
    Event.ADRIFT.log(
        LOG,
        Level.WARN,
        outOfContact ? "no member is used" : "members are used again",
        now.since(leaseHolder.leaseEnd()).micros() / 1_000);
    list.publishMembershipChanges(now);
  }

  /** With what the fleet makes of lists; null where its leader says nothing of them. */
  void onGrant(Moment now, LeaseGrant grant, MembershipUpdate update) {
    if (update != null) {
      membership.receiveUpdate(now, update);
    }
    if (grant.prepared() != null && grant.prepared().number() != refusedVersion) {
      String fault = findFault(grant.prepared());
      if (!fault.isEmpty()) {
        refusedVersion = grant.prepared().number();
        refusalReason = fault;
        Event.FLEET_TURNED_DOWN.log(LOG, Level.WARN, "", refusedVersion, refusalReason);
      }
    }
    // A version that this router can't hold is not kept to either; the leader withdraws it for all.
    boolean isAcceptable = grant.prepared() == null || grant.prepared().number() != refusedVersion;
    if (leaseHolder.acceptGrant(
        now,
        isAcceptable
            ? grant
            : new LeaseGrant(
                grant.heartbeatNumber(),
                grant.duration(),
                grant.inForce(),
                null,
                grant.changeCount()))) {
      applySettings();
    }
    if (grant.duration().micros() > 0) {
      // One that was replaced without knowing it goes on answering, with nothing to give.
      membership.extendLease(leaseHolder.leaseEnd());
    }
    if (membership.isOutOfContact(now) != outOfContact) {
      updateContact(now);
    } else if (update != null) {
      list.publishMembershipChanges(now);
    }
    if (membership.isListOutdated() && era != membership.era()) {
      era = membership.era();
      fullListRequest.run();
    }
  }

  private String findFault(SettingsVersion version) {
    try {
      StartFile candidate = fileWith(version);
      List<String> keysNeedingRestart = candidate.changesOfFixedFleetSettings(installedFile);
      if (!keysNeedingRestart.isEmpty()) {
        return String.join(", ", keysNeedingRestart) + ": takes a restart";
      }
      return String.join(
          "; ",
          SettingsConstraints.findViolations(
              candidate.startValues().settings(),
              installedFile.startValues().settings(),
              maxStalenessBound));
    } catch (InvalidSettingsException fault) {
      return fault.getMessage().replace('\n', ';');
    }
  }

  /** Of one that is free of faults. */
  private Settings settingsOf(SettingsVersion version) {
    try {
      return fileWith(version).startValues().settings();
    } catch (InvalidSettingsException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  private StartFile fileWith(SettingsVersion version) throws InvalidSettingsException {
    return installedFile.withSettings(version.settingsJson(), version.routers());
  }

  private void applySettings() {
    fencingToken++;
    SettingsVersion versionInForce = leaseHolder.inForce();
    SettingsVersion preparedVersion = leaseHolder.prepared();
    Settings effective;
    try {
      fileInForce = versionInForce == null ? installedFile : fileWith(versionInForce);
      effective = fileInForce.startValues().settings();
      if (leaseHolder.isRestricted()) {
        effective = StricterSettings.strictest(effective);
      } else if (preparedVersion != null) {
        effective =
            StricterSettings.of(effective, fileWith(preparedVersion).startValues().settings());
      }
    } catch (InvalidSettingsException unreadable) {
      // It was checked before it came into force, by this build or by another: whoever can't read
      // what
      // all others act on acts on nothing that could contradict it.
      Event.FLEET_TURNED_DOWN.log(
          LOG, Level.ERROR, "kept to with care", versionInForce.number(), unreadable.getMessage());
      effective = StricterSettings.strictest(installedFile.startValues().settings());
    }
    Event.FLEET_KEEPS.log(
        LOG,
        Level.INFO,
        "",
        versionInForce == null ? "none" : versionInForce.number(),
        preparedVersion == null ? "none" : preparedVersion.number(),
        leaseHolder.isRestricted());
    settingsListener.accept(fileInForce, effective);
  }
}
