package basaltlever.fleet;

import basaltlever.fleet.RaftCommand.Assign;
import basaltlever.fleet.RaftCommand.BringIntoForce;
import basaltlever.fleet.RaftCommand.ClearAssignments;
import basaltlever.fleet.RaftCommand.CountAnew;
import basaltlever.fleet.RaftCommand.ForgetVoterFolder;
import basaltlever.fleet.RaftCommand.Propose;
import basaltlever.fleet.RaftCommand.ProposeRouterCount;
import basaltlever.fleet.RaftCommand.RegisterVoterFolder;
import basaltlever.fleet.RaftCommand.StartEpoch;
import basaltlever.fleet.RaftCommand.Tick;
import basaltlever.fleet.RaftCommand.Withdraw;
import basaltlever.membership.GroupAssignment;
import basaltlever.settings.VersionRegister.HistoryEntry;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Commands of the voters' log, and contents of registers, as maps of their CBOR keys. */
final class RaftCommandCodec {
  private RaftCommandCodec() {}

  static Map<String, Object> encode(RaftCommand command) {
    if (command instanceof Propose propose) {
      return encode(propose);
    } else if (command instanceof ProposeRouterCount count) {
      return encode(count);
    } else if (command instanceof BringIntoForce bring) {
      return fields("number", bring.version(), "do", "force");
    } else if (command instanceof Withdraw withdraw) {
      Map<String, Object> fields = fields("number", withdraw.version(), "do", "withdraw");
      fields.put("why", withdraw.reason());
      return fields;
    } else if (command instanceof Assign assign) {
      return fields("do", "seat", "seats", encode(assign.assignments()));
    } else if (command instanceof ClearAssignments clear) {
      return fields("do", "clear", "seats", encode(clear.assignments()));
    } else if (command instanceof CountAnew anew) {
      Map<String, Object> fields = fields("do", "count_anew", "number", anew.era());
      fields.put("seats", List.of());
      return fields;
    }
    return encodeOfVoters(command);
  }

  private static Map<String, Object> encodeOfVoters(RaftCommand command) {
    if (command instanceof RegisterVoterFolder register) {
      Map<String, Object> fields = fields("do", "seal", "voter", register.voter());
      fields.put("folder", register.folder());
      return fields;
    } else if (command instanceof ForgetVoterFolder forget) {
      return fields("do", "unseal", "voter", forget.voter());
    } else if (command instanceof StartEpoch start) {
      Map<String, Object> fields = encode(start.content());
      fields.put("do", "charter");
      return fields;
    } else if (command instanceof Tick) {
      return Map.of("do", "pulse");
    }
    throw new IllegalArgumentException("never submitted: " + command);
  }

  private static Map<String, Object> fields(String key, Object value, String next, Object last) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put(key, value);
    fields.put(next, last);
    return fields;
  }

  private static Map<String, Object> encode(Propose propose) {
    Map<String, Object> fields = fields("do", "propose", "number", propose.basis());
    fields.put("text", propose.text());
    fields.put("who", propose.who());
    fields.put("why", propose.why());
    fields.put("at", propose.atMillis());
    fields.put("routers", propose.routers());
    return fields;
  }

  private static Map<String, Object> encode(ProposeRouterCount count) {
    Propose propose = count.proposal();
    Map<String, Object> fields = fields("number", propose.basis(), "do", "propose");
    fields.put("text", propose.text());
    fields.put("routers", propose.routers());
    fields.put("who", propose.who());
    fields.put("why", propose.why());
    fields.put("at", propose.atMillis());
    return fields;
  }

  private static List<Map<String, Object>> encode(List<GroupAssignment> assignments) {
    return assignments.stream().map(MembershipCodec::encode).toList();
  }

  static Map<String, Object> encode(RegisterContent content) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("force", VersionCodec.encode(content.inForce()));
    fields.put("prepared", VersionCodec.encode(content.prepared()));
    fields.put("last", content.last());
    fields.put("changes", content.changes());
    fields.put("era", content.era());
    fields.put("seats_number", content.assignmentsNumber());
    fields.put("seats", encode(content.assignments()));
    fields.put("seals", content.voterFolders());
    fields.put("ended", content.ended());
    fields.put("history", content.history().stream().map(VersionCodec::encode).toList());
    return fields;
  }

  static RaftCommand decode(Map<?, ?> fields) {
    long number = MessageCodec.number(fields, "number");
    return switch (MessageCodec.text(fields, "do")) {
      case "propose" ->
          new Propose(
              number,
              MessageCodec.text(fields, "text"),
              (int) Math.max(1, MessageCodec.number(fields, "routers")),
              MessageCodec.text(fields, "who"),
              MessageCodec.text(fields, "why"),
              MessageCodec.number(fields, "at"));
      case "force" -> new BringIntoForce(number);
      case "withdraw" -> new Withdraw(number, MessageCodec.text(fields, "why"));
      case "seat" -> new Assign(MembershipCodec.decodeAssignments(fields.get("seats")));
      case "clear" -> new ClearAssignments(MembershipCodec.decodeAssignments(fields.get("seats")));
      case "count_anew" -> new CountAnew(number);
      default -> decodeOfVoters(fields);
    };
  }

  private static RaftCommand decodeOfVoters(Map<?, ?> fields) {
    return switch (MessageCodec.text(fields, "do")) {
      case "seal" ->
          new RegisterVoterFolder(
              MessageCodec.text(fields, "voter"), MessageCodec.text(fields, "folder"));
      case "unseal" -> new ForgetVoterFolder(MessageCodec.text(fields, "voter"));
      case "charter" -> new StartEpoch(decodeContent(fields));
      case "pulse" -> new Tick();
      default -> new RaftCommand.Unknown();
    };
  }

  static RegisterContent decodeContent(Map<?, ?> fields) {
    List<HistoryEntry> history =
        fields.get("history") instanceof List<?> lines
            ? lines.stream().map(line -> VersionCodec.decodeHistoryEntry((Map<?, ?>) line)).toList()
            : List.of();
    Map<String, String> voterFolders = new LinkedHashMap<>();
    if (fields.get("seals") instanceof Map<?, ?> folders) {
      folders.forEach((voter, folder) -> voterFolders.put("" + voter, "" + folder));
    }
    return new RegisterContent(
        VersionCodec.decode(fields.get("force")),
        VersionCodec.decode(fields.get("prepared")),
        MessageCodec.number(fields, "last"),
        MessageCodec.number(fields, "changes"),
        MessageCodec.number(fields, "era"),
        MessageCodec.number(fields, "seats_number"),
        MembershipCodec.decodeAssignments(fields.get("seats")),
        voterFolders,
        MessageCodec.texts(fields, "ended"),
        history);
  }
}
