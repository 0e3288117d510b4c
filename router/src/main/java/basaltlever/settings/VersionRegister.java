package basaltlever.settings;

import basaltlever.membership.GroupAssignment;
import basaltlever.membership.ListVersion;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What the voters agree on: which version is in force and which is being brought into force. It is
 * changed by commands alone, in the one order that the engine gives them at every voter, so each
 * comes to the same answer; it looks at no clock. A version goes from proposed to prepared, while
 * all keep to the stricter of it and the one in force, and from there to in force or withdrawn.
 */
public final class VersionRegister {
  private static final int MOST_HISTORY = 200;
  private static final int MOST_SEATS = 4_000;

  /**
   * A charter's commands are counted from its own number on, which those of the one before never
   * reach.
   */
  private static final int CHARTER_BITS = 40;

  /**
   * What is numbered under a new charter lies beyond all that those who are lost can have given
   * out.
   */
  private static final int BEYOND = 1_000;

  private static final long SEATS_BEYOND = 1_000_000;

  /** Settings, as bytes of text at most. */
  public static final int LARGEST = 128 * 1024;

  /** What became of a version. */
  public enum VersionOutcome {
    IN_FORCE,
    WITHDRAWN,
    REFUSED
  }

  /** One line of the history; the reason says why it was not taken, else it is empty. */
  public record HistoryEntry(SettingsVersion version, VersionOutcome end, String reason) {}

  private SettingsVersion inForce =
      new SettingsVersion(0, "", 1, "", "the start file of each router", 0);
  private SettingsVersion prepared;
  private long last;
  private long changes;
  private final ArrayDeque<HistoryEntry> history = new ArrayDeque<>();
  private final TreeMap<String, GroupAssignment> seats = new TreeMap<>();

  /** At which number each has changed last. */
  private final Map<String, Long> seatedAt = new HashMap<>();

  private long seatsNumber;
  private long era;

  /** By which folder each voter has voted, and who was given up with the last majority. */
  private final TreeMap<String, String> seals = new TreeMap<>();

  private final TreeSet<String> ended = new TreeSet<>();

  /**
   * A proposal made with the given version in force; empty where it is being prepared from here on,
   * else why it is not, and it gets no number. The later of two operators is told what it lost
   * against.
   */
  public String propose(
      long basis, String text, int routers, String who, String why, long atMillis) {
    changes++;
    String reason =
        prepared != null
            ? "version "
                + prepared.number()
                + " by "
                + prepared.who()
                + " is being brought into force"
            : basis != inForce.number()
                ? "version "
                    + inForce.number()
                    + " by "
                    + inForce.who()
                    + " came into force since version "
                    + basis
                : text.length() > LARGEST ? "it is longer than " + LARGEST + " characters" : "";
    SettingsVersion version =
        new SettingsVersion(reason.isEmpty() ? ++last : 0, text, routers, who, why, atMillis);
    if (reason.isEmpty()) {
      prepared = version;
    } else {
      note(new HistoryEntry(version, VersionOutcome.REFUSED, reason));
    }
    return reason;
  }

  /**
   * All live routers keep to the stricter of both, and all others have no lease: it holds from here
   * on.
   */
  public boolean bringIntoForce(long number) {
    changes++;
    if (prepared == null || prepared.number() != number) {
      return false;
    }
    inForce = prepared;
    prepared = null;
    note(new HistoryEntry(inForce, VersionOutcome.IN_FORCE, ""));
    return true;
  }

  public boolean withdraw(long number, String reason) {
    changes++;
    if (prepared == null || prepared.number() != number) {
      return false;
    }
    note(new HistoryEntry(prepared, VersionOutcome.WITHDRAWN, reason));
    prepared = null;
    return true;
  }

  // ---- What lists contradict each other by.

  /**
   * A member belongs to a group from here on: at once where it has no other, else once that is
   * cleared. False where nothing is changed.
   */
  public boolean seat(String member, int group, ListVersion at) {
    changes++;
    GroupAssignment known = seats.get(member);
    if (known != null
        && (!known.cleared() || known.group() == group || !at.isNewerThan(known.at()))) {
      return false;
    }
    put(new GroupAssignment(member, group, at, known == null));
    if (seats.size() > MOST_SEATS) {
      // A list from long ago may name it in another group: the oldest is the least likely to be
      // met.
      seats.values().stream()
          .filter(GroupAssignment::cleared)
          .min(Comparator.comparing(GroupAssignment::at))
          .ifPresent(
              oldest -> {
                seats.remove(oldest.member());
                seatedAt.remove(oldest.member());
              });
    }
    return true;
  }

