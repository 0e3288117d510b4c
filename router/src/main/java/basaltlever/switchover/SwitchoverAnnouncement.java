package basaltlever.switchover;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One row of the control table, as a member answers it: {@code
 * number=N,target=ID,at=MILLIS,state=announced}, the state {@code cancelled} once it is called off.
 *
 * @param number rises with each announcement of the group
 * @param target the member that is to be primary
 * @param atMillis from when on, in milliseconds of Unix time
 */
public record SwitchoverAnnouncement(long number, String target, long atMillis, boolean cancelled) {
  private static final Pattern FORMAT =
      Pattern.compile(
          "number=([0-9]{1,15}),"
              + "target=([A-Za-z0-9_.:-]{1,100}),"
              + "at=([0-9]{1,15}),state=(announced|off)");

  /** Null where the text is none. */
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
   * The latest announcement of a member's own group as one text; an empty one where there is none.
   */
  public static String latestQuery(String table) {
    return "SELECT coalesce((SELECT 'number=' || number || ',target=' || target || ',at=' || at"
        + " || ',state=' || state"
        + " FROM "
        + table
        + " ORDER BY number DESC, state DESC LIMIT 1), '')";
  }

  /** The statement that writes it; a cancellation is a row of its own, too. */
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

  /** The row as a member answers it. */
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
