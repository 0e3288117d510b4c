package basaltlever.membership;

import basaltlever.settings.LeaseTable;
import basaltlever.settings.VersionRegister;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * The leader's book of lists: what each router's list says, the facts that bind all, and what
 * follows for members that come or move. Facts that only grow are passed on as they come; seats and
 * eras are steps for the voters.
 */
public final class MembershipCoordinator {
  private static final int MOST_MARKS = 5_000;
  private static final int MARKS_AN_ANSWER = 1_000;
  private static final int MOST_STAMPS = 64;
  private static final int SEATS_A_STEP = 500;
  private static final int LEASES_A_COUNT = 5;

  /** What the voters have to agree on next. */
  public record Step(Kind kind, List<GroupAssignment> seats) {
    /** Of steps. */
    public enum Kind {
      NOTHING,
      SEAT,
      CLEAR,
      COUNT_ANEW
    }

    static final Step NOTHING = new Step(Kind.NOTHING, List.of());
  }

  /** Two lists of one generation that are not the same, and who holds which. */
  public record ListFork(ListVersion at, Map<Long, List<String>> holders) {}

  private record ListContent(ListVersion at, long digest) {}

  private final LeaseTable leases;
  private final Collection<String> peers;
  private final Span assigned;
  private final Map<String, HeartbeatReport> reports = new TreeMap<>();
  private final Map<String, Set<String>> freeAt = new HashMap<>();
  private final TreeMap<Long, DrainMark> marks = new TreeMap<>();
  private final Map<String, Long> places = new HashMap<>();
  private Moment countedAt = Moment.LONG_AGO;
  private Moment electedAt = Moment.LONG_AGO;
  private long book;
  private long last;
  private Map<ListContent, Integer> holders = Map.of();

  /** Who has ever told which list of a stamp; of the latest stamps. */
  private final TreeMap<ListVersion, Map<Long, Set<String>>> tellers = new TreeMap<>();

  private int live;
  private Moment talliedAt = Moment.LONG_AGO;

  /**
   * Peers are all routers of the fleet by name; one that is not heard from for as long as assigned
   * uses no member any more.
   */
  public MembershipCoordinator(LeaseTable leases, Collection<String> peers, Span assigned) {
    this.leases = leases;
    this.peers = peers;
    this.assigned = assigned;
  }

  /** From here on this voter leads, with an empty book that no other has the number of. */
  public void elected(Moment now, long number) {
    reports.clear();
    freeAt.clear();
    marks.clear();
    places.clear();
    tellers.clear();
    last = 0;
    book = number;
    electedAt = now;
    talliedAt = Moment.LONG_AGO;
  }

  /** A report that came with a beat, and the answer to it; the grant is the leases' own. */
  public MembershipUpdate beat(
      Moment now, String name, HeartbeatReport report, VersionRegister register) {
    reports.put(name, report);
    report.marks().forEach(this::mark);
    if (report.digest() != 0) {
      tellers
          .computeIfAbsent(report.at(), at -> new TreeMap<>())
          .computeIfAbsent(report.digest(), digest -> new HashSet<>())
          .add(name);
      if (tellers.size() > MOST_STAMPS) {
        // One that is told ever newer lists pushes out its own.
        tellers.entrySet().stream()
            .min(
                Comparator.comparingInt(
                    entry -> entry.getValue().values().stream().mapToInt(Set::size).sum()))
            .ifPresent(least -> tellers.remove(least.getKey()));
      }
    }
    for (String member : report.free()) {
      freeAt.computeIfAbsent(member, m -> new HashSet<>()).add(name);
    }
    long from = report.book() == book ? report.read() : 0;
    List<DrainMark> news = new ArrayList<>();
    long place = from;
    for (Map.Entry<Long, DrainMark> entry : marks.tailMap(from, false).entrySet()) {
      if (news.size() == MARKS_AN_ANSWER) {
        break;
      }
      news.add(entry.getValue());
      place = entry.getKey();
    }
    return new MembershipUpdate(
        book,
        place,
        news,
        report.book() == book ? report.marksEnd() : 0,
        verdict(now, report, register),
        report.at(),
        report.digest(),
        register.era(),
        register.seatsNumber(),
        register.seats(report.seatsRead()));
  }

  private void mark(DrainMark mark) {
    Long known = places.get(mark.member());
    if (mark.outdoes(known == null ? null : marks.get(known))) {
      if (known != null) {
        marks.remove(known);
      }
      marks.put(++last, mark);
      places.put(mark.member(), last);
      if (marks.size() > MOST_MARKS) {
        places.remove(marks.pollFirstEntry().getValue().member());
      }
    }
  }

  // Counted anew a few times a lease, not at each of five hundred routers' beats.
  private void tally(Moment now) {
    if (now.since(talliedAt).isShorterThan(leases.leaseDuration().times(0.1))) {
      return;
    }
    talliedAt = now;
    holders = new HashMap<>();
    live = 0;
    reports.forEach(
        (name, report) -> {
          if (leases.hasLease(name, now)) {
            live++;
            holders.merge(new ListContent(report.at(), report.digest()), 1, Integer::sum);
          }
        });
  }

