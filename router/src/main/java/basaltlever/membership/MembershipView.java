package basaltlever.membership;

import basaltlever.gateway.EndpointLifecycle;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Which members one router may use and in which group, by its own lists and its fleet's word. What
 * a list forbids binds at once, whoever's list it is; what it allows waits until most routers hold
 * the same list, or until nobody has contradicted it for the stated time. A list that goes back,
 * empties or shrinks at once is held off: what it forbids by name binds, the rest is used for
 * nothing.
 */
public final class MembershipView {
  /** A list that names less than this share of the members in service at once is held off. */
  private static final double LEAST_LEFT = 0.5;

  private static final int MOST_MARKS = 5_000;
  private static final int MARKS_A_BEAT = 500;
  private static final int SEATS_A_BEAT = 500;

  /**
   * Lists that nobody has confirmed; of more the oldest counts for nothing, the strictest of it is
   * kept.
   */
  private static final int MOST_UNSETTLED = 32;

  /** What may be done with a member: its listing, and the group in which it may be used. */
  public record MemberUse(EndpointLifecycle listing, int group) {}

  /** A list that was taken. */
  private static final class ListCopy {
    final SortedMap<String, ListedEndpoint> list;
    final ListVersion at;
    final long digest;
    final Moment since;
    ListAgreement verdict = ListAgreement.UNTOLD;
    Moment seenSince = Moment.NEVER;

    ListCopy(SortedMap<String, ListedEndpoint> list, ListVersion at, long digest, Moment since) {
      this.list = list;
      this.at = at;
      this.digest = digest;
      this.since = since;
    }
  }

  private final Span stated;
  private final Span assigned;

  /** What discovery told last, held off or not; null before the first list. */
  private ListCopy told;

  private ListAnomaly doubt = ListAnomaly.NONE;

  /**
   * The list that is taken, and those since the last one that is settled, oldest first, this one
   * too.
   */
  private ListCopy own = new ListCopy(new TreeMap<>(), ListVersion.NEVER, 0, Moment.LONG_AGO);

  private final ArrayDeque<ListCopy> unsettled = new ArrayDeque<>();
  private SortedMap<String, ListedEndpoint> settled = new TreeMap<>();
  private ListVersion settledAt = ListVersion.NEVER;
  private final Map<String, DrainMark> marks = new HashMap<>();

  /** What the leader may lack, and how many went before these. */
  private final ArrayDeque<DrainMark> unsent = new ArrayDeque<>();

  private long sent;
  private final Map<String, GroupAssignment> seats = new TreeMap<>();

  /**
   * Below 0 before the first word: a fresh process knows of no member in which group others use it.
   */
  private long seatsNumber = -1;

  private long book;
  private long place;
  private long era;
  private Moment wordUntil = Moment.LONG_AGO;
  private long revision;

  /**
   * Within the stated time nobody acts on an older version; for as long as assigned a router that
   * hears nothing may go on using members in the groups that it knows.
   */
  public MembershipView(Span stated, Span assigned) {
    this.stated = stated;
    this.assigned = assigned;
  }

  // ---- What discovery tells.

  /**
   * A whole list, or entries that have changed since the one before. Tells whether it is held off,
   * and why.
   */
  public ListAnomaly told(
      Moment now, boolean whole, long generation, Map<String, ListedEndpoint> entries) {
    TreeMap<String, ListedEndpoint> list =
        whole || told == null ? new TreeMap<>() : new TreeMap<>(told.list);
    list.putAll(entries);
    revision++;
    boolean back = own.at.era() == era && generation < own.at.generation();
    told = new ListCopy(list, new ListVersion(era, generation), digest(list, generation), now);
    doubt = back ? ListAnomaly.BACK : doubt();
    heed();
    return doubt;
  }

  private void heed() {
    if (doubt != ListAnomaly.BACK) {
      // Of a list that is held off as well: what it says by name is no slip of its length.
      told.list.forEach(
          (member, said) -> {
            if (said.listing() != EndpointLifecycle.READY) {
              mark(new DrainMark(member, told.at, said.listing() == EndpointLifecycle.GONE), true);
            }
          });
    }
    if (doubt == ListAnomaly.NONE) {
      take();
    }
  }

  private ListAnomaly doubt() {
    if (told.list.values().stream().allMatch(said -> said.listing() == EndpointLifecycle.GONE)) {
      return ListAnomaly.EMPTY;
    }
    long serving =
        own.list.values().stream()
            .filter(said -> said.listing() == EndpointLifecycle.READY)
            .count();
    long named =
        own.list.entrySet().stream()
            .filter(
                entry ->
                    entry.getValue().listing() == EndpointLifecycle.READY
                        && told.list.containsKey(entry.getKey()))
            .count();
    return named < LEAST_LEFT * serving ? ListAnomaly.SHRUNK : ListAnomaly.NONE;
  }

