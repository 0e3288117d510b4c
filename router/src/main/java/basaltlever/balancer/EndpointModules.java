package basaltlever.balancer;

import basaltlever.hold.HoldBudget;

/** Creates and connects the modules that manage endpoints. */
final class EndpointModules {
  final DecisionContext context;
  final ServiceTimes serviceTimes;
  final GroupSubsets subsets;
  final EndpointTable table;
  final SlowStart slowStart;
  final PollScheduler polls;
  final GroupPolling groupPolling;
  final EvaluationQueue evaluations;
  final PrimaryTracker primaries;
  final ConnectionUse connections;
  final EndpointHealth health;
  final ReplicaFreshness freshness;
  final PollResults pollResults;

  EndpointModules(DecisionContext context, HoldBudget holdBudget) {
    this.context = context;
    serviceTimes = new ServiceTimes(context.settings().workloads());
    subsets = new GroupSubsets(context);
    table = new EndpointTable(context, holdBudget);
    slowStart = new SlowStart(context, serviceTimes, subsets, table);
    polls = new PollScheduler(context, subsets);
    groupPolling = new GroupPolling(context, table, subsets, polls);
    evaluations = new EvaluationQueue();
    primaries = new PrimaryTracker(context, table, subsets, slowStart, polls, evaluations);
    connections = new ConnectionUse(context, serviceTimes);
    health = new EndpointHealth(context, serviceTimes, slowStart, polls, primaries, connections);
    freshness = new ReplicaFreshness(context);
    pollResults = new PollResults(context, polls, health, freshness, primaries);
  }
}
