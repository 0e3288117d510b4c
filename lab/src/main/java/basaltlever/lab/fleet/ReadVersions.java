package basaltlever.lab.fleet;

import basaltlever.lab.scenario.Scenario;
import basaltlever.lab.world.ReadLedger.AnsweredRead;
import basaltlever.lab.world.Workload;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Versions of what reads require, drawn at random, and the judgment of answered reads by them. A
 * version may be in force from the moment at which a leader first asks its voters for it, by its
 * log; it surely is once a router complies with it alone. Each read must satisfy a version that may
 * have been in force at some time between its client's sending and its arrival at the server.
 */
final class ReadVersions {
  private static final int[] BOUNDS_MILLIS = {100, 250, 500};

  /** How much longer a read may be on its way; the rule on sockets. */
  private static final Span SOCKET_TOLERANCE = Span.ofMillis(50);

  /** Log lines are timed to the millisecond and written soon after what they tell. */
  private static final Span LOG_TOLERANCE = Span.ofMillis(10);

  private static final int MAX_FINDINGS = 10;
  private static final Pattern LOG_LINE =
      Pattern.compile(
          "(?m)^(\\S+) .*event=(?:fleet_step step=BRING_INTO_FORCE version|fleet_keeps force)"
              + "=(\\d+)(.*)$");

  /** What is known of one version that came into force or may have. */
  private static final class Version {
    final List<Workload> workloads;
    Moment possibleFrom = Moment.NEVER;
    Moment certainFrom = Moment.NEVER;

    Version(List<Workload> workloads) {
      this.workloads = workloads;
    }
  }

  private final Scenario scenario;
  private final SplittableRandom random;
  private final Map<Long, Version> versions = new TreeMap<>();
  private final List<String> findings = new ArrayList<>();

  ReadVersions(Scenario scenario, SplittableRandom random) {
    this.scenario = scenario;
    this.random = random;
    Version first = new Version(scenario.workloads);
    first.possibleFrom = Moment.LONG_AGO;
    first.certainFrom = Moment.LONG_AGO;
    versions.put(-1L, first);
  }

  List<Workload> draw() {
    List<String> consistencies = scenario.versionConsistencies;
    return scenario.workloads.stream()
        .map(
            workload ->
                workload.isWrite()
                    ? workload
                    : workload.withFreshness(
                        consistencies.get(random.nextInt(consistencies.size())),
                        Span.ofMillis(BOUNDS_MILLIS[random.nextInt(BOUNDS_MILLIS.length)])))
        .toList();
  }

  /** Records the number that a proposed version got. */
  void record(long number, List<Workload> workloads) {
    versions.put(number, new Version(workloads));
  }

  /** Learns from the log of a router when versions came into force. */
  void readLog(String log) {
    Matcher lines = LOG_LINE.matcher(log);
    while (lines.find()) {
      Version version = versions.get(Long.parseLong(lines.group(2)));
      if (version != null) {
        Moment at = timeOf(lines.group(1));
        boolean isLeaderStep = lines.group().contains("BRING_INTO_FORCE");
        if (isLeaderStep) {
          version.possibleFrom = version.possibleFrom.earlier(at.minus(LOG_TOLERANCE));
        } else {
          version.certainFrom = version.certainFrom.earlier(at.plus(LOG_TOLERANCE));
        }
      }
    }
  }

  private static Moment timeOf(String logTime) {
    var instant = LocalDateTime.parse(logTime).atZone(ZoneId.systemDefault()).toInstant();
    return new Moment(ChronoUnit.MICROS.between(java.time.Instant.EPOCH, instant));
  }

  /** Returns how many of the reads satisfy no version that may have been in force. */
  int countStale(List<AnsweredRead> reads) {
    int stale = 0;
    for (AnsweredRead read : reads) {
      List<Workload> possible = possibleRequirements(read);
      if (possible.stream().noneMatch(workload -> satisfies(read, workload))) {
        stale++;
        if (findings.size() < MAX_FINDINGS) {
          findings.add("stale: " + read + " for " + possible);
        }
      }
    }
    return stale;
  }

  List<String> findings() {
    return findings;
  }

  private List<Workload> possibleRequirements(AnsweredRead read) {
    List<Workload> possible = new ArrayList<>();
    for (Map.Entry<Long, Version> entry : versions.entrySet()) {
      Version version = entry.getValue();
      boolean hasBegun = !version.possibleFrom.isAfter(read.receivedByServer());
      boolean hasEnded =
          versions.entrySet().stream()
              .anyMatch(
                  other ->
                      other.getKey() > entry.getKey()
                          && other.getValue().certainFrom.isBefore(read.sentByClient()));
      if (hasBegun && !hasEnded) {
        possible.add(version.workloads.get(read.workloadIndex()));
      }
    }
    return possible;
  }

  private static boolean satisfies(AnsweredRead read, Workload workload) {
    if (read.atPrimary()) {
      return true;
    }
    return switch (workload.consistency()) {
      case "fresh" -> !read.position().isBefore(read.sentByClient());
      case "session" -> read.position().micros() / 1_000 >= read.requiredCommitMillis();
      case "bounded" ->
          !read.receivedByServer()
              .since(read.position())
              .isLongerThan(workload.stalenessBound().plus(SOCKET_TOLERANCE));
      default -> true;
    };
  }
}