  private void take() {
    revision++;
    for (String member : own.list.keySet()) {
      if (!told.list.containsKey(member)) {
        mark(new DrainMark(member, told.at, true), true);
      }
    }
    own = told;
    unsettled.add(own);
    if (unsettled.size() > MOST_UNSETTLED) {
      // Whom it alone names nobody has borne out.
      SortedMap<String, ListedEndpoint> strictest = new TreeMap<>(settled);
      unsettled
          .removeFirst()
          .list
          .forEach(
              (member, said) ->
                  strictest.computeIfPresent(
                      member,
                      (m, known) -> said.listing().compareTo(known.listing()) > 0 ? said : known));
      settled = strictest;
    }
  }

  private void mark(DrainMark mark, boolean isOwn) {
    if (mark.outdoes(marks.get(mark.member()))) {
      marks.put(mark.member(), mark);
      revision++;
      if (isOwn && unsent.size() < MOST_MARKS) {
        unsent.add(mark);
      }
      if (marks.size() > MOST_MARKS) {
        marks.values().stream()
            .min(Comparator.comparing(DrainMark::at))
            .ifPresent(oldest -> marks.remove(oldest.member()));
      }
    }
  }

  /** Of what routers may contradict each other by; addresses may differ by network. */
  private static long digest(SortedMap<String, ListedEndpoint> list, long generation) {
    try {
      MessageDigest sum = MessageDigest.getInstance("SHA-256");
      list.forEach(
          (member, said) -> {
            if (said.listing() != EndpointLifecycle.GONE) {
              sum.update(
                  (member + '\0' + said.listing() + '\0' + said.group() + '\n')
                      .getBytes(StandardCharsets.UTF_8));
            }
          });
      sum.update(ByteBuffer.allocate(Long.BYTES).putLong(generation).array());
      long digest = ByteBuffer.wrap(sum.digest()).getLong();
      return digest == 0 ? 1 : digest;
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  // ---- What the fleet tells.

  /** To be taken in before the grant that it comes with. */
  public void heard(Moment now, MembershipUpdate sight) {
    if (sight.book() != book) {
      // Another leader: all that this router knows may be news to it.
      book = sight.book();
      place = 0;
      sent += unsent.size();
      unsent.clear();
      unsent.addAll(marks.values());
    } else {
      while (sent < sight.marksEnd() && !unsent.isEmpty()) {
        unsent.removeFirst();
        sent++;
      }
    }
    sight.marks().forEach(mark -> mark(mark, false));
    place = Math.max(place, sight.place());
    if (sight.seatsNumber() > seatsNumber) {
      // One that was replaced without knowing it tells an older table.
      sight.seats().forEach(seat -> seats.put(seat.member(), seat));
      seatsNumber = sight.seatsNumber();
      revision++;
    }
    // Which of the lists that it has were counted before nobody knows: discovery has to tell them
    // once more.
    era = Math.max(era, sight.era());
    if (told != null && sight.at().equals(told.at) && sight.digest() == told.digest) {
      // Another leader may not know any more who contradicted it.
      told.verdict =
          told.verdict == ListAgreement.DISPUTED
                  && sight.verdict() != ListAgreement.SEEN
                  && sight.verdict() != ListAgreement.PASSED
              ? told.verdict
              : sight.verdict();
      // For so long that, did it go back for most, they would have agreed to count anew.
      told.seenSince =
          told.verdict == ListAgreement.SEEN ? told.seenSince.earlier(now) : Moment.NEVER;
      boolean holds = now.since(told.seenSince).isLongerThan(stated);
      if (holds && (doubt == ListAnomaly.SHRUNK || doubt == ListAnomaly.BACK)) {
        // Most hold it: theirs was no slip, or what this one came to hold before was one.
        doubt = ListAnomaly.NONE;
        heed();
      }
    }
    settle(now);
  }

  // The newest that most hold, or that nobody has contradicted for so long; what came before it is
  // over.
  private void settle(Moment now) {
    ListCopy newest = null;
    for (ListCopy copy : unsettled) {
      // One that was replaced since is judged no more: who would contradict it may not have spoken
      // yet. One
      // that is older than what most hold allows nothing: a newer one is on its way here too.
      boolean stands =
          copy.verdict == ListAgreement.SEEN
              || copy.verdict == ListAgreement.PASSED
              || (copy == told
                  && copy.verdict == ListAgreement.AHEAD
                  && now.since(copy.since).isLongerThan(stated));
      newest = stands ? copy : newest;
    }
    while (newest != null && !unsettled.isEmpty() && settled != newest.list) {
      ListCopy next = unsettled.removeFirst();
      settled = next.list;
      settledAt = next.at;
      revision++;
    }
  }

  /** It has its fleet's word up to this moment. */
  public void leased(Moment ends) {
    wordUntil = wordUntil.later(ends);
  }

  /** Whether it has heard nothing for so long that members may serve other groups by now. */
  public boolean isAdrift(Moment now) {
    return seatsNumber < 0 || now.since(wordUntil).isLongerThan(assigned);
  }

  // ---- What follows.

  /** Another number whenever some member may have another use. */
  public long revision(Moment now) {
    return 2 * revision + (isAdrift(now) ? 1 : 0);
  }

  /** Every member that has to be told to the decisions. */
  public Set<String> members() {
    Set<String> all = new TreeSet<>(own.list.keySet());
    all.addAll(settled.keySet());
    unsettled.forEach(copy -> all.addAll(copy.list.keySet()));
    return all;
  }

  /** The strictest of what is known at this moment. */
  public MemberUse use(Moment now, String member) {
    ListedEndpoint mine = own.list.get(member);
    EndpointLifecycle listing = mine == null ? EndpointLifecycle.GONE : mine.listing();
    if (!unsettled.isEmpty()) {
      // Known to no settled list: nobody needs it at once, and most may know nothing of it.
      ListedEndpoint before = settled.get(member);
      listing = stricter(listing, before != null ? before.listing() : EndpointLifecycle.DRAINING);
      for (ListCopy copy : unsettled) {
        ListedEndpoint once = copy.list.get(member);
        listing = stricter(listing, once == null ? EndpointLifecycle.DRAINING : once.listing());
      }
    }
    if (doubt == ListAnomaly.BACK && told.list.containsKey(member)) {
      // Older, so it is no news for others; yet this router was told.
      listing = stricter(listing, told.list.get(member).listing());
    }
    DrainMark mark = marks.get(member);
    // A newer list undoes it once it is settled: by then most hold it, or nobody contradicts it.
    if (mark != null && !settledAt.isNewerThan(mark.at())) {
      listing =
          stricter(listing, mark.gone() ? EndpointLifecycle.GONE : EndpointLifecycle.DRAINING);
    }
    GroupAssignment seat = seats.get(member);
    // Its own list may be older than where the member went, or newer than what is agreed: neither
    // is used.
    boolean waits =
        seat == null
            || !seat.cleared()
            || (mine != null && mine.group() != seat.group())
            || isAdrift(now);
    return new MemberUse(
        waits ? stricter(listing, EndpointLifecycle.DRAINING) : listing,
        seat != null ? seat.group() : mine != null ? mine.group() : 0);
  }

  private static EndpointLifecycle stricter(EndpointLifecycle one, EndpointLifecycle other) {
    return one.compareTo(other) >= 0 ? one : other;
  }

  /** What its own list says of a member's group where that is not agreed; null where it is. */
  private GroupAssignment wants(String member, ListedEndpoint said) {
    GroupAssignment seat = seats.get(member);
    return seat == null
            || (seat.cleared() && said.group() != seat.group() && own.at.isNewerThan(seat.at()))
        ? new GroupAssignment(member, said.group(), own.at, false)
        : null;
  }

  /** For the next beat; nothing is out at a member where the test says so. */
  public HeartbeatReport report(Moment now, Predicate<String> nothingOut) {
    List<GroupAssignment> wanted = new ArrayList<>();
    own.list.forEach(
        (member, said) -> {
          // Of a list that is held off nothing is wanted, and who holds it off reports no other.
          GroupAssignment wants =
              seatsNumber < 0
                      || doubt != ListAnomaly.NONE
                      || said.listing() == EndpointLifecycle.GONE
                      || wanted.size() >= SEATS_A_BEAT
                  ? null
                  : wants(member, said);
          if (wants != null) {
            wanted.add(wants);
          }
        });
    List<DrainMark> some = unsent.stream().limit(MARKS_A_BEAT).toList();
    List<String> free =
        seats.values().stream()
            .filter(seat -> !seat.cleared() && nothingOut.test(seat.member()))
            .map(GroupAssignment::member)
            .toList();
    return new HeartbeatReport(
        told == null ? ListVersion.NEVER : told.at,
        told == null ? 0 : told.digest,
        doubt,
        some,
        sent + some.size(),
        wanted,
        free,
        book,
        place,
        seatsNumber);
  }

  /** Whether all that its own list allows holds by now. */
  public boolean isSettled() {
    return told != null
        && doubt == ListAnomaly.NONE
        && unsettled.isEmpty()
        && own.list.entrySet().stream()
            .allMatch(entry -> wants(entry.getKey(), entry.getValue()) == null);
  }

  /** Whether its list was counted in a former era: discovery has to tell it once more. */
  public boolean wantsList() {
    return told != null && told.at.era() < era;
  }

  /** In which lists are counted. */
  public long era() {
    return era;
  }

  /** What the fleet made of the latest list. */
  public ListAgreement verdict() {
    return told == null ? ListAgreement.UNTOLD : told.verdict;
  }

  /** Of the list that is taken. */
  public ListVersion ownAt() {
    return own.at;
  }

  /** Of the latest list, taken or held off. */
  public ListVersion at() {
    return told == null ? ListVersion.NEVER : told.at;
  }
}
