package basaltlever.lab.virtual;

import basaltlever.config.InvalidSettingsException;
import basaltlever.config.StartFile;
import basaltlever.gateway.Settings;
import basaltlever.gateway.Workload.ReadConsistency;
import basaltlever.lab.scenario.Scenario;
import basaltlever.lab.world.SimulatedCluster;
import basaltlever.lab.world.Workload;
import basaltlever.settings.StricterSettings;
import basaltlever.time.Span;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Proposes versions that change what reads require, prepares them at all routers, and brings each
 * into force or withdraws it, as a fleet's leader does. Routers hear of each step at different
 * times; some have lost their lease meanwhile, and at times all have, as the leader is lost.
 */
final class VersionRollout {
  private static final int[] BOUNDS_MILLIS = {60, 150, 400};

  /** The time within which routers hear of a step, shorter than any preparation. */
  private static final int MAX_HEARING_MILLIS = 120;

  private static final int MIN_PREPARATION_MILLIS = 150;
  private static final int MAX_PREPARATION_MILLIS = 900;

  /** The next version follows at once after one of this many. */
  private static final int VERSIONS_PER_IMMEDIATE_SUCCESSOR = 3;

  private static final int VERSIONS_PER_LOST_LEADER = 4;
  private static final int ROUTERS_PER_LOST_LEASE = 5;

  private final Scenario scenario;
  private final SimulatedCluster cluster;
  private final List<VirtualRouter> routers;
  private final Bug bug;

  /** Null until the start, so that other scenarios draw what they always drew. */
  private SplittableRandom random;

  private List<Workload> inForce;
  private List<Workload> prepared;
  private int inForceCount;
  private int withdrawnCount;
  private int lostLeaderCount;

  VersionRollout(
      Scenario scenario, SimulatedCluster cluster, List<VirtualRouter> routers, Bug bug) {
    this.scenario = scenario;
    this.cluster = cluster;
    this.routers = routers;
    this.bug = bug;
    inForce = scenario.workloads;
  }

  /** Returns a workload as the version in force defines it. */
  Workload inForce(Workload workload) {
    Workload current = inForce.get(workload.index());
    return workload.withFreshness(current.consistency(), current.stalenessBound());
  }

  void start() {
    random = cluster.random.split();
    cluster.scheduler().runAfter(scenario.span("version_ms"), this::propose);
  }

  private void propose() {
    prepared = scenario.workloads.stream().map(this::drawRequirement).toList();
    cluster.checker.readPlacement().setVersionPrepared(true);
    tellRouters();
    cluster
        .scheduler()
        .runAfter(
            millis(MIN_PREPARATION_MILLIS, MAX_PREPARATION_MILLIS),
            random.nextInt(VERSIONS_PER_LOST_LEADER) == 0 ? this::loseLeader : this::end);
  }

  private Workload drawRequirement(Workload workload) {
    List<String> consistencies = scenario.versionConsistencies;
    return workload.isWrite()
        ? workload
        : workload.withFreshness(
            consistencies.get(random.nextInt(consistencies.size())),
            Span.ofMillis(BOUNDS_MILLIS[random.nextInt(BOUNDS_MILLIS.length)]));
  }

  /** The leases of all routers end one by one; a new leader decides on the version. */
  private void loseLeader() {
    lostLeaderCount++;
    for (VirtualRouter router : routers) {
      cluster
          .scheduler()
          .runAfter(
              millis(0, MAX_HEARING_MILLIS),
              () -> router.applyVersions(StricterSettings.strictest(effective())));
    }
    cluster.scheduler().runAfter(millis(MAX_HEARING_MILLIS, MAX_PREPARATION_MILLIS), this::end);
  }

  private void end() {
    if (random.nextBoolean()) {
      inForce = prepared;
      inForceCount++;
    } else {
      withdrawnCount++;
    }
    prepared = null;
    cluster.checker.readPlacement().setVersionPrepared(false);
    tellRouters();
    boolean successorIsDue = random.nextInt(VERSIONS_PER_IMMEDIATE_SUCCESSOR) == 0;
    Span pause = successorIsDue ? Span.NONE : scenario.span("version_ms");
    cluster.scheduler().runAfter(pause, this::propose);
  }

  /** Each router hears of the fleet's state as it is then; one without a lease keeps to all. */
  private void tellRouters() {
    for (VirtualRouter router : routers) {
      boolean hasLease = random.nextInt(ROUTERS_PER_LOST_LEASE) > 0;
      cluster
          .scheduler()
          .runAfter(
              millis(0, MAX_HEARING_MILLIS),
              () ->
                  router.applyVersions(
                      hasLease ? effective() : StricterSettings.strictest(effective())));
    }
  }

  private Settings effective() {
    Settings current = settings(inForce);
    return prepared == null ? current : withBug(StricterSettings.of(current, settings(prepared)));
  }

  private Settings settings(List<Workload> workloads) {
    try {
      return StartFile.parse(
              "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"settings\":"
                  + scenario.routerSettings(workloads)
                  + "}")
          .startValues()
          .settings();
    } catch (InvalidSettingsException fault) {
      throw new IllegalStateException(fault);
    }
  }

  private Settings withBug(Settings combined) {
    if (bug != Bug.PREPARED_DROPS_BOUND && bug != Bug.PREPARED_DROPS_SESSION) {
      return combined;
    }
    ReadConsistency kept =
        bug == Bug.PREPARED_DROPS_BOUND ? ReadConsistency.SESSION : ReadConsistency.BOUNDED;
    basaltlever.gateway.Workload[] workloads = combined.workloads().clone();
    for (int i = 0; i < workloads.length; i++) {
      if (workloads[i].consistency() == ReadConsistency.SESSION_AND_BOUNDED) {
        workloads[i] = workloads[i].withConsistency(kept);
      }
    }
    return combined.withWorkloads(workloads);
  }

  void addTo(Map<String, Object> figures) {
    if (random == null) {
      return;
    }
    figures.put("versions", inForceCount);
    figures.put("withdrawn", withdrawnCount);
    figures.put("leaders_lost", lostLeaderCount);
    cluster.checker.readPlacement().addTo(figures);
  }

  private Span millis(int from, int to) {
    return Span.ofMillis(from + random.nextInt(to - from));
  }
}
