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
   * A leader that was replaced goes on answering with nothing to give: that is no word of the
   * fleet.
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
    HeartbeatReport report = membership.createReport(new Moment(0), member -> true);
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
      check(i >= 3 || !membership.isOutOfContact(now), "under a lease");
      now = now.plus(Span.ofMillis(100));
      leaseGuard.checkLease(now);
    }
    check(
        membership.isOutOfContact(now),
        "5.7 s after the last grant that lasted, whatever was answered since");
    check(
        leaseGuard.fencingToken(now) >= 0,
        "and it knows: what is decided now may go out, to nobody");
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
              check(file == own, "the file in force is its own until a grant comes");
              applied.add(holds);
            });
    leaseGuard.begin(lastReceived);
    check(
        leaseGuard.leaseHolder().isRestricted() && leaseGuard.leaseHolder().inForce() == null,
        "told is not in force");
    return applied.get(0);
  }

  /**
   * Its start file says how many routers there were when somebody wrote it; the fleet knows by now.
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
        "a smaller share of each cold node");
    Settings fewerRouters = settingsAfterBegin(new SettingsVersion(8, "", 1, "ops", "shrunk", 1));
    check(
        fewerRouters.identity().routerCount() == withoutVersion.identity().routerCount(),
        "never a larger one than its file says");
    for (Settings holds : List.of(withoutVersion, moreRouters, fewerRouters)) {
      check(
          holds.attemptLimits().maxAttempts() == 1 && !holds.attemptLimits().hedgingEnabled(),
          "with care in any case");
    }
    Settings unreadable =
        settingsAfterBegin(
            new SettingsVersion(9, "{\"Balancers\":\"many\"}", 90, "ops", "of a later release", 1));
    check(
        unreadable.identity().routerCount() == withoutVersion.identity().routerCount(),
        "what can't be read is left out");
  }

  /** The example's settings, but for one thing. */
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
        "nodes warm for longer");
    Settings fasterWarmUp = settingsAfterBegin(changed("\"Cold\": 9000000", "\"Cold\": 1000000"));
    check(
        fasterWarmUp.slowStart().warmUpTime().equals(withoutVersion.slowStart().warmUpTime()),
        "and never for less than its file says");
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
        "not the time of another workload");
    Settings reorderedConsistency =
        settingsAfterBegin(changed("[\"bounded\", \"write\"]", "[\"write\", \"bounded\"]"));
    check(
        reorderedConsistency.workloads()[0].consistency()
            == withoutVersion.workloads()[0].consistency(),
        "no write for a read");
  }
}
