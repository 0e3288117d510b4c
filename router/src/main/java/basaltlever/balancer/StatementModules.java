package basaltlever.balancer;

import basaltlever.hold.HoldBudget;

/** Creates and connects the modules that decide on statements. */
final class StatementModules {
  final StatementDispatcher dispatcher;
  final OpenStatements openStatements;
  final StatementCompletion completion;
  final AttemptResults attemptResults;

  StatementModules(EndpointModules endpoints, HoldBudget holdBudget) {
    DecisionContext context = endpoints.context;
    AttemptPolicy attempts =
        new AttemptPolicy(context, endpoints.serviceTimes, endpoints.health, endpoints.freshness);
    WaitEstimator waits = new WaitEstimator(endpoints);
    AdmissionControl admission =
        new AdmissionControl(context, endpoints.serviceTimes, attempts, waits);
    EndpointUsability usability = new EndpointUsability(context, endpoints.slowStart);
    PrimarySelector primarySelector =
        new PrimarySelector(context, usability, endpoints.health, endpoints.polls);
    LongReadPlacement longReads =
        new LongReadPlacement(
            context, endpoints.serviceTimes, endpoints.subsets, usability, endpoints.health);
    completion = new StatementCompletion(context, waits);
    dispatcher =
        new StatementDispatcher(
            holdBudget,
            endpoints.primaries,
            new EndpointSelector(
                primarySelector,
                new ReplicaSelector(endpoints, usability, longReads, primarySelector)),
            admission,
            new AttemptLauncher(context, attempts, endpoints.connections, endpoints.slowStart),
            completion,
            waits);
    openStatements =
        new OpenStatements(
            context,
            endpoints.health,
            endpoints.evaluations,
            admission,
            attempts,
            completion,
            dispatcher);
    attemptResults = new AttemptResults(endpoints);
  }
}
