package basaltlever;

import static basaltlever.LoadBalancerHarness.FRESH;
import static basaltlever.LoadBalancerHarness.WRITE;
import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoadBalancerHarness.ms;

import basaltlever.gateway.Role;
import basaltlever.gateway.Workload;
import basaltlever.hold.HoldBudget;
import basaltlever.model.HoldQueue;
import basaltlever.model.Statement;
import basaltlever.model.StatementArrival;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** How much is held, who goes where there is no room, and in which order the rest is released. */
class HoldBudgetTest {
  private static final Workload[] WORKLOADS = LoadBalancerHarness.withDefaults().workloads;

  private static Statement statement(int id, int workload, long session, int bytes) {
    return new Statement(
        id,
        new StatementArrival(
            workload,
            WORKLOADS[workload],
            session,
            new Moment(1_000L * id),
            Moment.NEVER,
            Moment.LONG_AGO,
            bytes,
            Span.NONE),
        null,
        4,
        0);
  }

  @Example
  void releaseOrderFollowsPriorityAndSessionOrder() {
    HoldQueue holdQueue = new HoldBudget(100, 1 << 20).createQueue(WORKLOADS.length);
    holdQueue.add(statement(1, FRESH, 5, 10));
    holdQueue.add(statement(2, WRITE, 5, 10));
    holdQueue.add(statement(3, WRITE, 6, 10));
    holdQueue.add(statement(4, FRESH, 0, 10));
    List<Integer> order = new ArrayList<>();
    for (Statement next = holdQueue.first(); next != null; next = holdQueue.first()) {
      order.add(next.id());
      holdQueue.remove(next);
    }
    check(order.equals(List.of(3, 1, 2, 4)), "" + order);
    check(
        holdQueue.isEmpty() && holdQueue.textBytes() == 0 && holdQueue.size(WRITE) == 0,
        "nothing is left behind");
  }

  @Example
  void floodOfOneGroupDoesNotRejectStatementsOfAnother() {
    HoldBudget budget = new HoldBudget(100, 1 << 20);
    HoldQueue first = budget.createQueue(WORKLOADS.length);
    HoldQueue flooded = budget.createQueue(WORKLOADS.length);
    for (int i = 0; i < 30; i++) {
      first.add(statement(i, WRITE, 0, 100));
      check(budget.nextToReject(first, WRITE) == null, "room");
    }
    for (int i = 100; i < 5_000; i++) {
      Statement next = statement(i, i % 3 == 0 ? WRITE : FRESH, 0, 100);
      flooded.add(next);
      for (Statement rejected = budget.nextToReject(flooded, next.workloadIndex());
          rejected != null;
          rejected = budget.nextToReject(flooded, next.workloadIndex())) {
        check(
            flooded.size() > 50 || flooded.size(FRESH) > 37 || flooded.size(WRITE) > 37,
            "only what is beyond");
        flooded.remove(rejected);
      }
    }
    check(first.size() == 30 && flooded.size() == 50, first.size() + " and " + flooded.size());
    check(
        flooded.last().workloadIndex() == FRESH && flooded.size(WRITE) == 37,
        "the least important went: " + flooded.size(WRITE));
  }

  /** Against a plain list, gone through each time. */
  @Property(tries = 150, seed = "31", shrinking = ShrinkingMode.OFF)
  void limitsAndReleaseOrderMatchListModel(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    HoldBudget budget = new HoldBudget(random.nextInt(2, 40), random.nextInt(1_000, 20_000));
    int limit = 40;
    List<HoldQueue> queues =
        List.of(
            budget.createQueue(WORKLOADS.length),
            budget.createQueue(WORKLOADS.length),
            budget.createQueue(WORKLOADS.length));
    List<List<Statement>> expectedHeld =
        List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
    for (int id = 0; id < 400; id++) {
      int group = random.nextInt(3);
      HoldQueue holdQueue = queues.get(group);
      if (random.nextInt(3) == 0 && !holdQueue.isEmpty()) {
        Statement removed =
            random.nextBoolean()
                ? holdQueue.first()
                : expectedHeld.get(group).get(random.nextInt(expectedHeld.get(group).size()));
        holdQueue.remove(removed);
        expectedHeld.get(group).remove(removed);
        if (random.nextBoolean()) {
          // Sent, missed, and back: before those of its session that came after it.
          holdQueue.add(removed);
          expectedHeld.get(group).add(removed);
        }
      } else {
        Statement next =
            statement(id, 3 + random.nextInt(3), random.nextInt(4), random.nextInt(3_000));
        holdQueue.add(next);
        expectedHeld.get(group).add(next);
      }
      for (Statement rejected = budget.nextToReject(holdQueue, WRITE);
          rejected != null;
          rejected = budget.nextToReject(holdQueue, WRITE)) {
        int rejectedGroup =
            queues.get(0).last() == rejected || expectedHeld.get(0).contains(rejected)
                ? 0
                : expectedHeld.get(1).contains(rejected) ? 1 : 2;
        queues.get(rejectedGroup).remove(rejected);
        check(expectedHeld.get(rejectedGroup).remove(rejected), "it was held");
      }
      check(budget.heldStatements() <= limit, "too many");
      for (int g = 0; g < 3; g++) {
        HoldQueue queue = queues.get(g);
        check(
            queue.size() == expectedHeld.get(g).size()
                && queue.textBytes()
                    == expectedHeld.get(g).stream()
                        .mapToLong(statement -> statement.textBytes())
                        .sum(),
            "counted wrongly");
        Map<Long, Integer> latestIdBySession = new HashMap<>();
        List<Statement> released = new ArrayList<>();
        double lastPriority = Double.MAX_VALUE;
        for (Statement next = queue.first(); next != null; next = queue.first()) {
          check(
              next.holdPriority() <= lastPriority
                  && next.holdPriority() <= next.workload().priorityWeight() + 9,
              "by rank");
          lastPriority = next.holdPriority();
          check(
              next.session() == 0 || latestIdBySession.getOrDefault(next.session(), -1) < next.id(),
              "a session's order is broken");
          latestIdBySession.put(next.session(), next.id());
          released.add(next);
          queue.remove(next);
        }
        released.sort((a, b) -> Integer.compare(a.id(), b.id()));
        released.forEach(queue::add);
      }
    }
  }

  /**
   * Through the decisions: what goes is rejected at once, told when to come back, and the rest is
   * served in order.
   */
  @Example
  void leastImportantStatementBeyondBudgetIsRejectedWithRetryAfter() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().listEndpoints(3);
    world.holdBudget.setLimits(8, 1 << 20);
    List<Integer> reads = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      reads.add(world.receiveStatement(FRESH, 0, Moment.LONG_AGO, 1_000));
    }
    check(
        world.rejectedStatements.equals(reads.subList(3, 4)),
        "a workload has three quarters of its group's: " + world.rejectedStatements);
    int write = world.receiveStatement(WRITE, 0, Moment.LONG_AGO, 1_000);
    int another = world.receiveStatement(WRITE, 0, Moment.LONG_AGO, 1_000);
    check(
        world.rejectedStatements.equals(List.of(reads.get(3), reads.get(2))),
        "the latest read: " + world.rejectedStatements);
    check(!world.lastRetryAfter.isShorterThan(ms(700)), "told when to come back");
    world.completePoll(0, Role.PRIMARY, world.now);
    check(
        world.attempts.stream()
            .map(LoadBalancerHarness.SentAttempt::statement)
            .toList()
            .equals(List.of(write, another, reads.get(0), reads.get(1))),
        "the most important first");
  }
}
