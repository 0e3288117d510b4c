package basaltlever.net;

import static basaltlever.StandIn.check;

import basaltlever.agree.Grant;
import basaltlever.agree.Report;
import basaltlever.agree.Roll;
import basaltlever.agree.Sight;
import basaltlever.agree.Verdict;
import basaltlever.agree.Version;
import basaltlever.config.StartFile;
import basaltlever.discovery.MemberList;
import basaltlever.gateway.Agreed;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

class KeepingTest {
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
    Roll roll = new Roll(Span.ofMillis(1_000), ASSIGNED);
    MemberList list = new MemberList(null, List.of(), null);
    list.agreeBy(roll, () -> new Moment(0));
    Keeping keeping =
        new Keeping(StartFile.read(example), Span.NONE, roll, list, () -> {}, (file, holds) -> {});
    Report report = roll.report(new Moment(0), member -> true);
    Sight sight =
        new Sight(
            1, 0, List.of(), 0, Verdict.UNTOLD, report.at(), report.digest(), 0, 0, List.of());
    Moment now = new Moment(1_000_000);
    for (int i = 0; i < 60; i++) {
      Span lasts = i < 3 ? Span.ofMillis(400) : Span.NONE;
      keeping.granted(
          now,
          new Grant(keeping.follower().beat(now), lasts, new Version(0, "", 1, "", "", 0), null, 0),
          sight);
      check(i >= 3 || !roll.isAdrift(now), "under a lease");
      now = now.plus(Span.ofMillis(100));
      keeping.look(now);
    }
    check(
        roll.isAdrift(now), "5.7 s after the last grant that lasted, whatever was answered since");
    check(keeping.stance(now) >= 0, "and it knows: what is decided now may go out, to nobody");
  }

  private static Agreed begins(Version told) throws Exception {
    Path example =
        Files.exists(Path.of("deploy"))
            ? Path.of("deploy/example.json")
            : Path.of("../deploy/example.json");
    Roll roll = new Roll(Span.ofMillis(1_000), ASSIGNED);
    MemberList list = new MemberList(null, List.of(), null);
    list.agreeBy(roll, () -> new Moment(0));
    List<Agreed> kept = new ArrayList<>();
    StartFile own = StartFile.read(example);
    Keeping keeping =
        new Keeping(
            own,
            Span.NONE,
            roll,
            list,
            () -> {},
            (file, holds) -> {
              check(file == own, "the file in force is its own until a grant comes");
              kept.add(holds);
            });
    keeping.begin(told);
    check(
        keeping.follower().isCareful() && keeping.follower().inForce() == null,
        "told is not in force");
    return kept.get(0);
  }

  /**
   * Its start file says how many routers there were when somebody wrote it; the fleet knows by now.
   */
  @Example
  void aProcessThatStartsWithoutAWordKeepsToNothingLooserThanWhatItsLastOneWasTold()
      throws Exception {
    Agreed own = begins(null);
    Agreed more = begins(new Version(7, "", own.standing().routers() + 40, "ops", "grown", 1));
    check(
        more.standing().routers() == own.standing().routers() + 40,
        "a smaller share of each cold node");
    Agreed fewer = begins(new Version(8, "", 1, "ops", "shrunk", 1));
    check(
        fewer.standing().routers() == own.standing().routers(),
        "never a larger one than its file says");
    for (Agreed holds : List.of(own, more, fewer)) {
      check(
          holds.allowance().executions() == 1 && !holds.allowance().secondCopies(),
          "with care in any case");
    }
    Agreed unread =
        begins(new Version(9, "{\"Balancers\":\"many\"}", 90, "ops", "of a later release", 1));
    check(
        unread.standing().routers() == own.standing().routers(), "what can't be read is left out");
  }

  /** The example's settings, but for one thing. */
  private static Version changed(String from, String to) throws Exception {
    Path example =
        Files.exists(Path.of("deploy"))
            ? Path.of("deploy/example.json")
            : Path.of("../deploy/example.json");
    String text = Files.readString(example);
    String settings =
        text.substring(text.indexOf('{', text.indexOf("\"settings\"")), text.lastIndexOf('}'));
    check(settings.contains(from), from + " is in the example");
    return new Version(7, settings.replace(from, to), 2, "ops", to, 1);
  }

  @Example
  void whatItWasToldIsStricterKeyByKeyAndLeftOutWhereItIsOfOtherWorkloads() throws Exception {
    Agreed own = begins(null);
    Agreed colder = begins(changed("\"Cold\": 9000000", "\"Cold\": 19000000"));
    check(colder.warmUp().warmAfter().equals(Span.ofMillis(19_000)), "nodes warm for longer");
    Agreed warmer = begins(changed("\"Cold\": 9000000", "\"Cold\": 1000000"));
    check(
        warmer.warmUp().warmAfter().equals(own.warmUp().warmAfter()),
        "and never for less than its file says");
    Agreed renamed =
        begins(
            changed(
                "\"list\", \"Repeat\": \"idempotent\", \"Slo\": 400000",
                "\"catalogue\", \"Repeat\": \"idempotent\", \"Slo\": 100000"));
    check(
        renamed.workloads()[0].slo().equals(own.workloads()[0].slo()),
        "not the time of another workload");
    Agreed flipped = begins(changed("[\"bounded\", \"write\"]", "[\"write\", \"bounded\"]"));
    check(flipped.workloads()[0].needs() == own.workloads()[0].needs(), "no write for a read");
  }
}
