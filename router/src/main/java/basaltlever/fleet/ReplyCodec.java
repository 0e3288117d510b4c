package basaltlever.fleet;

import basaltlever.fleet.FleetReply.Accepted;
import basaltlever.fleet.FleetReply.LeaseGranted;
import basaltlever.fleet.FleetReply.NotLeader;
import basaltlever.fleet.FleetReply.Rejected;
import basaltlever.fleet.FleetReply.Retiring;
import basaltlever.fleet.FleetReply.Undecided;
import basaltlever.time.Span;
import java.util.LinkedHashMap;
import java.util.Map;

/** Converts voters' replies to and from maps with CBOR keys. */
final class ReplyCodec {
  private ReplyCodec() {}

  static Map<String, Object> encode(FleetReply reply) {
    if (reply instanceof LeaseGranted granted) {
      return encode(granted);
    } else if (reply instanceof NotLeader notLeader) {
      return Map.of("do", "follows", "leader", notLeader.leader());
    } else if (reply instanceof Retiring) {
      return Map.of("do", "follows");
    } else if (reply instanceof StatusReport status) {
      return StatusCodec.encode(status);
    } else if (reply instanceof Accepted) {
      return Map.of("do", "taken", "why", "");
    } else if (reply instanceof Rejected rejected) {
      return Map.of("do", "refused", "why", rejected.reason());
    } else if (reply instanceof Undecided undecided) {
      return Map.of("do", "unknown", "why", undecided.reason());
    }
    throw new IllegalArgumentException("voters don't send replies of this kind: " + reply);
  }

  private static Map<String, Object> encode(LeaseGranted granted) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("do", "grant");
    fields.put("beat", granted.heartbeat());
    fields.put("lasts", granted.duration().micros());
    fields.put("changes", granted.changeCount());
    fields.put("members", granted.voters());
    fields.put("force", VersionCodec.encode(granted.inForce()));
    fields.put("prepared", VersionCodec.encode(granted.prepared()));
    fields.put("lists", MembershipCodec.encode(granted.membershipUpdate()));
    return fields;
  }

  static FleetReply decode(Map<?, ?> fields) {
    String kind = MessageCodec.getText(fields, "do");
    String reason = MessageCodec.getText(fields, "why");
    return switch (kind) {
      case "grant" ->
          new LeaseGranted(
              MessageCodec.getNumber(fields, "beat"),
              new Span(MessageCodec.getNumber(fields, "lasts")),
              MessageCodec.getNumber(fields, "changes"),
              MessageCodec.getTexts(fields, "members"),
              VersionCodec.decodeSent(fields.get("force")),
              VersionCodec.decodeSent(fields.get("prepared")),
              MembershipCodec.decodeUpdate(fields.get("lists")));
      case "follows" -> new NotLeader(MessageCodec.getText(fields, "leader"));
      case "status" -> StatusCodec.decode(fields);
      case "taken" -> new Accepted();
      case "refused" -> new Rejected(reason);
      case "unknown" -> new Undecided(reason);
      default -> new FleetReply.Unknown(kind, reason);
    };
  }
}
