package basaltlever.switchover;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One row of the control table, as an endpoint returns it: {@code
 * number=N,target=ID,at=MILLIS,state=announced}; the state is {@code off} once the switchover is
 * cancelled.
 *
 * @param number rises with each announcement of the group
 * @param target the endpoint that is to become primary
 * @param atMillis the start time, in milliseconds of Unix time
 * @param cancelled whether the switchover is cancelled
 */
public record SwitchoverAnnouncement(long number, String target, long atMillis, boolean cancelled) {
  private static final Pattern FORMAT =
      Pattern.compile(
          "number=([0-9]{1,15}),"
              + "target=([A-Za-z0-9_.:-]{1,100}),"
              + "at=([0-9]{1,15}),state=(announced|off)");

  /** Parses a row; returns null if the text is not an announcement. */
  public static SwitchoverAnnouncement parse(String text) {
    Matcher match = FORMAT.matcher(text);
    return match.matches()
        ? new SwitchoverAnnouncement(
            Long.parseLong(match.group(1)),
            match.group(2),
            Long.parseLong(match.group(3)),
            match.group(4).equals("off"))
        : null;
  }

  /**
   * Returns the query for the latest announcement of the endpoint's own group as one text, which is
   * empty if there is none.
   */
  public static String latestQuery(String table) {
    return "SELECT coalesce((SELECT 'number=' || number || ',target=' || target || ',at=' || at"
        + " || ',state=' || state"
        + " FROM "
        + table
        + " ORDER BY number DESC, state DESC LIMIT 1), '')";
  }

  /**
   * Returns the statement that inserts this announcement. A cancellation is also a separate row.
   */
  public String insertStatement(String table) {
    return "INSERT INTO "
        + table
        + " (number, target, at, state) VALUES ("
        + number
        + ", '"
        + target
        + "', "
        + atMillis
        + ", '"
        + (cancelled ? "off" : "announced")
        + "')";
  }

  /** Returns the row in the form in which an endpoint returns it. */
  public String toText() {
    return "number="
        + number
        + ",target="
        + target
        + ",at="
        + atMillis
        + ",state="
        + (cancelled ? "off" : "announced");
  }
}
