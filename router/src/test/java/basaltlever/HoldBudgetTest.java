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
    HoldQueue quiet = budget.createQueue(WORKLOADS.length);
    HoldQueue flood = budget.createQueue(WORKLOADS.length);
    for (int i = 0; i < 30; i++) {
      quiet.add(statement(i, WRITE, 0, 100));
      check(budget.nextToReject(quiet, WRITE) == null, "room");
    }
    for (int i = 100; i < 5_000; i++) {
      Statement next = statement(i, i % 3 == 0 ? WRITE : FRESH, 0, 100);
      flood.add(next);
      for (Statement over = budget.nextToReject(flood, next.workloadIndex());
          over != null;
          over = budget.nextToReject(flood, next.workloadIndex())) {
        check(
            flood.size() > 50 || flood.size(FRESH) > 37 || flood.size(WRITE) > 37,
            "only what is beyond");
        flood.remove(over);
      }
    }
    check(quiet.size() == 30 && flood.size() == 50, quiet.size() + " and " + flood.size());
    check(
        flood.last().workloadIndex() == FRESH && flood.size(WRITE) == 37,
        "the least important went: " + flood.size(WRITE));
  }

  /** Against a plain list, gone through each time. */
  @Property(tries = 150, seed = "31", shrinking = ShrinkingMode.OFF)
  void limitsAndReleaseOrderMatchListModel(@ForAll long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    HoldBudget budget = new HoldBudget(chance.nextInt(2, 40), chance.nextInt(1_000, 20_000));
    int most = 40;
    List<HoldQueue> groups =
        List.of(
            budget.createQueue(WORKLOADS.length),
            budget.createQueue(WORKLOADS.length),
            budget.createQueue(WORKLOADS.length));
    List<List<Statement>> plain = List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
    for (int id = 0; id < 400; id++) {
      int group = chance.nextInt(3);
      HoldQueue holdQueue = groups.get(group);
      if (chance.nextInt(3) == 0 && !holdQueue.isEmpty()) {
        Statement gone =
            chance.nextBoolean()
                ? holdQueue.first()
                : plain.get(group).get(chance.nextInt(plain.get(group).size()));
        holdQueue.remove(gone);
        plain.get(group).remove(gone);
        if (chance.nextBoolean()) {
          // Sent, missed, and back: before those of its session that came after it.
          holdQueue.add(gone);
          plain.get(group).add(gone);
        }
      } else {
        Statement next =
            statement(id, 3 + chance.nextInt(3), chance.nextInt(4), chance.nextInt(3_000));
        holdQueue.add(next);
        plain.get(group).add(next);
      }
      for (Statement over = budget.nextToReject(holdQueue, WRITE);
          over != null;
          over = budget.nextToReject(holdQueue, WRITE)) {
        int in =
            groups.get(0).last() == over || plain.get(0).contains(over)
                ? 0
                : plain.get(1).contains(over) ? 1 : 2;
        groups.get(in).remove(over);
        check(plain.get(in).remove(over), "it was held");
      }
      check(budget.heldStatements() <= most, "too many");
      for (int g = 0; g < 3; g++) {
        HoldQueue own = groups.get(g);
        check(
            own.size() == plain.get(g).size()
                && own.textBytes() == plain.get(g).stream().mapToLong(one -> one.textBytes()).sum(),
            "counted wrongly");
        Map<Long, Integer> latest = new HashMap<>();
        List<Statement> out = new ArrayList<>();
        double rank = Double.MAX_VALUE;
        for (Statement next = own.first(); next != null; next = own.first()) {
          check(
              next.holdPriority() <= rank
                  && next.holdPriority() <= next.workload().priorityWeight() + 9,
              "by rank");
          rank = next.holdPriority();
          check(
              next.session() == 0 || latest.getOrDefault(next.session(), -1) < next.id(),
              "a session's order is broken");
          latest.put(next.session(), next.id());
          out.add(next);
          own.remove(next);
        }
        out.sort((a, b) -> Integer.compare(a.id(), b.id()));
        out.forEach(own::add);
      }
    }
  }

  /**
   * Through the decisions: what goes is rejected at once, told when to come back, and the rest is
   * served in order.
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
        "a workload has three quarters of its group's: " + harness.rejectedStatements);
    int write = harness.receiveStatement(WRITE, 0, Moment.LONG_AGO, 1_000);
    int another = harness.receiveStatement(WRITE, 0, Moment.LONG_AGO, 1_000);
    check(
        harness.rejectedStatements.equals(List.of(reads.get(3), reads.get(2))),
        "the latest read: " + harness.rejectedStatements);
    check(!harness.lastRetryAfter.isShorterThan(ms(700)), "told when to come back");
    harness.completePoll(0, Role.PRIMARY, harness.now);
    check(
        harness.sentAttempts.stream()
            .map(LoadBalancerHarness.SentAttempt::statement)
            .toList()
            .equals(List.of(write, another, reads.get(0), reads.get(1))),
        "the most important first");
  }
}
