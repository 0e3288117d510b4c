package basaltlever.fleet;

import basaltlever.fleet.FleetRequest.ChangeVoters;
import basaltlever.fleet.FleetRequest.Heartbeat;
import basaltlever.fleet.FleetRequest.Propose;
import basaltlever.fleet.FleetRequest.Recover;
import basaltlever.fleet.FleetRequest.Status;
import java.util.LinkedHashMap;
import java.util.Map;

/** Requests to voters as maps of their CBOR keys. */
final class RequestCodec {
  private RequestCodec() {}

  static Map<String, Object> encode(FleetRequest request) {
    if (request instanceof Heartbeat heartbeat) {
      return encode(heartbeat);
    } else if (request instanceof Propose propose) {
      Map<String, Object> fields = fields("propose", request);
      fields.put("number", propose.basis());
      fields.put("text", propose.text());
      fields.put("who", propose.who());
      fields.put("why", propose.why());
      return fields;
    } else if (request instanceof ChangeVoters change) {
      Map<String, Object> fields = fields("voters", request);
      fields.put("voter", change.voter());
      fields.put("in", change.add());
      return fields;
    } else if (request instanceof Recover recover) {
      Map<String, Object> fields = fields("recover", request);
      fields.put("number", recover.epoch());
      fields.put("ended", recover.ended());
      fields.put("who", recover.who());
      fields.put("why", recover.why());
      return fields;
    } else if (request instanceof Status status) {
      Map<String, Object> fields = fields("status", request);
      if (!status.from().isEmpty()) {
        fields.put("from", status.from());
      }
      return fields;
    }
    throw new IllegalArgumentException("never sent: " + request);
  }

  private static Map<String, Object> fields(String kind, FleetRequest request) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("do", kind);
    fields.put("fleet", request.fleet());
    return fields;
  }

  private static Map<String, Object> encode(Heartbeat heartbeat) {
    Map<String, Object> fields = fields("beat", heartbeat);
    fields.put("from", heartbeat.from());
    fields.put("incarnation", heartbeat.incarnation());
    fields.put("beat", heartbeat.number());
    fields.put("force", heartbeat.inForce());
    fields.put("keeps", heartbeat.keepsTo());
    fields.put("refused", heartbeat.refused());
    fields.put("refusal", heartbeat.refusal());
    fields.put("holds", heartbeat.holdsLease());
    fields.put("lists", MembershipCodec.encode(heartbeat.lists()));
    fields.put("charter", heartbeat.epoch());
    fields.put("folder", heartbeat.voterFolder());
    return fields;
  }

  static FleetRequest decode(Map<?, ?> fields) {
    String fleet = MessageCodec.text(fields, "fleet");
    return switch (MessageCodec.text(fields, "do")) {
      case "beat" -> decodeHeartbeat(fleet, fields);
      case "propose" ->
          new Propose(
              fleet,
              MessageCodec.number(fields, "number"),
              MessageCodec.text(fields, "text"),
              MessageCodec.text(fields, "who"),
              MessageCodec.text(fields, "why"));
      case "voters" ->
          new ChangeVoters(
              fleet, MessageCodec.text(fields, "voter"), MessageCodec.flag(fields, "in"));
      case "recover" ->
          new Recover(
              fleet,
              MessageCodec.number(fields, "number"),
              MessageCodec.texts(fields, "ended"),
              MessageCodec.text(fields, "who"),
              MessageCodec.text(fields, "why"));
      case "status" -> new Status(fleet, MessageCodec.text(fields, "from"));
      default -> new FleetRequest.Unknown(fleet);
    };
  }

  private static Heartbeat decodeHeartbeat(String fleet, Map<?, ?> fields) {
    return new Heartbeat(
        fleet,
        MessageCodec.text(fields, "from"),
        MessageCodec.number(fields, "incarnation"),
        MessageCodec.number(fields, "beat"),
        MessageCodec.number(fields, "force"),
        MessageCodec.number(fields, "keeps"),
        MessageCodec.number(fields, "refused"),
        MessageCodec.text(fields, "refusal"),
        MessageCodec.flag(fields, "holds"),
        MembershipCodec.decodeReport(fields.get("lists")),
        MessageCodec.number(fields, "charter"),
        MessageCodec.text(fields, "folder"));
  }
}
