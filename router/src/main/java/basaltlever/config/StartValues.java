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
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * The settings of a router, read from a start file or from lines of path=value. Only this class
 * maps the names of keys to the terms of the code. Spans are given in microseconds.
 */
public final class StartValues {
  private static final double MAX_SPAN_MICROS = 86_400e6;
  private static final double MAX_COUNT = 1e6;
  private static final double MAX_ORIGIN = 1e18;
  private static final int MAX_ATTEMPTS = 255;
  private static final double MAX_OPEN_STATEMENTS = 1e9;

  /** A quarter of the direct memory of a router, and half of the limit for statements' texts. */
  private static final long DEFAULT_HELD_BYTES = 8 << 20;

  private static final double DEFAULT_LIST_POLL_MICROS = 10e6;
  private static final double DEFAULT_CONNECT_TIMEOUT_MICROS = 1e6;

  private static final List<String> POSITION_CHECKS = List.of("none", "refuse", "wait");
  private static final List<String> SESSION_MARKS = List.of("carried", "remembered");
  private static final List<String> DISCOVERY_MODES = List.of("pushed", "on_request");

  /** The names in the order of {@link Workload.ReadConsistency}. */
  private static final List<String> READ_CONSISTENCIES =
      List.of("write", "fresh", "session", "bounded", "any");

  /** The names in the order of {@link Workload.Idempotency}. */
  private static final List<String> IDEMPOTENCIES =
      List.of("idempotent", "deduplicated", "at_most_once");

  /** The names in the order of {@link Workload.DeduplicationScope}. */
  private static final List<String> DEDUPLICATION_SCOPES = List.of("all", "zone", "cell");

  private final SettingsReader keys;
  private final RouterIdentity identity;
  private final Workload[] workloads;
  private final Replication replication;
  private final DrainPolicy drainPolicy;
  private final SlowStartPolicy slowStart;
  private final AttemptLimits attemptLimits;
  private final PoolSettings pool;
  private final long origin;
  private final List<String> workloadNames = new ArrayList<>();
  private final int maxOpenStatements;

  /**
   * Reads all values. Faults are reported in the order of reading.
   *
   * @param onSockets whether the router serves sockets: then it always requests the endpoint list
   *     itself, even if the settings say that the simulator pushes it
   */
  StartValues(SettingsReader keys, boolean onSockets) {
    this.keys = keys;
    identity = identity();
    replication = replication();
    drainPolicy = drainPolicy(onSockets);
    slowStart = slowStart();
    attemptLimits = attemptLimits();
    origin = (long) keys.number("FamilyInfo.OriginTime", 0, MAX_ORIGIN, 0);
    pool = poolSettings();
    maxOpenStatements =
        (int) keys.number("Bounds.MaxOpen", 1, MAX_OPEN_STATEMENTS, MAX_OPEN_STATEMENTS);
    workloads = workloads(onSockets);
  }

  /** Reads values from lines of path=value. */
  public static StartValues ofLines(String text) throws InvalidSettingsException {
    List<String> faults = new ArrayList<>();
    StartValues values = new StartValues(SettingsReader.ofLines(text, faults), false);
    if (!faults.isEmpty()) {
      throw new InvalidSettingsException(faults);
    }
    return values;
  }

  private RouterIdentity identity() {
    return new RouterIdentity(
        (int) keys.number("Balancers", 1, MAX_COUNT),
        (int) keys.number("Me", 0, MAX_COUNT, 0),
        (int) keys.number("Zone", 0, MAX_COUNT));
  }

  private Replication replication() {
    boolean serversCheck = choice("FamilyInfo.Checks", POSITION_CHECKS) > 0;
    boolean clientsCarryMarks = choice("FamilyInfo.SessionMarks", SESSION_MARKS) == 0;
    return new Replication(serversCheck, keys.flag("FamilyInfo.ProgressTold"), clientsCarryMarks);
  }

  private DrainPolicy drainPolicy(boolean onSockets) {
    boolean listOnRequest = choice("Discovery", DISCOVERY_MODES) == 1;
    return new DrainPolicy(
        listOnRequest || onSockets,
        listOnRequest ? span("Rules.MustAskIn") : span("Rules.MustAskIn", DEFAULT_LIST_POLL_MICROS),
        !keys.flag("Rules.RemovalNotBinding"));
  }

  private SlowStartPolicy slowStart() {
    return new SlowStartPolicy(
        keys.number("Rules.ColdFrom", 0, 1),
        span("Rules.Cold"),
        keys.number("Rules.FallMultiple", 0, MAX_COUNT),
        span("Rules.Fall"));
  }

  private AttemptLimits attemptLimits() {
    return new AttemptLimits(
        (int) keys.number("Bounds.MaxAttempts", 1, MAX_ATTEMPTS),
        keys.flag("Bounds.MayDuplicate"),
        keys.flag("Bounds.Cancel"),
        keys.flag("Bounds.MayProbe"),
        keys.flag("Bounds.RetryAfter") ? span("Bounds.MaxRetryAfter") : Span.NONE,
        span("Rules.AnswerSlack"));
  }

  private PoolSettings poolSettings() {
    // A statement that was routed before a drain was announced may be written up to this much
    // later.
    Span drainGrace = span("Rules.DrainGrace", MAX_SPAN_MICROS);
    return new PoolSettings(
        (int) keys.number("Bounds.StreamsPerConn", 1, MAX_COUNT, 1),
        span("Bounds.IdleClose", 0),
        span("Bounds.ConnectTimeout", DEFAULT_CONNECT_TIMEOUT_MICROS).shorter(drainGrace));
  }

