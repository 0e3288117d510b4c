package basaltlever.fleet;

import basaltlever.fleet.FleetRequest.ChangeVoters;
import basaltlever.fleet.FleetRequest.Heartbeat;
import basaltlever.fleet.FleetRequest.Propose;
import basaltlever.fleet.FleetRequest.Recover;
import basaltlever.fleet.FleetRequest.Status;
import java.util.LinkedHashMap;
import java.util.Map;

/** Converts requests to voters to and from maps with CBOR keys. */
final class RequestCodec {
  private RequestCodec() {}

  static Map<String, Object> encode(FleetRequest request) {
    if (request instanceof Heartbeat heartbeat) {
      return encode(heartbeat);
    } else if (request instanceof Propose propose) {
      Map<String, Object> fields = fields("propose", request);
      fields.put("number", propose.basis());
      fields.put("text", propose.text());
      fields.put("who", propose.proposer());
      fields.put("why", propose.reason());
      return fields;
    } else if (request instanceof ChangeVoters change) {
      Map<String, Object> fields = fields("voters", request);
      fields.put("voter", change.voter());
      fields.put("in", change.add());
      return fields;
    } else if (request instanceof Recover recover) {
      Map<String, Object> fields = fields("recover", request);
      fields.put("number", recover.epoch());
      fields.put("ended", recover.endedVoters());
      fields.put("who", recover.proposer());
      fields.put("why", recover.reason());
      return fields;
    } else if (request instanceof Status status) {
      Map<String, Object> fields = fields("status", request);
      if (!status.requester().isEmpty()) {
        fields.put("from", status.requester());
      }
      return fields;
    }
    throw new IllegalArgumentException("instances don't send requests of this kind: " + request);
  }

  private static Map<String, Object> fields(String kind, FleetRequest request) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("do", kind);
    fields.put("fleet", request.fleet());
    return fields;
  }

  private static Map<String, Object> encode(Heartbeat heartbeat) {
    Map<String, Object> fields = fields("beat", heartbeat);
    fields.put("from", heartbeat.router());
    fields.put("incarnation", heartbeat.incarnation());
    fields.put("beat", heartbeat.number());
    fields.put("force", heartbeat.inForce());
    fields.put("keeps", heartbeat.acknowledged());
    fields.put("refused", heartbeat.rejected());
    fields.put("refusal", heartbeat.rejectionReason());
    fields.put("holds", heartbeat.holdsLease());
    fields.put("lists", MembershipCodec.encode(heartbeat.membershipReport()));
    fields.put("charter", heartbeat.epoch());
    fields.put("folder", heartbeat.voterFolderId());
    return fields;
  }

  static FleetRequest decode(Map<?, ?> fields) {
    String fleet = MessageCodec.getText(fields, "fleet");
    return switch (MessageCodec.getText(fields, "do")) {
      case "beat" -> decodeHeartbeat(fleet, fields);
      case "propose" ->
          new Propose(
              fleet,
              MessageCodec.getNumber(fields, "number"),
              MessageCodec.getText(fields, "text"),
              MessageCodec.getText(fields, "who"),
              MessageCodec.getText(fields, "why"));
      case "voters" ->
          new ChangeVoters(
              fleet, MessageCodec.getText(fields, "voter"), MessageCodec.getFlag(fields, "in"));
      case "recover" ->
          new Recover(
              fleet,
              MessageCodec.getNumber(fields, "number"),
              MessageCodec.getTexts(fields, "ended"),
              MessageCodec.getText(fields, "who"),
              MessageCodec.getText(fields, "why"));
      case "status" -> new Status(fleet, MessageCodec.getText(fields, "from"));
      default -> new FleetRequest.Unknown(fleet);
    };
  }

  private static Heartbeat decodeHeartbeat(String fleet, Map<?, ?> fields) {
    return new Heartbeat(
        fleet,
        MessageCodec.getText(fields, "from"),
        MessageCodec.getNumber(fields, "incarnation"),
        MessageCodec.getNumber(fields, "beat"),
        MessageCodec.getNumber(fields, "force"),
        MessageCodec.getNumber(fields, "keeps"),
        MessageCodec.getNumber(fields, "refused"),
        MessageCodec.getText(fields, "refusal"),
        MessageCodec.getFlag(fields, "holds"),
        MembershipCodec.decodeReport(fields.get("lists")),
        MessageCodec.getNumber(fields, "charter"),
        MessageCodec.getText(fields, "folder"));
  }
}
