package basaltlever.fleet;

import basaltlever.fleet.StatusReport.ForkLine;
import basaltlever.fleet.StatusReport.HistoryLine;
import basaltlever.fleet.StatusReport.PeerLine;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Status reports as maps of their CBOR keys, which are those of the commands' JSON too. */
public final class StatusCodec {
  private StatusCodec() {}

  /** In the order in which voters send the keys. */
  public static Map<String, Object> encode(StatusReport status) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("do", "status");
    fields.put("leads", status.leads());
    fields.put("standing", status.standing());
    fields.put("charter", status.epoch());
    fields.put("members", status.members());
    fields.put("fresh", status.emptyFolder());
    fields.put("changes", status.changes());
    fields.put("force", VersionCodec.encode(status.inForce()));
    fields.put("prepared", VersionCodec.encode(status.prepared()));
    fields.put("history", status.history().stream().map(StatusCodec::encode).toList());
    fields.put("peers", status.peers().stream().map(StatusCodec::encode).toList());
    fields.put("forks", status.forks().stream().map(StatusCodec::encode).toList());
    fields.put("era", status.era());
    fields.put("seats", status.assignmentsNumber());
    fields.put("moving", status.moving().stream().map(MembershipCodec::encode).toList());
    fields.put("seal", status.folderOfAsker());
    return fields;
  }

  /** One line of the history. */
  public static Map<String, Object> encode(HistoryLine line) {
    return VersionCodec.withOutcome(
        VersionCodec.encode(line.version()), line.outcome(), line.reason());
  }

  private static Map<String, Object> encode(PeerLine peer) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("name", peer.name());
    fields.put("incarnation", peer.incarnation());
    fields.put("lease_ms", peer.leaseMillis());
    fields.put("heard_ms_ago", peer.heardMillisAgo());
    fields.put("force", peer.inForce());
    fields.put("keeps", peer.keepsTo());
    fields.put("refusal", peer.refusal());
    fields.put("generation", peer.generation());
    fields.put("digest", peer.digest());
    fields.put("list", peer.listState());
    return fields;
  }

  private static Map<String, Object> encode(ForkLine fork) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("generation", fork.generation());
    fields.put("holders", fork.holders());
    return fields;
  }

  static StatusReport decode(Map<?, ?> fields) {
    return new StatusReport(
        MessageCodec.flag(fields, "leads"),
        MessageCodec.text(fields, "standing"),
        MessageCodec.number(fields, "charter"),
        MessageCodec.texts(fields, "members"),
        MessageCodec.flag(fields, "fresh"),
        MessageCodec.number(fields, "changes"),
        VersionCodec.decode(fields.get("force")),
        VersionCodec.decode(fields.get("prepared")),
        MembershipCodec.decodeAll(fields.get("history"), StatusCodec::decodeHistoryLine),
        MembershipCodec.decodeAll(fields.get("peers"), StatusCodec::decodePeer),
        MembershipCodec.decodeAll(fields.get("forks"), StatusCodec::decodeFork),
        MessageCodec.number(fields, "era"),
        MessageCodec.number(fields, "seats"),
        MembershipCodec.decodeAssignments(fields.get("moving")),
        MessageCodec.text(fields, "seal"));
  }

  private static HistoryLine decodeHistoryLine(Map<?, ?> fields) {
    return new HistoryLine(
        VersionCodec.decodeSent(fields),
        MessageCodec.text(fields, "end"),
        MessageCodec.text(fields, "reason"));
  }

  private static PeerLine decodePeer(Map<?, ?> fields) {
    return new PeerLine(
        MessageCodec.text(fields, "name"),
        MessageCodec.number(fields, "incarnation"),
        MessageCodec.number(fields, "lease_ms"),
        MessageCodec.number(fields, "heard_ms_ago"),
        MessageCodec.number(fields, "force"),
        MessageCodec.number(fields, "keeps"),
        MessageCodec.text(fields, "refusal"),
        MessageCodec.number(fields, "generation"),
        MessageCodec.text(fields, "digest"),
        MessageCodec.text(fields, "list"));
  }

  private static ForkLine decodeFork(Map<?, ?> fields) {
    List<List<String>> holders =
        fields.get("holders") instanceof List<?> lists
            ? lists.stream().map(StatusCodec::decodeNames).toList()
            : List.of();
    return new ForkLine(MessageCodec.number(fields, "generation"), holders);
  }

  private static List<String> decodeNames(Object value) {
    return value instanceof List<?> names
        ? names.stream().map(String::valueOf).toList()
        : List.of();
  }
}
