package basaltlever.fleet;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.membership.DrainMark;
import basaltlever.membership.GroupAssignment;
import basaltlever.membership.HeartbeatReport;
import basaltlever.membership.ListAgreement;
import basaltlever.membership.ListAnomaly;
import basaltlever.membership.ListVersion;
import basaltlever.membership.MembershipUpdate;
import basaltlever.settings.SettingsVersion;
import basaltlever.settings.VersionRegister.HistoryEntry;
import basaltlever.settings.VersionRegister.VersionOutcome;
import basaltlever.time.Span;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;

/**
 * Each typed message is read as it was written, with keys that this release doesn't know ignored
 * and keys that are missing taking their defaults.
 */
class TypedMessagesTest {
  private static final ListVersion AT = new ListVersion(1, 42);
  private static final GroupAssignment ASSIGNMENT = new GroupAssignment("db-1", 3, AT, true);
  private static final DrainMark MARK = new DrainMark("db-2", AT, true);
  private static final SettingsVersion VERSION =
      new SettingsVersion(7, "{\"MaxOpen\":400}", 12, "ops", "more", 1_796_000_000_000L);
  private static final SettingsVersion WITHOUT_TEXT =
      new SettingsVersion(6, "", 11, "ops", "fewer", 1_795_000_000_000L);
  private static final HeartbeatReport REPORT =
      new HeartbeatReport(
          AT,
          99,
          ListAnomaly.BACK,
          List.of(MARK),
          4,
          List.of(ASSIGNMENT),
          List.of("db-3"),
          5,
          6,
          7);
  private static final MembershipUpdate UPDATE =
      new MembershipUpdate(
          1, 2, List.of(MARK), 3, ListAgreement.AHEAD, AT, 99, 1, 8, List.of(ASSIGNMENT));

  /** Over the bytes of the wire, with keys of a later release. */
  private static Map<String, Object> sent(Map<String, Object> fields) throws IOException {
    Map<String, Object> withUnknown = new LinkedHashMap<>();
    withUnknown.put("of_a_later_release", List.of(Map.of("a", 1)));
    withUnknown.putAll(fields);
    byte[] bytes = MessageCodec.write(withUnknown);
    return MessageCodec.read(bytes, 0, bytes.length);
  }

  @Example
  void requestsAreReadAsWritten() throws IOException {
    List<FleetRequest> requests =
        List.of(
            new FleetRequest.Heartbeat(
                "cards", "n1", 5, 6, 7, 8, 9, "too many", true, REPORT, 2, "id"),
            new FleetRequest.Propose("cards", 7, "{}", "ops", "more"),
            new FleetRequest.ChangeVoters("cards", "n2", true),
            new FleetRequest.Recover("cards", 2, List.of("n2", "n3"), "ops", "fire"),
            new FleetRequest.Status("cards", "n2"),
            new FleetRequest.Status("cards", ""));
    for (FleetRequest request : requests) {
      FleetRequest read = RequestCodec.decode(sent(RequestCodec.encode(request)));
      check(read.equals(request), request + " is read as " + read);
    }
  }

  @Example
  void repliesAreReadAsWritten() throws IOException {
    List<FleetReply> replies =
        List.of(
            new FleetReply.LeaseGranted(
                6,
                Span.ofMillis(390),
                14,
                List.of("n1", "n2"),
                new SentVersion(WITHOUT_TEXT, false),
                new SentVersion(VERSION, true),
                UPDATE),
            new FleetReply.LeaseGranted(
                6, Span.NONE, 14, List.of(), new SentVersion(VERSION, true), null, UPDATE),
            new FleetReply.NotLeader("n2"),
            new FleetReply.Accepted(),
            new FleetReply.Refused("stale"),
            new FleetReply.Undecided("no majority"),
            status());
    for (FleetReply reply : replies) {
      FleetReply read = ReplyCodec.decode(sent(ReplyCodec.encode(reply)));
      check(read.equals(reply), reply + " is read as " + read);
    }
    FleetReply read = ReplyCodec.decode(sent(ReplyCodec.encode(new FleetReply.Retiring())));
    check(read.equals(new FleetReply.NotLeader("")), "a retiring voter names no leader: " + read);
  }