  private Workload[] workloads(boolean uniqueNames) {
    Workload[] all = new Workload[(int) keys.number("Classes.count", 1, WorkloadSlots.MAX_SLOTS)];
    List<String> consistencies = keys.list("FamilyInfo.ClassRead");
    List<String> bounds = keys.list("FamilyInfo.LagAllowed");
    for (int i = 0; i < all.length; i++) {
      all[i] = workload(i, consistencies, bounds);
      if (uniqueNames && workloadNames.indexOf(workloadNames.get(i)) < i) {
        keys.fault(
            "Classes." + i + ".Name is " + workloadNames.get(i) + ", as that of another workload");
      }
    }
    return all;
  }

  private Workload workload(int number, List<String> consistencies, List<String> bounds) {
    String path = "Classes." + number + ".";
    workloadNames.add(keys.text(path + "Name", ""));
    Workload.ReadConsistency consistency = consistency(number, consistencies);
    Span stalenessBound =
        consistency == Workload.ReadConsistency.BOUNDED
            ? stalenessBound(number, bounds)
            : Span.NONE;
    Workload.Idempotency idempotency =
        Workload.Idempotency.values()[choice(path + "Repeat", IDEMPOTENCIES)];
    int scope =
        keys.choice(path + "Group", keys.text(path + "Group", "cell"), DEDUPLICATION_SCOPES);
    boolean deduplicated = idempotency == Workload.Idempotency.DEDUPLICATED;
    return new Workload(
        consistency,
        stalenessBound,
        idempotency,
        Workload.DeduplicationScope.values()[scope],
        deduplicated ? span(path + "Window") : Span.NONE,
        span(path + "Slo"),
        span(path + "HardLimit"),
        keys.number(path + "Worth", 0, MAX_COUNT),
        keys.number(path + "LateWorth", 0, 1, 0),
        true);
  }

  private Workload.ReadConsistency consistency(int number, List<String> consistencies) {
    String key = "FamilyInfo.ClassRead";
    if (number >= consistencies.size()) {
      keys.fault(key + " does not name class " + number);
      return Workload.ReadConsistency.WRITE;
    }
    int place = keys.choice(key, consistencies.get(number), READ_CONSISTENCIES);
    return Workload.ReadConsistency.values()[place];
  }

  private Span stalenessBound(int number, List<String> bounds) {
    String key = "FamilyInfo.LagAllowed";
    if (number >= bounds.size()) {
      keys.fault(key + " gives no bound for class " + number);
      return Span.NONE;
    }
    return new Span((long) keys.parseNumber(key, bounds.get(number), 0, MAX_SPAN_MICROS));
  }

  /** Returns the index of the value among the options. */
  private int choice(String path, List<String> options) {
    return keys.choice(path, keys.text(path), options);
  }

  private Span span(String path) {
    return new Span((long) keys.number(path, 0, MAX_SPAN_MICROS));
  }

  private Span span(String path, double defaultMicros) {
    return new Span((long) keys.number(path, 0, MAX_SPAN_MICROS, defaultMicros));
  }

  /** Returns a function that creates the load balancer, given the sink of its decisions. */
  public Function<DecisionSink, LoadBalancer> loadBalancerFactory(long seed, Moment now) {
    return loadBalancerFactory(seed, now, defaultHoldBudget());
  }

  /** Returns the same with another budget of held statements. */
  public Function<DecisionSink, LoadBalancer> loadBalancerFactory(
      long seed, Moment now, HoldBudget holds) {
    return sink -> new LoadBalancer(sink, new SplittableRandom(seed), settings(), holds, now);
  }

  /** Returns an action that applies these values to a running load balancer. */
  public Consumer<LoadBalancer> settingsUpdate(Moment now) {
    return balancer -> balancer.applySettings(now, settings());
  }

  /** Returns all settings as one value. */
  public Settings settings() {
    return new Settings(
        identity, workloads, replication, drainPolicy, slowStart, attemptLimits, pool);
  }

  /** Returns the names of all settings keys that were read so far, present or not. */
  public Set<String> readKeys() {
    return keys.readKeys();
  }

  /** Returns the format in which endpoints report their load. */
  public LoadReportFormat loadReportFormat(long origin) {
    return new LoadReportFormat(keys.list("Reporting.Fields"), origin);
  }

  /**
   * Returns the zero of replication positions on the simulator's clock; sockets use the Unix epoch.
   */
  public long origin() {
    return origin;
  }

  /** Returns the names of the workloads, in order. */
  public List<String> workloadNames() {
    return workloadNames;
  }

  /** Returns the names of the zones, in order. */
  public List<String> zones() {
    return keys.list("Zones");
  }

  /** Returns the longest timeout of all workloads. */
  public Span longestTimeout() {
    Span longest = Span.NONE;
    for (Workload workload : workloads) {
      longest = longest.longer(workload.timeout());
    }
    return longest;
  }

  /**
   * Returns the limits for held statements if the operator's file states none: half of the open
   * statements, as the other half is for statements that need no primary.
   */
  public HoldBudget defaultHoldBudget() {
    return new HoldBudget(Math.max(1, maxOpenStatements / 2), DEFAULT_HELD_BYTES);
  }

  /** Returns the maximum number of open statements. */
  public int maxOpenStatements() {
    return maxOpenStatements;
  }
}
