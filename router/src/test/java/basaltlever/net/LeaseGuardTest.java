package basaltlever.net;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.config.StartFile;
import basaltlever.discovery.EndpointList;
import basaltlever.gateway.Settings;
import basaltlever.membership.HeartbeatReport;
import basaltlever.membership.ListAgreement;
import basaltlever.membership.MembershipUpdate;
import basaltlever.membership.MembershipView;
import basaltlever.settings.LeaseGrant;
import basaltlever.settings.SettingsVersion;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

class LeaseGuardTest {
  private static final Span ASSIGNED = Span.ofMillis(3_000);

  /**
   * A replaced leader continues to answer with grants of zero duration, which do not count as
   * contact with the fleet.
   */
  @Example
  void grantsOfZeroDurationDoNotExtendAssignments() throws Exception {
    Path example =
        Files.exists(Path.of("deploy"))
            ? Path.of("deploy/example.json")
            : Path.of("../deploy/example.json");
    MembershipView membership = new MembershipView(Span.ofMillis(1_000), ASSIGNED);
    EndpointList list = new EndpointList(null, List.of(), null);
    list.setMembershipView(membership, () -> new Moment(0));
    LeaseGuard leaseGuard =
        new LeaseGuard(
            StartFile.read(example), Span.NONE, membership, list, () -> {}, (file, holds) -> {});
    HeartbeatReport report = membership.createReport(new Moment(0), endpoint -> true);
    MembershipUpdate update =
        new MembershipUpdate(
            1,
            0,
            List.of(),
            0,
            ListAgreement.UNTOLD,
            report.listVersion(),
            report.digest(),
            0,
            0,
            List.of());
    Moment now = new Moment(1_000_000);
    for (int i = 0; i < 60; i++) {
      Span duration = i < 3 ? Span.ofMillis(400) : Span.NONE;
      leaseGuard.onGrant(
          now,
          new LeaseGrant(
              leaseGuard.leaseHolder().registerHeartbeat(now),
              duration,
              new SettingsVersion(0, "", 1, "", "", 0),
              null,
              0),
          update);
      check(
          i >= 3 || !membership.isOutOfContact(now),
          "the router is in contact while its lease lasts");
      now = now.plus(Span.ofMillis(100));
      leaseGuard.checkLease(now);
    }
    check(
        membership.isOutOfContact(now),
        "out of contact 5.7 s after the last grant of a duration, despite later answers");
    check(
        leaseGuard.fencingToken(now) >= 0,
        "the loss of contact is noted, so the fencing token is valid");
  }

  private static Settings settingsAfterBegin(SettingsVersion lastReceived) throws Exception {
    Path example =
        Files.exists(Path.of("deploy"))
            ? Path.of("deploy/example.json")
            : Path.of("../deploy/example.json");
    MembershipView membership = new MembershipView(Span.ofMillis(1_000), ASSIGNED);
    EndpointList list = new EndpointList(null, List.of(), null);
    list.setMembershipView(membership, () -> new Moment(0));
    List<Settings> applied = new ArrayList<>();
    StartFile own = StartFile.read(example);
    LeaseGuard leaseGuard =
        new LeaseGuard(
            own,
            Span.NONE,
            membership,
            list,
            () -> {},
            (file, holds) -> {
              check(file == own, "the installed file is in force until the first grant");
              applied.add(holds);
            });
    leaseGuard.begin(lastReceived);
    check(
        leaseGuard.leaseHolder().isRestricted() && leaseGuard.leaseHolder().inForce() == null,
        "the last received version is not in force");
    return applied.get(0);
  }

  /**
   * The start file holds the number of routers at the time it was written; the fleet has a newer
   * one.
   */
  @Example
  void startWithoutGrantAppliesNothingLooserThanLastReceivedVersion() throws Exception {
    Settings withoutVersion = settingsAfterBegin(null);
    Settings moreRouters =
        settingsAfterBegin(
            new SettingsVersion(
                7, "", withoutVersion.identity().routerCount() + 40, "ops", "grown", 1));
    check(
        moreRouters.identity().routerCount() == withoutVersion.identity().routerCount() + 40,
        "more routers mean a smaller share of each cold endpoint");
    Settings fewerRouters = settingsAfterBegin(new SettingsVersion(8, "", 1, "ops", "shrunk", 1));
    check(
        fewerRouters.identity().routerCount() == withoutVersion.identity().routerCount(),
        "the share is never larger than by the start file");
    for (Settings holds : List.of(withoutVersion, moreRouters, fewerRouters)) {
      check(
          holds.attemptLimits().maxAttempts() == 1 && !holds.attemptLimits().hedgingEnabled(),
          "one attempt and no hedging in any case");
    }
    Settings unreadable =
        settingsAfterBegin(
            new SettingsVersion(9, "{\"Balancers\":\"many\"}", 90, "ops", "of a later release", 1));
    check(
        unreadable.identity().routerCount() == withoutVersion.identity().routerCount(),
        "a version that can't be read is ignored");
  }