  private static StatusReport status() {
    return new StatusReport(
        true,
        "leader, term 3, applied 14 of 14",
        2,
        List.of("n1", "n2"),
        true,
        14,
        VERSION,
        null,
        List.of(
            new StatusReport.HistoryLine(
                new SentVersion(WITHOUT_TEXT, false), "REFUSED", "it is too late"),
            new StatusReport.HistoryLine(new SentVersion(VERSION, true), "IN_FORCE", "")),
        List.of(new StatusReport.PeerLine("n1", 1, 2, 3, 4, 5, "no", 42, "63", "SEEN")),
        List.of(new StatusReport.ForkLine(42, List.of(List.of("n1"), List.of("n2", "n3")))),
        1,
        8,
        List.of(ASSIGNMENT),
        "id");
  }

  @Example
  void commandsAreReadAsWritten() throws IOException {
    RaftCommand.Propose proposal =
        new RaftCommand.Propose(7, "{}", 12, "ops", "more", 1_796_000_000_000L);
    RegisterContent content =
        new RegisterContent(
            VERSION,
            null,
            7,
            14,
            1,
            8,
            List.of(ASSIGNMENT),
            Map.of("n1", "id"),
            List.of("n3"),
            List.of(
                new HistoryEntry(WITHOUT_TEXT, VersionOutcome.WITHDRAWN, "a majority was lost")));
    List<RaftCommand> commands =
        List.of(
            proposal,
            new RaftCommand.BringIntoForce(7),
            new RaftCommand.Withdraw(7, "n2: too many"),
            new RaftCommand.Assign(List.of(ASSIGNMENT)),
            new RaftCommand.ClearAssignments(List.of(ASSIGNMENT)),
            new RaftCommand.CountAnew(1),
            new RaftCommand.RegisterVoterFolder("n1", "id"),
            new RaftCommand.ForgetVoterFolder("n1"),
            new RaftCommand.StartEpoch(content),
            new RaftCommand.Tick());
    for (RaftCommand command : commands) {
      RaftCommand read = RaftCommandCodec.decode(sent(RaftCommandCodec.encode(command)));
      check(read.equals(command), command + " is read as " + read);
    }
    RaftCommand read =
        RaftCommandCodec.decode(
            sent(RaftCommandCodec.encode(new RaftCommand.ProposeRouterCount(proposal))));
    check(read.equals(proposal), "a count of routers is a proposal: " + read);
  }

  @Example
  void whatIsMissingOrNotKnownTakesItsDefault() throws IOException {
    check(
        RequestCodec.decode(sent(Map.of("do", "beat", "fleet", "cards")))
            .equals(
                new FleetRequest.Heartbeat(
                    "cards", "", 0, 0, 0, 0, 0, "", false, HeartbeatReport.NONE, 0, "")),
        "a heartbeat");
    check(
        RequestCodec.decode(sent(Map.of("do", "later", "fleet", "cards")))
            .equals(new FleetRequest.Unknown("cards")),
        "a request of a later release");
    check(
        ReplyCodec.decode(sent(Map.of("do", "grant")))
            .equals(new FleetReply.LeaseGranted(0, Span.NONE, 0, List.of(), null, null, null)),
        "a grant");
    check(
        ReplyCodec.decode(sent(Map.of("do", "later", "why", "so")))
            .equals(new FleetReply.Unknown("later", "so")),
        "a reply of a later release");
    check(
        RaftCommandCodec.decode(sent(Map.of("do", "propose")))
            .equals(new RaftCommand.Propose(0, "", 1, "", "", 0)),
        "a proposal is for one router at least");
    check(
        RaftCommandCodec.decode(sent(Map.of("do", "later"))).equals(new RaftCommand.Unknown()),
        "a command of a later release");
  }
}
