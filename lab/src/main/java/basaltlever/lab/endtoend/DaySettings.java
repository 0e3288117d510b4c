package basaltlever.lab.endtoend;

import basaltlever.lab.endtoend.StatementClass.Effect;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * The settings in the start files of a run's routers: statement classes and parameters of the
 * rules. Soak runs print the string form as the figure {@code settings}.
 */
record DaySettings(
    List<StatementClass> classes,
    long drainGraceMillis,
    double coldFrom,
    long coldMillis,
    double fallMultiple,
    long idleCloseMillis,
    int maxAttempts,
    boolean secondCopies,
    boolean cancels,
    double pollPrice) {
  static final long OVERLOAD_WINDOW_MILLIS = 1_000;
  private static final int MICROS_PER_MILLI = 1_000;

  /** Two classes of idempotent reads and one of at-most-once writes. */
  static DaySettings defaults() {
    return new DaySettings(
        List.of(
            new StatementClass(
                "view", 0.45, 600, 2_500, 60, Effect.IDEMPOTENT, 0, "bounded", 200, 1),
            new StatementClass("own", 0.40, 300, 1_200, 30, Effect.IDEMPOTENT, 0, "session", 0, 2),
            new StatementClass(
                "post", 0.15, 1_000, 2_000, 60, Effect.AT_MOST_ONCE, 0, "write", 0, 4)),
        250,
        0.25,
        9_000,
        4,
        15_000,
        8,
        true,
        true,
        0.01);
  }

  /** Random classes, deadlines, windows and limits; the last class is always a write. */
  static DaySettings randomized(SplittableRandom random) {
    String[] reads = {"any", "bounded", "session", "fresh", "write"};
    List<StatementClass> classes = new ArrayList<>();
    int count = 2 + random.nextInt(4);
    double remainingShare = 1;
    for (int i = 0; i < count; i++) {
      double share =
          i == count - 1 ? remainingShare : remainingShare * (0.2 + 0.4 * random.nextDouble());
      remainingShare -= share;
      String read = i == count - 1 ? "write" : reads[random.nextInt(reads.length)];
      long deadlineMillis = 300L + random.nextInt(2_500);
      double workMillis = 5 + 30 * random.nextDouble();
      classes.add(
          new StatementClass(
              "c" + i,
              share,
              Math.max(100, deadlineMillis / 2),
              deadlineMillis,
              workMillis,
              Effect.values()[random.nextInt(3)],
              100 + random.nextInt(1_500),
              read,
              200 + random.nextInt(800),
              1 + random.nextInt(4)));
    }
    return new DaySettings(
        classes,
        200 + random.nextInt(300),
        0.1 + 0.3 * random.nextDouble(),
        4_000 + random.nextInt(8_000),
        2 + 2 * random.nextDouble(),
        2_000 + random.nextInt(14_000),
        2 + random.nextInt(7),
        random.nextBoolean(),
        random.nextBoolean(),
        random.nextBoolean() ? 0.01 : 0);
  }

  /** Returns a copy with this mean work per statement; 0 keeps the work of each class. */
  DaySettings withMeanWorkMillis(int millis) {
    List<StatementClass> newClasses =
        classes.stream()
            .map(
                workload ->
                    millis == 0
                        ? workload
                        : new StatementClass(
                            workload.key(),
                            workload.share(),
                            workload.sloMillis(),
                            workload.deadlineMillis(),
                            millis,
                            workload.effect(),
                            workload.windowMillis(),
                            workload.read(),
                            workload.boundMillis(),
                            workload.worth()))
            .toList();
    return new DaySettings(
        newClasses,
        drainGraceMillis,
        coldFrom,
        coldMillis,
        fallMultiple,
        idleCloseMillis,
        maxAttempts,
        secondCopies,
        cancels,
        pollPrice);
  }

  StatementClass pickClass(SplittableRandom random) {
    double remaining = random.nextDouble();
    for (StatementClass workload : classes) {
      remaining -= workload.share();
      if (remaining < 0) {
        return workload;
      }
    }
    return classes.get(classes.size() - 1);
  }

  long longestDeadlineMillis() {
    return classes.stream().mapToLong(StatementClass::deadlineMillis).max().orElse(0);
  }

  /** The settings object of the router's start file. */
  String toJson(int router, int routers) {
    return "{\"Balancers\":"
        + routers
        + ",\"Me\":"
        + router
        + ",\"Zone\":"
        + router % 2
        + ",\"Zones\":[\"east\",\"west\"],\"Discovery\":\"on_request\",\"Bounds\":{\"Cancel\":"
        + cancels
        + ",\"ConnectTimeout\":250000,\"IdleClose\":"
        + idleCloseMillis * MICROS_PER_MILLI
        + ",\"MaxAttempts\":"
        + maxAttempts
        + ",\"MaxOpen\":5000,\"MaxRetryAfter\":1000000,\"MayDuplicate\":"
        + secondCopies
        + ",\"MayProbe\":true,\"RetryAfter\":true,\"StreamsPerConn\":1},\"Classes\":["
        + classes.stream().map(StatementClass::settingsJson).collect(Collectors.joining(","))
        + "],\"Costs\":{\"Probe\":"
        + pollPrice
        + ",\"CrossZone\":0.02},"
        + "\"Reporting\":{\"How\":\"probe\",\"Fields\":[\"x0\",\"x1\",\"utilization\"]},"
        + "\"FamilyInfo\":{\"Checks\":\"wait\",\"ClassRead\":["
        + classes.stream().map(entry -> '"' + entry.read() + '"').collect(Collectors.joining(","))
        + "],\"LagAllowed\":["
        + classes.stream()
            .map(entry -> "" + entry.boundMillis() * MICROS_PER_MILLI)
            .collect(Collectors.joining(","))
        + "],\"ProgressTold\":true,\"SessionMarks\":\"carried\"},\"Rules\":{\"AnswerSlack\":20000,\"Cold\":"
        + coldMillis * MICROS_PER_MILLI
        + ",\"ColdFrom\":"
        + coldFrom
        + ",\"FallMultiple\":"
        + fallMultiple
        + ",\"Fall\":"
        + OVERLOAD_WINDOW_MILLIS * MICROS_PER_MILLI
        + ",\"DrainGrace\":"
        + drainGraceMillis * MICROS_PER_MILLI
        + ",\"MustAskIn\":10000000}}";
  }
}
