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
 * What is said of lists, as parts of messages; what a part lacks or another release adds counts as
 * unsaid.
 */
final class MembershipCodec {
  /** Items of one list that are read at most: more is never sent. */
  private static final int MOST = 5_000;

  private MembershipCodec() {}

  private static void put(Map<String, Object> told, ListVersion at) {
    told.put("era", at.era());
    told.put("generation", at.generation());
  }

  private static ListVersion stamp(Map<?, ?> told) {
    return new ListVersion(
        told.containsKey("era") ? MessageCodec.number(told, "era") : ListVersion.NEVER.era(),
        MessageCodec.number(told, "generation"));
  }

  private static <T> List<T> all(Object told, Function<Map<?, ?>, T> each) {
    List<T> all = new ArrayList<>();
    if (told instanceof List<?> items) {
      for (Object item : items) {
        if (item instanceof Map<?, ?> map && all.size() < MOST) {
          all.add(each.apply(map));
        }
      }
    }
    return all;
  }

  private static Map<String, Object> of(DrainMark mark) {
    Map<String, Object> told = new LinkedHashMap<>();
    told.put("member", mark.member());
    put(told, mark.at());
    told.put("gone", mark.gone());
    return told;
  }

  private static DrainMark mark(Map<?, ?> told) {
    return new DrainMark(
        MessageCodec.text(told, "member"), stamp(told), MessageCodec.flag(told, "gone"));
  }

  static Map<String, Object> of(GroupAssignment seat) {
    Map<String, Object> told = new LinkedHashMap<>();
    told.put("member", seat.member());
    told.put("group", seat.group());
    put(told, seat.at());
    told.put("cleared", seat.cleared());
    return told;
  }

  static List<GroupAssignment> seats(Object told) {
    return all(
        told,
        map ->
            new GroupAssignment(
                MessageCodec.text(map, "member"),
                (int) MessageCodec.number(map, "group"),
                stamp(map),
                MessageCodec.flag(map, "cleared")));
  }

  static Map<String, Object> of(HeartbeatReport report) {
    Map<String, Object> told = new LinkedHashMap<>();
    put(told, report.at());
    told.put("digest", report.digest());
    told.put("doubt", report.doubt().name());
    told.put("marks", report.marks().stream().map(MembershipCodec::of).toList());
    told.put("marks_end", report.marksEnd());
    told.put("wanted", report.wanted().stream().map(MembershipCodec::of).toList());
    told.put("free", report.free());
    told.put("book", report.book());
    told.put("read", report.read());
    told.put("seats_read", report.seatsRead());
    return told;
  }

  /** Of a router that says nothing of lists where it is none. */
  static HeartbeatReport report(Object part) {
    if (!(part instanceof Map<?, ?> told)) {
      return HeartbeatReport.NONE;
    }
    List<String> free = new ArrayList<>();
    if (told.get("free") instanceof List<?> names) {
      names.stream().limit(MOST).forEach(name -> free.add(String.valueOf(name)));
    }
    return new HeartbeatReport(
        stamp(told),
        MessageCodec.number(told, "digest"),
        named(ListAnomaly.class, told, "doubt", ListAnomaly.NONE),
        all(told.get("marks"), MembershipCodec::mark),
        MessageCodec.number(told, "marks_end"),
        seats(told.get("wanted")),
        free,
        MessageCodec.number(told, "book"),
        MessageCodec.number(told, "read"),
        MessageCodec.number(told, "seats_read"));
  }

  static Map<String, Object> of(MembershipUpdate sight) {
    Map<String, Object> told = new LinkedHashMap<>();
    told.put("book", sight.book());
    told.put("place", sight.place());
    told.put("marks", sight.marks().stream().map(MembershipCodec::of).toList());
    told.put("marks_end", sight.marksEnd());
    told.put("verdict", sight.verdict().name());
    put(told, sight.at());
    told.put("digest", sight.digest());
    told.put("now_era", sight.era());
    told.put("seats_number", sight.seatsNumber());
    told.put("seats", sight.seats().stream().map(MembershipCodec::of).toList());
    return told;
  }

  /** Null where there is none. */
  static MembershipUpdate sight(Object part) {
    if (!(part instanceof Map<?, ?> told)) {
      return null;
    }
    return new MembershipUpdate(
        MessageCodec.number(told, "book"),
        MessageCodec.number(told, "place"),
        all(told.get("marks"), MembershipCodec::mark),
        MessageCodec.number(told, "marks_end"),
        named(ListAgreement.class, told, "verdict", ListAgreement.UNTOLD),
        stamp(told),
        MessageCodec.number(told, "digest"),
        MessageCodec.number(told, "now_era"),
        MessageCodec.number(told, "seats_number"),
        seats(told.get("seats")));
  }

  private static <E extends Enum<E>> E named(
      Class<E> of, Map<?, ?> told, String name, E otherwise) {
    for (E one : of.getEnumConstants()) {
      if (one.name().equals(MessageCodec.text(told, name))) {
        return one;
      }
    }
    return otherwise;
  }
}
