package basaltlever.fleet;

import basaltlever.fleet.RaftCommand.Assign;
import basaltlever.fleet.RaftCommand.BringIntoForce;
import basaltlever.fleet.RaftCommand.ClearAssignments;
import basaltlever.fleet.RaftCommand.Propose;
import basaltlever.fleet.RaftCommand.ProposeRouterCount;
import basaltlever.fleet.RaftCommand.RecordVoterFolder;
import basaltlever.fleet.RaftCommand.RemoveVoterFolder;
import basaltlever.fleet.RaftCommand.StartEpoch;
import basaltlever.fleet.RaftCommand.StartNewEra;
import basaltlever.fleet.RaftCommand.Tick;
import basaltlever.fleet.RaftCommand.Withdraw;
import basaltlever.membership.GroupAssignment;
import basaltlever.settings.VersionRegister.HistoryEntry;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Converts commands of the Raft log and register contents to and from maps with CBOR keys. */
final class RaftCommandCodec {
  private RaftCommandCodec() {}

  static Map<String, Object> encode(RaftCommand command) {
    if (command instanceof Propose propose) {
      return encode(propose);
    } else if (command instanceof ProposeRouterCount count) {
      return encode(count);
    } else if (command instanceof BringIntoForce bring) {
      return fields("number", bring.versionNumber(), "do", "force");
    } else if (command instanceof Withdraw withdraw) {
      Map<String, Object> fields = fields("number", withdraw.versionNumber(), "do", "withdraw");
      fields.put("why", withdraw.reason());
      return fields;
    } else if (command instanceof Assign assign) {
      return fields("do", "seat", "seats", encode(assign.assignments()));
    } else if (command instanceof ClearAssignments clear) {
      return fields("do", "clear", "seats", encode(clear.assignments()));
    } else if (command instanceof StartNewEra newEra) {
      Map<String, Object> fields = fields("do", "count_anew", "number", newEra.era());
      fields.put("seats", List.of());
      return fields;
    }
    return encodeVoterCommand(command);
  }

  private static Map<String, Object> encodeVoterCommand(RaftCommand command) {
    if (command instanceof RecordVoterFolder register) {
      Map<String, Object> fields = fields("do", "seal", "voter", register.voter());
      fields.put("folder", register.folderId());
      return fields;
    } else if (command instanceof RemoveVoterFolder removal) {
      return fields("do", "unseal", "voter", removal.voter());
    } else if (command instanceof StartEpoch start) {
      Map<String, Object> fields = encode(start.content());
      fields.put("do", "charter");
      return fields;
    } else if (command instanceof Tick) {
      return Map.of("do", "pulse");
    }
    throw new IllegalArgumentException("commands of this kind are never submitted: " + command);
  }

  private static Map<String, Object> fields(
      String firstKey, Object firstValue, String secondKey, Object secondValue) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put(firstKey, firstValue);
    fields.put(secondKey, secondValue);
    return fields;
  }

  private static Map<String, Object> encode(Propose propose) {
    Map<String, Object> fields = fields("do", "propose", "number", propose.basis());
    fields.put("text", propose.text());
    fields.put("who", propose.proposer());
    fields.put("why", propose.reason());
    fields.put("at", propose.proposedAtMillis());
    fields.put("routers", propose.routers());
    return fields;
  }

  private static Map<String, Object> encode(ProposeRouterCount count) {
    Propose propose = count.proposal();
    Map<String, Object> fields = fields("number", propose.basis(), "do", "propose");
    fields.put("text", propose.text());
    fields.put("routers", propose.routers());
    fields.put("who", propose.proposer());
    fields.put("why", propose.reason());
    fields.put("at", propose.proposedAtMillis());
    return fields;
  }

  private static List<Map<String, Object>> encode(List<GroupAssignment> assignments) {
    return assignments.stream().map(MembershipCodec::encode).toList();
  }

  static Map<String, Object> encode(RegisterContent content) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("force", VersionCodec.encode(content.inForce()));
    fields.put("prepared", VersionCodec.encode(content.prepared()));
    fields.put("last", content.lastNumber());
    fields.put("changes", content.changeCount());
    fields.put("era", content.era());
    fields.put("seats_number", content.assignmentChangeNumber());
    fields.put("seats", encode(content.assignments()));
    fields.put("seals", content.recordedFolders());
    fields.put("ended", content.lostVoters());
    fields.put("history", content.history().stream().map(VersionCodec::encode).toList());
    return fields;
  }

  static RaftCommand decode(Map<?, ?> fields) {
    long number = MessageCodec.getNumber(fields, "number");
    return switch (MessageCodec.getText(fields, "do")) {
      case "propose" ->
          new Propose(
              number,
              MessageCodec.getText(fields, "text"),
              (int) Math.max(1, MessageCodec.getNumber(fields, "routers")),
              MessageCodec.getText(fields, "who"),
              MessageCodec.getText(fields, "why"),
              MessageCodec.getNumber(fields, "at"));
      case "force" -> new BringIntoForce(number);
      case "withdraw" -> new Withdraw(number, MessageCodec.getText(fields, "why"));
      case "seat" -> new Assign(MembershipCodec.decodeAssignments(fields.get("seats")));
      case "clear" -> new ClearAssignments(MembershipCodec.decodeAssignments(fields.get("seats")));
      case "count_anew" -> new StartNewEra(number);
      default -> decodeVoterCommand(fields);
    };
  }

  private static RaftCommand decodeVoterCommand(Map<?, ?> fields) {
    return switch (MessageCodec.getText(fields, "do")) {
      case "seal" ->
          new RecordVoterFolder(
              MessageCodec.getText(fields, "voter"), MessageCodec.getText(fields, "folder"));
      case "unseal" -> new RemoveVoterFolder(MessageCodec.getText(fields, "voter"));
      case "charter" -> new StartEpoch(decodeContent(fields));
      case "pulse" -> new Tick();
      default -> new RaftCommand.Unknown();
    };
  }

  static RegisterContent decodeContent(Map<?, ?> fields) {
    List<HistoryEntry> history =
        fields.get("history") instanceof List<?> entries
            ? entries.stream()
                .map(entry -> VersionCodec.decodeHistoryEntry((Map<?, ?>) entry))
                .toList()
            : List.of();
    Map<String, String> recordedFolders = new LinkedHashMap<>();
    if (fields.get("seals") instanceof Map<?, ?> folders) {
      folders.forEach((voter, folder) -> recordedFolders.put("" + voter, "" + folder));
    }
    return new RegisterContent(
        VersionCodec.decode(fields.get("force")),
        VersionCodec.decode(fields.get("prepared")),
        MessageCodec.getNumber(fields, "last"),
        MessageCodec.getNumber(fields, "changes"),
        MessageCodec.getNumber(fields, "era"),
        MessageCodec.getNumber(fields, "seats_number"),
        MembershipCodec.decodeAssignments(fields.get("seats")),
        recordedFolders,
        MessageCodec.getTexts(fields, "ended"),
        history);
  }
}