  /** Returns the example's settings with one change. */
  private static SettingsVersion changed(String from, String to) throws Exception {
    Path example =
        Files.exists(Path.of("deploy"))
            ? Path.of("deploy/example.json")
            : Path.of("../deploy/example.json");
    String text = Files.readString(example);
    String settings =
        text.substring(text.indexOf('{', text.indexOf("\"settings\"")), text.lastIndexOf('}'));
    check(settings.contains(from), from + " is in the example");
    return new SettingsVersion(7, settings.replace(from, to), 2, "ops", to, 1);
  }

  @Example
  void lastReceivedVersionTightensEachKeyAndIsIgnoredForOtherWorkloads() throws Exception {
    Settings withoutVersion = settingsAfterBegin(null);
    Settings slowerWarmUp = settingsAfterBegin(changed("\"Cold\": 9000000", "\"Cold\": 19000000"));
    check(
        slowerWarmUp.slowStart().warmUpTime().equals(Span.ofMillis(19_000)),
        "endpoints warm up for longer");
    Settings fasterWarmUp = settingsAfterBegin(changed("\"Cold\": 9000000", "\"Cold\": 1000000"));
    check(
        fasterWarmUp.slowStart().warmUpTime().equals(withoutVersion.slowStart().warmUpTime()),
        "endpoints never warm up for less than by the start file");
    Settings renamedWorkload =
        settingsAfterBegin(
            changed(
                "\"list\", \"Repeat\": \"idempotent\", \"Slo\": 400000",
                "\"catalogue\", \"Repeat\": \"idempotent\", \"Slo\": 100000"));
    check(
        renamedWorkload
            .workloads()[0]
            .latencyObjective()
            .equals(withoutVersion.workloads()[0].latencyObjective()),
        "the latency objective of another workload is not used");
    Settings reorderedConsistency =
        settingsAfterBegin(changed("[\"bounded\", \"write\"]", "[\"write\", \"bounded\"]"));
    check(
        reorderedConsistency.workloads()[0].consistency()
            == withoutVersion.workloads()[0].consistency(),
        "a write workload does not replace a read workload");
  }

  /** A lease guard of the example, the settings that it applied last, and its heartbeats. */
  private static final class GuardedRouter {
    private final List<Settings> applied = new ArrayList<>();
    private final LeaseGuard leaseGuard;

    GuardedRouter() throws Exception {
      EndpointList list = new EndpointList(null, List.of(), null);
      MembershipView membership = new MembershipView(Span.ofMillis(1_000), ASSIGNED);
      list.setMembershipView(membership, () -> new Moment(0));
      Path example =
          Files.exists(Path.of("deploy"))
              ? Path.of("deploy/example.json")
              : Path.of("../deploy/example.json");
      leaseGuard =
          new LeaseGuard(
              StartFile.read(example),
              Span.NONE,
              membership,
              list,
              () -> {},
              (file, effective) -> applied.add(effective));
    }

    /** Receives a grant and returns the settings that the router then complies with. */
    Settings receive(Moment now, SettingsVersion inForce, SettingsVersion prepared) {
      leaseGuard.onGrant(
          now,
          new LeaseGrant(
              leaseGuard.leaseHolder().registerHeartbeat(now),
              Span.ofMillis(400),
              inForce,
              prepared,
              0),
          null);
      return applied.get(applied.size() - 1);
    }
  }

  private static final SettingsVersion INSTALLED = new SettingsVersion(1, "", 2, "", "", 0);

  /**
   * Guards against a version that is prepared for the decisions only: timeouts of connections and
   * the longest advice to clients came from the version in force.
   */
  @Example
  void preparedVersionBindsConnectionsUntilItIsWithdrawn() throws Exception {
    GuardedRouter router = new GuardedRouter();
    Moment now = new Moment(1_000_000);
    Settings inForce = router.receive(now, INSTALLED, null);
    Settings prepared =
        router.receive(now, INSTALLED, changed("\"DrainGrace\": 500000", "\"DrainGrace\": 90000"));
    check(
        prepared.poolSettings().connectTimeout().equals(Span.ofMillis(90)),
        "a connection must be open within the shorter grace: " + prepared.poolSettings());
    check(
        router.receive(now, INSTALLED, null).poolSettings().equals(inForce.poolSettings()),
        "a withdrawn version leaves nothing behind");
  }

  /** The version may come into force for others as soon as this router has lost its lease. */
  @Example
  void routerThatLosesItsLeaseKeepsToThePreparedVersionToo() throws Exception {
    GuardedRouter router = new GuardedRouter();
    Moment now = new Moment(1_000_000);
    router.receive(now, INSTALLED, changed("\"Cold\": 9000000", "\"Cold\": 19000000"));
    router.leaseGuard.checkLease(now.plus(Span.ofMillis(401)));
    Settings restricted = router.applied.get(router.applied.size() - 1);
    check(
        restricted.attemptLimits().maxAttempts() == 1
            && restricted.slowStart().warmUpTime().equals(Span.ofMillis(19_000)),
        "one attempt, and the longer warm-up: " + restricted.slowStart());
  }
}