  /** Every router has let go of it. */
  public boolean clear(String member) {
    changes++;
    GroupAssignment known = seats.get(member);
    if (known == null || known.cleared()) {
      return false;
    }
    put(new GroupAssignment(member, known.group(), known.at(), true));
    return true;
  }

  private void put(GroupAssignment seat) {
    seats.put(seat.member(), seat);
    seatedAt.put(seat.member(), ++seatsNumber);
  }

  /** Discovery counts its generations anew. */
  public boolean countAnew(long from) {
    changes++;
    era += from == era ? 1 : 0;
    return from == era - 1;
  }

  public long era() {
    return era;
  }

  /** Counts up with each change of a seat. */
  public long seatsNumber() {
    return seatsNumber;
  }

  /** Those that have changed after that number. */
  public List<GroupAssignment> seats(long after) {
    return after >= seatsNumber
        ? List.of()
        : seats.values().stream().filter(seat -> seatedAt.get(seat.member()) > after).toList();
  }

  /** Null where no group has used it yet. */
  public GroupAssignment seat(String member) {
    return seats.get(member);
  }

  /** As a snapshot held it. */
  public void restore(long ofEra, long number, List<GroupAssignment> table) {
    era = ofEra;
    seatsNumber = number;
    seats.clear();
    seatedAt.clear();
    table.forEach(
        seat -> {
          seats.put(seat.member(), seat);
          seatedAt.put(seat.member(), number);
        });
  }

  // ---- Who votes.

  /** A voter's folder, known from here on: another under the same name has not voted by it. */
  public boolean seal(String voter, String folder) {
    changes++;
    return seals.putIfAbsent(voter, folder) == null;
  }

  /** It is no voter any more, or is to vote with another folder. */
  public void unseal(String voter) {
    changes++;
    seals.remove(voter);
  }

  /** Empty where it has not voted yet. */
  public String sealOf(String voter) {
    return seals.getOrDefault(voter, "");
  }

  /**
   * How often a lost majority was given up; each time those that are left go on by a new charter.
   */
  public long charter() {
    return charter(changes);
  }

  /** Of a number of changes as grants tell it. */
  public static long charter(long changes) {
    return changes >>> CHARTER_BITS;
  }

  /** From which number on a charter's changes are counted. */
  public static long first(long charter) {
    return charter << CHARTER_BITS;
  }

  /**
   * A majority is gone for good, and this copy of what it agreed on goes on by itself. What the
   * others agreed on behind its back is undone: so nobody uses a member before everybody has let go
   * of it, and all numbers go on beyond those that they can have given out.
   */
  public void recover(Set<String> lost, String who, String why, long atMillis) {
    changes = first(charter() + 1);
    if (prepared != null) {
      note(new HistoryEntry(prepared, VersionOutcome.WITHDRAWN, "a majority was lost"));
      prepared = null;
    }
    last = Math.max(last, inForce.number()) + BEYOND;
    inForce = new SettingsVersion(last, inForce.text(), inForce.routers(), who, why, atMillis);
    note(
        new HistoryEntry(
            inForce,
            VersionOutcome.IN_FORCE,
            "charter " + charter() + ", without " + String.join(", ", lost)));
    seatsNumber += SEATS_BEYOND;
    seats.replaceAll((member, seat) -> new GroupAssignment(member, seat.group(), seat.at(), false));
    seatedAt.replaceAll((member, number) -> seatsNumber);
    seals.clear();
    ended.clear();
    ended.addAll(lost);
  }

  /** Whose processes were ended before the last charter, by an operator's word. */
  public Set<String> ended() {
    return ended;
  }

  public Map<String, String> seals() {
    return seals;
  }

  /** As a snapshot held it. */
  public void restore(Map<String, String> folders, Collection<String> lost) {
    seals.clear();
    seals.putAll(folders);
    ended.clear();
    ended.addAll(lost);
  }

  private void note(HistoryEntry chapter) {
    history.addLast(chapter);
    if (history.size() > MOST_HISTORY) {
      history.removeFirst();
    }
  }

  public SettingsVersion inForce() {
    return inForce;
  }

  /** Null where none is on its way. */
  public SettingsVersion prepared() {
    return prepared;
  }

  public long last() {
    return last;
  }

  /** How many commands made it what it is: of two copies the one with more is the newer. */
  public long changes() {
    return changes;
  }

  /** Oldest first, bounded. */
  public List<HistoryEntry> history() {
    return new ArrayList<>(history);
  }

  /** As a snapshot held it. */
  public void restore(
      SettingsVersion force,
      SettingsVersion onItsWay,
      long number,
      long changed,
      List<HistoryEntry> chapters) {
    changes = changed;
    inForce = force;
    prepared = onItsWay;
    last = number;
    history.clear();
    chapters.forEach(this::note);
  }
}
