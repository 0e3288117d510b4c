package basaltlever.fleet;

import basaltlever.fleet.StatusReport.ForkStatus;
import basaltlever.fleet.StatusReport.RouterStatus;
import basaltlever.fleet.StatusReport.VersionStatus;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Converts status reports to and from maps with CBOR keys, which commands print as JSON too. */
public final class StatusCodec {
  private StatusCodec() {}

  /** Returns the fields of a status report in the order in which voters send them. */
  public static Map<String, Object> encode(StatusReport status) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("do", "status");
    fields.put("leads", status.isLeader());
    fields.put("standing", status.raftStatus());
    fields.put("charter", status.epoch());
    fields.put("members", status.voters());
    fields.put("fresh", status.hasUnusedFolder());
    fields.put("changes", status.changeCount());
    fields.put("force", VersionCodec.encode(status.inForce()));
    fields.put("prepared", VersionCodec.encode(status.prepared()));
    fields.put("history", status.history().stream().map(StatusCodec::encode).toList());
    fields.put("peers", status.routers().stream().map(StatusCodec::encode).toList());
    fields.put("forks", status.forks().stream().map(StatusCodec::encode).toList());
    fields.put("era", status.era());
    fields.put("seats", status.assignmentChangeNumber());
    fields.put(
        "moving", status.pendingAssignments().stream().map(MembershipCodec::encode).toList());
    fields.put("seal", status.requesterFolderId());
    return fields;
  }

  /** Returns the fields of one history entry. */
  public static Map<String, Object> encode(VersionStatus version) {
    return VersionCodec.withOutcome(
        VersionCodec.encode(version.version()), version.outcome(), version.reason());
  }

  private static Map<String, Object> encode(RouterStatus router) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("name", router.name());
    fields.put("incarnation", router.incarnation());
    fields.put("lease_ms", router.leaseMillis());
    fields.put("heard_ms_ago", router.millisSinceHeartbeat());
    fields.put("force", router.inForce());
    fields.put("keeps", router.acknowledged());
    fields.put("refusal", router.rejectionReason());
    fields.put("generation", router.generation());
    fields.put("digest", router.digest());
    fields.put("list", router.listState());
    return fields;
  }

  private static Map<String, Object> encode(ForkStatus fork) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("generation", fork.generation());
    fields.put("holders", fork.holders());
    return fields;
  }

  static StatusReport decode(Map<?, ?> fields) {
    return new StatusReport(
        MessageCodec.getFlag(fields, "leads"),
        MessageCodec.getText(fields, "standing"),
        MessageCodec.getNumber(fields, "charter"),
        MessageCodec.getTexts(fields, "members"),
        MessageCodec.getFlag(fields, "fresh"),
        MessageCodec.getNumber(fields, "changes"),
        VersionCodec.decode(fields.get("force")),
        VersionCodec.decode(fields.get("prepared")),
        MembershipCodec.decodeAll(fields.get("history"), StatusCodec::decodeVersionStatus),
        MembershipCodec.decodeAll(fields.get("peers"), StatusCodec::decodeRouterStatus),
        MembershipCodec.decodeAll(fields.get("forks"), StatusCodec::decodeForkStatus),
        MessageCodec.getNumber(fields, "era"),
        MessageCodec.getNumber(fields, "seats"),
        MembershipCodec.decodeAssignments(fields.get("moving")),
        MessageCodec.getText(fields, "seal"));
  }

  private static VersionStatus decodeVersionStatus(Map<?, ?> fields) {
    return new VersionStatus(
        VersionCodec.decodeSent(fields),
        MessageCodec.getText(fields, "end"),
        MessageCodec.getText(fields, "reason"));
  }

  private static RouterStatus decodeRouterStatus(Map<?, ?> fields) {
    return new RouterStatus(
        MessageCodec.getText(fields, "name"),
        MessageCodec.getNumber(fields, "incarnation"),
        MessageCodec.getNumber(fields, "lease_ms"),
        MessageCodec.getNumber(fields, "heard_ms_ago"),
        MessageCodec.getNumber(fields, "force"),
        MessageCodec.getNumber(fields, "keeps"),
        MessageCodec.getText(fields, "refusal"),
        MessageCodec.getNumber(fields, "generation"),
        MessageCodec.getText(fields, "digest"),
        MessageCodec.getText(fields, "list"));
  }

  private static ForkStatus decodeForkStatus(Map<?, ?> fields) {
    List<List<String>> holders =
        fields.get("holders") instanceof List<?> lists
            ? lists.stream().map(StatusCodec::decodeNames).toList()
            : List.of();
    return new ForkStatus(MessageCodec.getNumber(fields, "generation"), holders);
  }

  private static List<String> decodeNames(Object value) {
    return value instanceof List<?> names
        ? names.stream().map(String::valueOf).toList()
        : List.of();
  }
}
