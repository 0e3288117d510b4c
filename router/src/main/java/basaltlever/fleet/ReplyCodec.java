package basaltlever.fleet;

import basaltlever.fleet.FleetReply.Accepted;
import basaltlever.fleet.FleetReply.LeaseGranted;
import basaltlever.fleet.FleetReply.NotLeader;
import basaltlever.fleet.FleetReply.Refused;
import basaltlever.fleet.FleetReply.Retiring;
import basaltlever.fleet.FleetReply.Undecided;
import basaltlever.time.Span;
import java.util.LinkedHashMap;
import java.util.Map;

/** Replies of voters as maps of their CBOR keys. */
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
    } else if (reply instanceof Refused refused) {
      return Map.of("do", "refused", "why", refused.reason());
    } else if (reply instanceof Undecided undecided) {
      return Map.of("do", "unknown", "why", undecided.reason());
    }
    throw new IllegalArgumentException("never sent: " + reply);
  }

  private static Map<String, Object> encode(LeaseGranted granted) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("do", "grant");
    fields.put("beat", granted.heartbeat());
    fields.put("lasts", granted.duration().micros());
    fields.put("changes", granted.changes());
    fields.put("members", granted.members());
    fields.put("force", VersionCodec.encode(granted.inForce()));
    fields.put("prepared", VersionCodec.encode(granted.prepared()));
    fields.put("lists", MembershipCodec.encode(granted.lists()));
    return fields;
  }

  static FleetReply decode(Map<?, ?> fields) {
    String kind = MessageCodec.text(fields, "do");
    String reason = MessageCodec.text(fields, "why");
    return switch (kind) {
      case "grant" ->
          new LeaseGranted(
              MessageCodec.number(fields, "beat"),
              new Span(MessageCodec.number(fields, "lasts")),
              MessageCodec.number(fields, "changes"),
              MessageCodec.texts(fields, "members"),
              VersionCodec.decodeSent(fields.get("force")),
              VersionCodec.decodeSent(fields.get("prepared")),
              MembershipCodec.decodeUpdate(fields.get("lists")));
      case "follows" -> new NotLeader(MessageCodec.text(fields, "leader"));
      case "status" -> StatusCodec.decode(fields);
      case "taken" -> new Accepted();
      case "refused" -> new Refused(reason);
      case "unknown" -> new Undecided(reason);
      default -> new FleetReply.Unknown(kind, reason);
    };
  }
}
