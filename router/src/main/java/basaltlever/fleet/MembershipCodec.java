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
 * Endpoint lists, drain marks and group assignments as parts of messages. A field that is missing
 * takes its default, and one of another release is ignored.
 */
final class MembershipCodec {
  /** Items of one list that are read at most; more are never sent. */
  private static final int MAX_ITEMS = 5_000;

  private MembershipCodec() {}

  private static void put(Map<String, Object> fields, ListVersion at) {
    fields.put("era", at.era());
    fields.put("generation", at.generation());
  }

  private static ListVersion decodeVersion(Map<?, ?> fields) {
    return new ListVersion(
        fields.containsKey("era") ? MessageCodec.number(fields, "era") : ListVersion.NONE.era(),
        MessageCodec.number(fields, "generation"));
  }

  static <T> List<T> decodeAll(Object value, Function<Map<?, ?>, T> each) {
    List<T> decoded = new ArrayList<>();
    if (value instanceof List<?> items) {
      for (Object item : items) {
        if (item instanceof Map<?, ?> map && decoded.size() < MAX_ITEMS) {
          decoded.add(each.apply(map));
        }
      }
    }
    return decoded;
  }

  private static Map<String, Object> encode(DrainMark mark) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("member", mark.endpoint());
    put(fields, mark.listVersion());
    fields.put("gone", mark.gone());
    return fields;
  }

  private static DrainMark decodeMark(Map<?, ?> fields) {
    return new DrainMark(
        MessageCodec.text(fields, "member"),
        decodeVersion(fields),
        MessageCodec.flag(fields, "gone"));
  }

  static Map<String, Object> encode(GroupAssignment assignment) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("member", assignment.endpoint());
    fields.put("group", assignment.group());
    put(fields, assignment.listVersion());
    fields.put("cleared", assignment.cleared());
    return fields;
  }

  static List<GroupAssignment> decodeAssignments(Object value) {
    return decodeAll(
        value,
        map ->
            new GroupAssignment(
                MessageCodec.text(map, "member"),
                (int) MessageCodec.number(map, "group"),
                decodeVersion(map),
                MessageCodec.flag(map, "cleared")));
  }

  static Map<String, Object> encode(HeartbeatReport report) {
    Map<String, Object> fields = new LinkedHashMap<>();
    put(fields, report.listVersion());
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

  /** {@link HeartbeatReport#NONE} where the value is no report. */
  static HeartbeatReport decodeReport(Object value) {
    if (!(value instanceof Map<?, ?> fields)) {
      return HeartbeatReport.NONE;
    }
    List<String> free = new ArrayList<>();
    if (fields.get("free") instanceof List<?> names) {
      names.stream().limit(MAX_ITEMS).forEach(name -> free.add(String.valueOf(name)));
    }
    return new HeartbeatReport(
        decodeVersion(fields),
        MessageCodec.number(fields, "digest"),
        constant(ListAnomaly.class, fields, "doubt", ListAnomaly.NONE),
        decodeAll(fields.get("marks"), MembershipCodec::decodeMark),
        MessageCodec.number(fields, "marks_end"),
        decodeAssignments(fields.get("wanted")),
        free,
        MessageCodec.number(fields, "book"),
        MessageCodec.number(fields, "read"),
        MessageCodec.number(fields, "seats_read"));
  }

  static Map<String, Object> encode(MembershipUpdate update) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("book", update.coordinatorTerm());
    fields.put("place", update.readPosition());
    fields.put("marks", update.drainMarks().stream().map(MembershipCodec::encode).toList());
    fields.put("marks_end", update.drainMarksEnd());
    fields.put("verdict", update.agreement().name());
    put(fields, update.listVersion());
    fields.put("digest", update.digest());
    fields.put("now_era", update.era());
    fields.put("seats_number", update.assignmentChangeNumber());
    fields.put("seats", update.assignments().stream().map(MembershipCodec::encode).toList());
    return fields;
  }

  /** Null where the value is no update. */
  static MembershipUpdate decodeUpdate(Object value) {
    if (!(value instanceof Map<?, ?> fields)) {
      return null;
    }
    return new MembershipUpdate(
        MessageCodec.number(fields, "book"),
        MessageCodec.number(fields, "place"),
        decodeAll(fields.get("marks"), MembershipCodec::decodeMark),
        MessageCodec.number(fields, "marks_end"),
        constant(ListAgreement.class, fields, "verdict", ListAgreement.UNTOLD),
        decodeVersion(fields),
        MessageCodec.number(fields, "digest"),
        MessageCodec.number(fields, "now_era"),
        MessageCodec.number(fields, "seats_number"),
        decodeAssignments(fields.get("seats")));
  }

  private static <E extends Enum<E>> E constant(
      Class<E> of, Map<?, ?> fields, String name, E otherwise) {
    for (E candidate : of.getEnumConstants()) {
      if (candidate.name().equals(MessageCodec.text(fields, name))) {
        return candidate;
      }
    }
    return otherwise;
  }
}
