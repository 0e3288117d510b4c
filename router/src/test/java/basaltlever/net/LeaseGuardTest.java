package basaltlever.net;

import static basaltlever.StandIn.check;

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
  void grantsThatLastNothingDoNotKeepMembersAssigned() throws Exception {
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
      Span lasts = i < 3 ? Span.ofMillis(400) : Span.NONE;
      leaseGuard.granted(
          now,
          new LeaseGrant(
              leaseGuard.follower().registerHeartbeat(now),
              lasts,
              new SettingsVersion(0, "", 1, "", "", 0),
              null,
              0),
          update);
      check(i >= 3 || !membership.isOutOfContact(now), "under a lease");
      now = now.plus(Span.ofMillis(100));
      leaseGuard.look(now);
    }
    check(
        membership.isOutOfContact(now),
        "5.7 s after the last grant that lasted, whatever was answered since");
    check(leaseGuard.stance(now) >= 0, "and it knows: what is decided now may go out, to nobody");
  }

  private static Settings begins(SettingsVersion told) throws Exception {
    Path example =
        Files.exists(Path.of("deploy"))
            ? Path.of("deploy/example.json")
            : Path.of("../deploy/example.json");
    MembershipView membership = new MembershipView(Span.ofMillis(1_000), ASSIGNED);
    EndpointList list = new EndpointList(null, List.of(), null);
    list.setMembershipView(membership, () -> new Moment(0));
    List<Settings> kept = new ArrayList<>();
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
              kept.add(holds);
            });
    leaseGuard.begin(told);
    check(
        leaseGuard.follower().isRestricted() && leaseGuard.follower().inForce() == null,
        "told is not in force");
    return kept.get(0);
  }

  /**
   * Its start file says how many routers there were when somebody wrote it; the fleet knows by now.
   */
  @Example
  void aProcessThatStartsWithoutAWordKeepsToNothingLooserThanWhatItsLastOneWasTold()
      throws Exception {
    Settings own = begins(null);
    Settings more =
        begins(new SettingsVersion(7, "", own.identity().routers() + 40, "ops", "grown", 1));
    check(
        more.identity().routers() == own.identity().routers() + 40,
        "a smaller share of each cold node");
    Settings fewer = begins(new SettingsVersion(8, "", 1, "ops", "shrunk", 1));
    check(
        fewer.identity().routers() == own.identity().routers(),
        "never a larger one than its file says");
    for (Settings holds : List.of(own, more, fewer)) {
      check(
          holds.attemptLimits().maxAttempts() == 1 && !holds.attemptLimits().hedgedRequests(),
          "with care in any case");
    }
    Settings unread =
        begins(
            new SettingsVersion(9, "{\"Balancers\":\"many\"}", 90, "ops", "of a later release", 1));
    check(
        unread.identity().routers() == own.identity().routers(), "what can't be read is left out");
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
  void whatItWasToldIsStricterKeyByKeyAndLeftOutWhereItIsOfOtherWorkloads() throws Exception {
    Settings own = begins(null);
    Settings colder = begins(changed("\"Cold\": 9000000", "\"Cold\": 19000000"));
    check(colder.slowStart().warmAfter().equals(Span.ofMillis(19_000)), "nodes warm for longer");
    Settings warmer = begins(changed("\"Cold\": 9000000", "\"Cold\": 1000000"));
    check(
        warmer.slowStart().warmAfter().equals(own.slowStart().warmAfter()),
        "and never for less than its file says");
    Settings renamed =
        begins(
            changed(
                "\"list\", \"Repeat\": \"idempotent\", \"Slo\": 400000",
                "\"catalogue\", \"Repeat\": \"idempotent\", \"Slo\": 100000"));
    check(
        renamed.workloads()[0].latencyObjective().equals(own.workloads()[0].latencyObjective()),
        "not the time of another workload");
    Settings flipped = begins(changed("[\"bounded\", \"write\"]", "[\"write\", \"bounded\"]"));
    check(
        flipped.workloads()[0].consistency() == own.workloads()[0].consistency(),
        "no write for a read");
  }
}