  private ListAgreement verdict(Moment now, HeartbeatReport report, VersionRegister register) {
    if (report.digest() == 0 || leases.formerLeasesMayRun(now) || !leases.isConfirmed(now)) {
      return ListAgreement.UNTOLD;
    }
    tally(now);
    int same = holders.getOrDefault(new ListContent(report.at(), report.digest()), 0);
    // Those of whom this leader has not heard yet count as well.
    int all = Math.max(live, register.inForce().routers());
    if (2 * same > all) {
      return ListAgreement.SEEN;
    }
    if (2 * tellers(report) > peers.size()) {
      return ListAgreement.PASSED;
    }
    if (tellers.getOrDefault(report.at(), Map.of()).size() > 1) {
      return ListAgreement.DISPUTED;
    }
    int newer = 0;
    for (Map.Entry<ListContent, Integer> entry : holders.entrySet()) {
      newer += entry.getKey().at().isNewerThan(report.at()) ? entry.getValue() : 0;
    }
    // Where most have not spoken yet nobody can have contradicted.
    return 2 * newer > all
        ? ListAgreement.BEHIND
        : 2 * live > all ? ListAgreement.AHEAD : ListAgreement.UNTOLD;
  }

  private int tellers(HeartbeatReport report) {
    return tellers
        .getOrDefault(report.at(), Map.of())
        .getOrDefault(report.digest(), Set.of())
        .size();
  }

  /** What follows, by the first rule that applies. */
  public Step next(Moment now, VersionRegister register) {
    if (leases.formerLeasesMayRun(now) || !leases.isConfirmed(now)) {
      return Step.NOTHING;
    }
    int there = 0;
    int back = 0;
    int older = 0;
    // Not by what one router was told: it may but be the first.
    ListVersion newest =
        Stream.concat(
                register.seats(-1).stream().map(GroupAssignment::at),
                tellers.entrySet().stream()
                    .filter(
                        entry ->
                            entry.getValue().values().stream()
                                .anyMatch(names -> 2 * names.size() > peers.size()))
                    .map(Map.Entry::getKey))
            .max(Comparator.naturalOrder())
            .orElse(ListVersion.NEVER);
    TreeMap<String, GroupAssignment> wanted = new TreeMap<>();
    for (Map.Entry<String, HeartbeatReport> entry : reports.entrySet()) {
      HeartbeatReport report = entry.getValue();
      if (!leases.hasLease(entry.getKey(), now)) {
        continue;
      }
      there++;
      back += report.doubt() == ListAnomaly.BACK && report.at().era() == register.era() ? 1 : 0;
      older +=
          report.digest() != 0
                  && report.at().era() == register.era()
                  && newest.isNewerThan(report.at())
              ? 1
              : 0;
      if (!report.wanted().isEmpty() && 2 * tellers(report) > peers.size()) {
        // Most of all there may be hold the very list, whether or not they used the member before.
        report
            .wanted()
            .forEach(
                seat ->
                    wanted.merge(
                        seat.member(),
                        seat,
                        (one, other) -> one.at().isNewerThan(other.at()) ? one : other));
      }
    }
    // Who was started since has nothing to go back from: it holds what is older than what was
    // agreed.
    // At most so often: one discovery that tells a generation far too high would have all ask for
    // lists anew.
    if (2 * Math.max(back, older) > Math.max(there, register.inForce().routers())
        && now.since(countedAt).isLongerThan(leases.leaseDuration().times(LEASES_A_COUNT))) {
      countedAt = now;
      return new Step(Step.Kind.COUNT_ANEW, List.of());
    }
    List<GroupAssignment> cleared =
        register.seats(-1).stream()
            .filter(seat -> !seat.cleared() && isLetGo(seat.member(), now, register.ended()))
            .limit(SEATS_A_STEP)
            .toList();
    if (!cleared.isEmpty()) {
      return new Step(Step.Kind.CLEAR, cleared);
    }
    List<GroupAssignment> news =
        wanted.values().stream()
            .filter(
                seat -> {
                  GroupAssignment known = register.seat(seat.member());
                  return known == null
                      || (known.cleared()
                          && known.group() != seat.group()
                          && seat.at().isNewerThan(known.at()));
                })
            .limit(SEATS_A_STEP)
            .toList();
    news.forEach(seat -> freeAt.remove(seat.member()));
    return news.isEmpty() ? Step.NOTHING : new Step(Step.Kind.SEAT, news);
  }

  // Whoever let go keeps to it while the move is not cleared, and a later process under its name
  // hears of the
  // move before its first act. Whoever did not may act for as long as its groups are assigned to
  // it.
  private boolean isLetGo(String member, Moment now, Set<String> ended) {
    Set<String> free = freeAt.getOrDefault(member, Set.of());
    return peers.stream()
        .allMatch(
            peer ->
                free.contains(peer)
                    || (ended.contains(peer) && !reports.containsKey(peer))
                    || now.since(leases.lastHeard(peer).later(electedAt))
                        .isLongerThan(
                            leases.withClockDrift(assigned.plus(leases.leaseDuration()))));
  }

  /** Lists of one generation that are not the same: discovery tells two things. */
  public List<ListFork> forks(Moment now) {
    Map<ListVersion, Map<Long, List<String>>> held = new TreeMap<>();
    reports.forEach(
        (name, report) -> {
          if (report.digest() != 0 && leases.hasLease(name, now)) {
            held.computeIfAbsent(report.at(), at -> new TreeMap<>())
                .computeIfAbsent(report.digest(), digest -> new ArrayList<>())
                .add(name);
          }
        });
    return held.entrySet().stream()
        .filter(entry -> entry.getValue().size() > 1)
        .map(entry -> new ListFork(entry.getKey(), entry.getValue()))
        .toList();
  }

  /**
   * What a router said last; what one that has heard of no list would say where it said nothing.
   */
  public HeartbeatReport said(String name) {
    return reports.getOrDefault(name, HeartbeatReport.NONE);
  }

  public ListAgreement verdictOn(String name, Moment now, VersionRegister register) {
    return verdict(now, said(name), register);
  }
}
