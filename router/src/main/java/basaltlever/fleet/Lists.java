package basaltlever.fleet;

import basaltlever.agree.Doubt;
import basaltlever.agree.Mark;
import basaltlever.agree.Report;
import basaltlever.agree.Seat;
import basaltlever.agree.Sight;
import basaltlever.agree.Stamp;
import basaltlever.agree.Verdict;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * What is said of lists, as parts of messages; what a part lacks or another release adds counts as
 * unsaid.
 */
final class Lists {
  /** Items of one list that are read at most: more is never sent. */
  private static final int MOST = 5_000;

  private Lists() {}

  private static void put(Map<String, Object> told, Stamp at) {
    told.put("era", at.era());
    told.put("generation", at.generation());
  }

  private static Stamp stamp(Map<?, ?> told) {
    return new Stamp(
        told.containsKey("era") ? Message.number(told, "era") : Stamp.NEVER.era(),
        Message.number(told, "generation"));
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

  private static Map<String, Object> of(Mark mark) {
    Map<String, Object> told = new LinkedHashMap<>();
    told.put("member", mark.member());
    put(told, mark.at());
    told.put("gone", mark.gone());
    return told;
  }

  private static Mark mark(Map<?, ?> told) {
    return new Mark(Message.text(told, "member"), stamp(told), Message.flag(told, "gone"));
  }

  static Map<String, Object> of(Seat seat) {
    Map<String, Object> told = new LinkedHashMap<>();
    told.put("member", seat.member());
    told.put("group", seat.group());
    put(told, seat.at());
    told.put("cleared", seat.cleared());
    return told;
  }

  static List<Seat> seats(Object told) {
    return all(
        told,
        map ->
            new Seat(
                Message.text(map, "member"),
                (int) Message.number(map, "group"),
                stamp(map),
                Message.flag(map, "cleared")));
  }

  static Map<String, Object> of(Report report) {
    Map<String, Object> told = new LinkedHashMap<>();
    put(told, report.at());
    told.put("digest", report.digest());
    told.put("doubt", report.doubt().name());
    told.put("marks", report.marks().stream().map(Lists::of).toList());
    told.put("marks_end", report.marksEnd());
    told.put("wanted", report.wanted().stream().map(Lists::of).toList());
    told.put("free", report.free());
    told.put("book", report.book());
    told.put("read", report.read());
    told.put("seats_read", report.seatsRead());
    return told;
  }

  /** Of a router that says nothing of lists where it is none. */
  static Report report(Object part) {
    if (!(part instanceof Map<?, ?> told)) {
      return Report.NONE;
    }
    List<String> free = new ArrayList<>();
    if (told.get("free") instanceof List<?> names) {
      names.stream().limit(MOST).forEach(name -> free.add(String.valueOf(name)));
    }
    return new Report(
        stamp(told),
        Message.number(told, "digest"),
        named(Doubt.class, told, "doubt", Doubt.NONE),
        all(told.get("marks"), Lists::mark),
        Message.number(told, "marks_end"),
        seats(told.get("wanted")),
        free,
        Message.number(told, "book"),
        Message.number(told, "read"),
        Message.number(told, "seats_read"));
  }

  static Map<String, Object> of(Sight sight) {
    Map<String, Object> told = new LinkedHashMap<>();
    told.put("book", sight.book());
    told.put("place", sight.place());
    told.put("marks", sight.marks().stream().map(Lists::of).toList());
    told.put("marks_end", sight.marksEnd());
    told.put("verdict", sight.verdict().name());
    put(told, sight.at());
    told.put("digest", sight.digest());
    told.put("now_era", sight.era());
    told.put("seats_number", sight.seatsNumber());
    told.put("seats", sight.seats().stream().map(Lists::of).toList());
    return told;
  }

  /** Null where there is none. */
  static Sight sight(Object part) {
    if (!(part instanceof Map<?, ?> told)) {
      return null;
    }
    return new Sight(
        Message.number(told, "book"),
        Message.number(told, "place"),
        all(told.get("marks"), Lists::mark),
        Message.number(told, "marks_end"),
        named(Verdict.class, told, "verdict", Verdict.UNTOLD),
        stamp(told),
        Message.number(told, "digest"),
        Message.number(told, "now_era"),
        Message.number(told, "seats_number"),
        seats(told.get("seats")));
  }

  private static <E extends Enum<E>> E named(
      Class<E> of, Map<?, ?> told, String name, E otherwise) {
    for (E one : of.getEnumConstants()) {
      if (one.name().equals(Message.text(told, name))) {
        return one;
      }
    }
    return otherwise;
  }
}
