package basaltlever.fleet;

import basaltlever.membership.DrainMark;
import basaltlever.membership.GroupAssignment;
import basaltlever.membership.HeartbeatReport;
import basaltlever.membership.ListAgreement;
import basaltlever.membership.ListAnomaly;
import basaltlever.membership.ListVersion;
import basaltlever.membership.MembershipUpdate;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Converts states of endpoint lists, drain marks and group assignments to and from fields of
 * messages. Missing fields have defaults; unknown fields of other releases are ignored.
 */
final class MembershipCodec {
  /** The maximum number of items that are read of one list; instances never send more. */
  private static final int MAX_ITEMS = 5_000;

  private MembershipCodec() {}

  private static void putListVersion(Map<String, Object> fields, ListVersion listVersion) {
    fields.put("era", listVersion.era());
    fields.put("generation", listVersion.generation());
  }

  private static ListVersion decodeListVersion(Map<?, ?> fields) {
    return new ListVersion(
        fields.containsKey("era") ? MessageCodec.getNumber(fields, "era") : ListVersion.NONE.era(),
        MessageCodec.getNumber(fields, "generation"));
  }

  static <T> List<T> decodeAll(Object value, Function<Map<?, ?>, T> decoder) {
    List<T> decoded = new ArrayList<>();
    if (value instanceof List<?> items) {
      for (Object item : items) {
        if (item instanceof Map<?, ?> fields && decoded.size() < MAX_ITEMS) {
          decoded.add(decoder.apply(fields));
        }
      }
    }
    return decoded;
  }

  private static Map<String, Object> encode(DrainMark mark) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("member", mark.endpoint());
    putListVersion(fields, mark.listVersion());
    fields.put("gone", mark.gone());
    return fields;
  }

  private static DrainMark decodeDrainMark(Map<?, ?> fields) {
    return new DrainMark(
        MessageCodec.getText(fields, "member"),
        decodeListVersion(fields),
        MessageCodec.getFlag(fields, "gone"));
  }

  static Map<String, Object> encode(GroupAssignment assignment) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("member", assignment.endpoint());
    fields.put("group", assignment.group());
    putListVersion(fields, assignment.listVersion());
    fields.put("cleared", assignment.cleared());
    return fields;
  }

  static List<GroupAssignment> decodeAssignments(Object value) {
    return decodeAll(
        value,
        fields ->
            new GroupAssignment(
                MessageCodec.getText(fields, "member"),
                (int) MessageCodec.getNumber(fields, "group"),
                decodeListVersion(fields),
                MessageCodec.getFlag(fields, "cleared")));
  }

  static Map<String, Object> encode(HeartbeatReport report) {
    Map<String, Object> fields = new LinkedHashMap<>();
    putListVersion(fields, report.listVersion());
    fields.put("digest", report.digest());
    fields.put("doubt", report.anomaly().name());
    fields.put("marks", report.drainMarks().stream().map(MembershipCodec::encode).toList());
    fields.put("marks_end", report.drainMarksEnd());
    fields.put(
        "wanted", report.requestedAssignments().stream().map(MembershipCodec::encode).toList());
    fields.put("free", report.releasedEndpoints());
    fields.put("book", report.coordinatorTerm());
    fields.put("read", report.readPosition());
    fields.put("seats_read", report.assignmentChangeNumber());
    return fields;
  }

  /** Returns {@link HeartbeatReport#NONE} if the value is not a report. */
  static HeartbeatReport decodeReport(Object value) {
    if (!(value instanceof Map<?, ?> fields)) {
      return HeartbeatReport.NONE;
    }
    List<String> releasedEndpoints = new ArrayList<>();
    if (fields.get("free") instanceof List<?> names) {
      names.stream().limit(MAX_ITEMS).forEach(name -> releasedEndpoints.add(String.valueOf(name)));
    }
    return new HeartbeatReport(
        decodeListVersion(fields),
        MessageCodec.getNumber(fields, "digest"),
        decodeEnum(ListAnomaly.class, fields, "doubt", ListAnomaly.NONE),
        decodeAll(fields.get("marks"), MembershipCodec::decodeDrainMark),
        MessageCodec.getNumber(fields, "marks_end"),
        decodeAssignments(fields.get("wanted")),
        releasedEndpoints,
        MessageCodec.getNumber(fields, "book"),
        MessageCodec.getNumber(fields, "read"),
        MessageCodec.getNumber(fields, "seats_read"));
  }

  static Map<String, Object> encode(MembershipUpdate update) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("book", update.coordinatorTerm());
    fields.put("place", update.readPosition());
    fields.put("marks", update.drainMarks().stream().map(MembershipCodec::encode).toList());
    fields.put("marks_end", update.drainMarksEnd());
    fields.put("verdict", update.agreement().name());
    putListVersion(fields, update.listVersion());
    fields.put("digest", update.digest());
    fields.put("now_era", update.era());
    fields.put("seats_number", update.assignmentChangeNumber());
    fields.put("seats", update.assignments().stream().map(MembershipCodec::encode).toList());
    return fields;
  }

  /** Returns null if the value is not an update. */
  static MembershipUpdate decodeUpdate(Object value) {
    if (!(value instanceof Map<?, ?> fields)) {
      return null;
    }
    return new MembershipUpdate(
        MessageCodec.getNumber(fields, "book"),
        MessageCodec.getNumber(fields, "place"),
        decodeAll(fields.get("marks"), MembershipCodec::decodeDrainMark),
        MessageCodec.getNumber(fields, "marks_end"),
        decodeEnum(ListAgreement.class, fields, "verdict", ListAgreement.UNTOLD),
        decodeListVersion(fields),
        MessageCodec.getNumber(fields, "digest"),
        MessageCodec.getNumber(fields, "now_era"),
        MessageCodec.getNumber(fields, "seats_number"),
        decodeAssignments(fields.get("seats")));
  }

  private static <E extends Enum<E>> E decodeEnum(
      Class<E> type, Map<?, ?> fields, String key, E defaultValue) {
    for (E candidate : type.getEnumConstants()) {
      if (candidate.name().equals(MessageCodec.getText(fields, key))) {
        return candidate;
      }
    }
    return defaultValue;
  }
}
