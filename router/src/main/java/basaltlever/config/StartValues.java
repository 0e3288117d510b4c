package basaltlever.config;

import basaltlever.balancer.LoadBalancer;
import basaltlever.core.LoadReportFormat;
import basaltlever.gateway.AttemptLimits;
import basaltlever.gateway.DecisionSink;
import basaltlever.gateway.DrainPolicy;
import basaltlever.gateway.PoolSettings;
import basaltlever.gateway.Replication;
import basaltlever.gateway.RouterIdentity;
import basaltlever.gateway.Settings;
import basaltlever.gateway.SlowStartPolicy;
import basaltlever.gateway.Workload;
import basaltlever.hold.HoldBudget;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * What is agreed with a router at start, from either form of it. Spans are given in microseconds.
 */
public final class StartValues {
  private static final double LONGEST = 86_400e6;

  /**
   * A quarter of the direct memory of a router that holds little, half of what statements' texts
   * may take.
   */
  private static final long MOST_HELD_BYTES = 8 << 20;

  private static final double MANY = 1e6;
  private static final double MUST_ASK_IN = 10e6;
  private static final double CONNECT_TIMEOUT = 1e6;
  private static final List<String> NEEDS = List.of("write", "fresh", "session", "bounded", "any");
  private static final List<String> REPEATS = List.of("idempotent", "deduplicated", "at_most_once");
  private static final List<String> GROUPS = List.of("all", "zone", "cell");

  private final SettingsReader keys;
  private final RouterIdentity standing;
  private final Workload[] workloads;
  private final Replication replication;
  private final DrainPolicy drains;
  private final SlowStartPolicy warmUp;
  private final AttemptLimits allowance;
  private final PoolSettings connections;
  private final long origin;
  private final List<String> workloadNames = new ArrayList<>();
  private final Span connectTimeout;
  private final int mostOpen;

  /** On sockets the list is always asked for, also where the simulator would bring it. */
  StartValues(SettingsReader keys, boolean asks) {
    this.keys = keys;
    standing =
        new RouterIdentity(
            (int) keys.number("Balancers", 1, MANY),
            (int) keys.number("Me", 0, MANY, 0),
            (int) keys.number("Zone", 0, MANY),
            keys.number("Costs.Probe", 0, MANY, 0),
            keys.number("Costs.CrossZone", 0, MANY, 0));
    int checks =
        keys.choice(
            "FamilyInfo.Checks", keys.text("FamilyInfo.Checks"), List.of("none", "refuse", "wait"));
    int marks =
        keys.choice(
            "FamilyInfo.SessionMarks",
            keys.text("FamilyInfo.SessionMarks"),
            List.of("carried", "remembered"));
    replication = new Replication(checks > 0, keys.flag("FamilyInfo.ProgressTold"), marks == 0);
    boolean asked =
        keys.choice("Discovery", keys.text("Discovery"), List.of("pushed", "on_request")) == 1;
    drains =
        new DrainPolicy(
            asked || asks,
            asked ? span("Rules.MustAskIn") : span("Rules.MustAskIn", MUST_ASK_IN),
            !keys.flag("Rules.RemovalNotBinding"));
    warmUp =
        new SlowStartPolicy(
            keys.number("Rules.ColdFrom", 0, 1),
            span("Rules.Cold"),
            keys.number("Rules.FallMultiple", 0, MANY),
            span("Rules.Fall"));
    allowance =
        new AttemptLimits(
            (int) keys.number("Bounds.MaxAttempts", 1, 255),
            keys.flag("Bounds.MayDuplicate"),
            keys.flag("Bounds.Cancel"),
            keys.flag("Bounds.MayProbe"),
            keys.flag("Bounds.RetryAfter") ? span("Bounds.MaxRetryAfter") : Span.NONE,
            span("Rules.AnswerSlack"));
    connections =
        new PoolSettings(
            (int) keys.number("Bounds.StreamsPerConn", 1, MANY, 1), span("Bounds.IdleClose", 0));
    origin = (long) keys.number("FamilyInfo.OriginTime", 0, 1e18, 0);
    // What was decided before a drain is told may be written as late as this.
    Span grace = span("Rules.DrainGrace", LONGEST);
    connectTimeout = span("Bounds.ConnectTimeout", CONNECT_TIMEOUT).shorter(grace);
    mostOpen = (int) keys.number("Bounds.MaxOpen", 1, 1e9, 1e9);
    workloads = new Workload[(int) keys.number("Classes.count", 1, 250)];
    List<String> needs = keys.list("FamilyInfo.ClassRead");
    List<String> bounds = keys.list("FamilyInfo.LagAllowed");
    for (int i = 0; i < workloads.length; i++) {
      workloads[i] = workload(i, needs, bounds);
      if (asks && workloadNames.indexOf(workloadNames.get(i)) < i) {
        keys.fault(
            "Classes." + i + ".Name is " + workloadNames.get(i) + ", as that of another workload");
      }
    }
  }

