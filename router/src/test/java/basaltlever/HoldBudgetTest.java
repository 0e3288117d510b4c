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
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Tests the hold budget: how much is held, which statements are rejected when it is full, and the
 * order of release.
 */
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
            bytes),
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
        "expected an empty queue");
  }

  @Example
  void floodOfOneGroupDoesNotRejectStatementsOfAnother() {
    HoldBudget budget = new HoldBudget(100, 1 << 20);
    HoldQueue first = budget.createQueue(WORKLOADS.length);
    HoldQueue flooded = budget.createQueue(WORKLOADS.length);
    for (int i = 0; i < 30; i++) {
      first.add(statement(i, WRITE, 0, 100));
      check(
          budget.nextToReject(first, WRITE) == null,
          "expected no rejection within the share of the group");
    }
    for (int i = 100; i < 5_000; i++) {
      Statement next = statement(i, i % 3 == 0 ? WRITE : FRESH, 0, 100);
      flooded.add(next);
      for (Statement rejected = budget.nextToReject(flooded, next.workloadIndex());
          rejected != null;
          rejected = budget.nextToReject(flooded, next.workloadIndex())) {
        check(
            flooded.size() > 50 || flooded.size(FRESH) > 37 || flooded.size(WRITE) > 37,
            "expected rejections only beyond the share of the group or workload");
        flooded.remove(rejected);
      }
    }
    check(
        first.size() == 30 && flooded.size() == 50,
        first.size()
            + " held of the first group (expected 30), and of the second (expected 50) "
            + flooded.size());
    check(
        flooded.last().workloadIndex() == FRESH && flooded.size(WRITE) == 37,
        "expected the least important statements to be rejected, writes held: "
            + flooded.size(WRITE));
  }

  /** Compares the queues with plain lists that are searched in full. */
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
          // A statement that was sent and missed is held again, ahead of later ones of its session.
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
        check(
            expectedHeld.get(rejectedGroup).remove(rejected),
            "expected only held statements to be rejected");
      }
      check(budget.heldStatements() <= limit, "expected no more held statements than the limit");
      for (int g = 0; g < 3; g++) {
        HoldQueue queue = queues.get(g);
        check(
            queue.size() == expectedHeld.get(g).size()
                && queue.textBytes()
                    == expectedHeld.get(g).stream()
                        .mapToLong(statement -> statement.textBytes())
                        .sum(),
            "expected size and text bytes to match the list");
        Map<Long, Integer> latestIdBySession = new HashMap<>();
        List<Statement> released = new ArrayList<>();
        double lastPriority = Double.MAX_VALUE;
        for (Statement next = queue.first(); next != null; next = queue.first()) {
          check(
              next.holdPriority() <= lastPriority
                  && next.holdPriority() <= next.workload().priorityWeight() + 9,
              "expected release by descending priority");
          lastPriority = next.holdPriority();
          check(
              next.session() == 0 || latestIdBySession.getOrDefault(next.session(), -1) < next.id(),
              "expected the statements of a session in order");
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
   * Tests the budget through the load balancer: a statement beyond it is rejected immediately with
   * a retry-after, and the others are served in order.
   */
  @Example
  void leastImportantStatementBeyondBudgetIsRejectedWithRetryAfter() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().listEndpoints(3);
    harness.holdBudget.setLimits(8, 1 << 20);
    List<Integer> reads = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      reads.add(harness.receiveStatement(FRESH, 0, Moment.LONG_AGO, 1_000));
    }
    check(
        harness.rejectedStatements.equals(reads.subList(3, 4)),
        "expected a workload to be limited to three quarters of its group's share: "
            + harness.rejectedStatements);
    int write = harness.receiveStatement(WRITE, 0, Moment.LONG_AGO, 1_000);
    int another = harness.receiveStatement(WRITE, 0, Moment.LONG_AGO, 1_000);
    check(
        harness.rejectedStatements.equals(List.of(reads.get(3), reads.get(2))),
        "expected the latest read to be rejected: " + harness.rejectedStatements);
    check(
        harness.lastRetryAfter.equals(ms(200)),
        "expected the interval of the polls for the primary: " + harness.lastRetryAfter);
    harness.completePoll(0, Role.PRIMARY, harness.now);
    check(
        harness.attempts.stream()
            .map(LoadBalancerHarness.SentAttempt::statement)
            .toList()
            .equals(List.of(write, another, reads.get(0), reads.get(1))),
        "expected the most important statements first");
  }
}
