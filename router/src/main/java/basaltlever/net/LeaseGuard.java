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
 * Applies the settings and the lease that the router fleet grants, on the router's loop. Checked at
 * the start of every iteration and before every write to a server: a process that was stopped finds
 * its lease expired before it does anything else, and what was decided under another fencing token
 * is not sent but decided again.
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

  /** Requests the full list from discovery. */
  private final Runnable fullListRequest;

  private boolean outOfContact = true;
  private long era;
  private int fencingToken;
  private StartFile fileInForce;
  private long refusedVersion;
  private String refusalReason = "";

  /**
   * Creates a guard for the start file as installed and for this router's endpoint list and
   * membership view. The settings listener receives the file in force and the settings effective
   * for now.
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
   * Applies settings until the first grant, before which no version is known to be in force. These
   * are the stricter of the start file and of the last version an earlier process of this router
   * received. They bound what the strictest settings cannot: how many routers share a cold
   * endpoint's budget, how long it takes to warm up, and how long a list may be used.
   */
  void begin(SettingsVersion lastReceived) {
    Settings effective = installedFile.startValues().settings();
    if (lastReceived != null) {
      // Checked like any version: workloads are matched by position, so other names would give one
      // workload the timeouts of another.
      String fault = findFault(lastReceived);
      if (fault.isEmpty()) {
        effective = StricterSettings.of(effective, settingsOf(lastReceived));
      } else {
        Event.FLEET_TURNED_DOWN.log(
            LOG,
            Level.WARN,
            "ignoring this version; applying the strictest values of the start file",
            lastReceived.number(),
            fault);
      }
    }
    Event.FLEET_KEEPS.log(
        LOG,
        Level.INFO,
        "applies until the first lease grant",
        lastReceived == null ? "none" : lastReceived.number(),
        "none",
        true);
    settingsListener.accept(installedFile, StricterSettings.strictest(effective));
  }

  /**
   * Returns a number that increases with each change of the lease, the settings or the contact, or
   * {@link #NO_TOKEN} if the state it stands for is outdated by now.
   */
  int fencingToken(Moment now) {
    return leaseHolder.isExpired(now) || membership.isOutOfContact(now) != outOfContact
        ? NO_TOKEN
        : fencingToken;
  }

  /** Checks the lease and the contact at the start of an iteration. */
  void checkLease(Moment now) {
    if (leaseHolder.restrictIfExpired(now)) {
      applySettings();
    }
    if (membership.isOutOfContact(now) != outOfContact) {
      updateContact(now);
    }
  }

  /**
   * Stops the use of all endpoints after so long without contact that any of them may serve another
   * group, and resumes it on contact.
   */
  private void updateContact(Moment now) {
    outOfContact = membership.isOutOfContact(now);
    fencingToken++;
    Event.ADRIFT.log(
        LOG,
        Level.WARN,
        outOfContact
            ? "no contact with the fleet; endpoints are not used"
            : "contact with the fleet restored; endpoints are used again",
        now.since(leaseHolder.leaseEnd()).micros() / 1_000);
    list.publishMembershipChanges(now);
  }

  /**
   * Applies a grant and the fleet's agreement on endpoint lists, which is null if the leader sent
   * none.
   */
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
    // A version that this router cannot apply is not acknowledged; the leader withdraws it.
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
      // A replaced leader that is unaware of it continues to answer, with grants of zero duration.
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

  /** Returns the settings of a version that was found free of faults. */
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
      if (preparedVersion != null) {
        effective =
            StricterSettings.of(effective, fileWith(preparedVersion).startValues().settings());
      }
      if (leaseHolder.isRestricted()) {
        // Without a lease the router can't know whether the prepared version has come into force.
        effective = StricterSettings.strictest(effective);
      }
    } catch (InvalidSettingsException unreadable) {
      // The version was checked before it came into force, by this build or by another. A router
      // that cannot read what all others apply uses only settings that cannot contradict it.
      Event.FLEET_TURNED_DOWN.log(
          LOG,
          Level.ERROR,
          "cannot read the version in force; applying the strictest values of the start file",
          versionInForce.number(),
          unreadable.getMessage());
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