  public static StartValues ofLines(String text) throws InvalidSettingsException {
    List<String> faults = new ArrayList<>();
    StartValues values = new StartValues(SettingsReader.ofLines(text, faults), false);
    if (!faults.isEmpty()) {
      throw new InvalidSettingsException(faults);
    }
    return values;
  }

  private Workload workload(int number, List<String> needs, List<String> bounds) {
    String path = "Classes." + number + ".";
    workloadNames.add(keys.text(path + "Name", ""));
    if (number >= needs.size()) {
      keys.fault("FamilyInfo.ClassRead does not name class " + number);
    }
    int need =
        number < needs.size() ? keys.choice("FamilyInfo.ClassRead", needs.get(number), NEEDS) : 0;
    double bound = 0;
    if (NEEDS.get(need).equals("bounded")) {
      if (number >= bounds.size()) {
        keys.fault("FamilyInfo.LagAllowed gives no bound for class " + number);
      } else {
        bound = keys.within("FamilyInfo.LagAllowed", bounds.get(number), 0, LONGEST);
      }
    }
    int repeat = keys.choice(path + "Repeat", keys.text(path + "Repeat"), REPEATS);
    int within = keys.choice(path + "Group", keys.text(path + "Group", "cell"), GROUPS);
    return new Workload(
        Workload.ReadConsistency.values()[need],
        new Span((long) bound),
        Workload.Idempotency.values()[repeat],
        Workload.DeduplicationScope.values()[within],
        repeat == 1 ? span(path + "Window") : Span.NONE,
        span(path + "Slo"),
        span(path + "HardLimit"),
        keys.number(path + "Worth", 0, MANY),
        keys.number(path + "LateWorth", 0, 1, 0));
  }

  private Span span(String path) {
    return new Span((long) keys.number(path, 0, LONGEST));
  }

  private Span span(String path, double otherwise) {
    return new Span((long) keys.number(path, 0, LONGEST, otherwise));
  }

  /** The decisions for these values, once somebody carries them out. */
  public Function<DecisionSink, LoadBalancer> balance(long seed, Moment now) {
    return balance(seed, now, holds());
  }

  public Function<DecisionSink, LoadBalancer> balance(long seed, Moment now, HoldBudget holds) {
    return outbound -> new LoadBalancer(outbound, new SplittableRandom(seed), agreed(), holds, now);
  }

  /** The same for decisions that are under way. */
  public Consumer<LoadBalancer> agreement(Moment now) {
    return balance -> balance.agree(now, agreed());
  }

  /** All that is agreed, as one value. */
  public Settings agreed() {
    return new Settings(standing, workloads, replication, drains, warmUp, allowance, connections);
  }

  public LoadReportFormat gauges(long origin) {
    return new LoadReportFormat(keys.list("Reporting.Fields"), origin);
  }

  /**
   * Where the simulator's clock has its zero of positions; sockets count from the Unix epoch
   * instead.
   */
  public long origin() {
    return origin;
  }

  public List<String> workloadNames() {
    return workloadNames;
  }

  public List<String> zones() {
    return keys.list("Zones");
  }

  public Span connectTimeout() {
    return connectTimeout;
  }

  public Span idleClose() {
    return connections.idleClose();
  }

  public Span longestTimeout() {
    Span longest = Span.NONE;
    for (Workload workload : workloads) {
      longest = longest.longer(workload.timeout());
    }
    return longest;
  }

  /**
   * How much one router may hold where its operator says nothing: the other half is for what needs
   * no primary.
   */
  public HoldBudget holds() {
    return new HoldBudget(Math.max(1, mostOpen / 2), MOST_HELD_BYTES);
  }

  public int mostOpen() {
    return mostOpen;
  }
}
