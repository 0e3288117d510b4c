package basaltlever.endpoints;

import basaltlever.model.Endpoint;
import basaltlever.model.ReplicaGroup;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Tracks the groups whose endpoints are polled regularly: all groups of a short endpoint list, and
 * those with the most traffic of this router if the list is long. Endpoints of other groups are
 * polled only when a statement needs it, so that the number of polls depends on traffic and not on
 * the length of the list.
 */
public final class PolledGroups {
  /** Maximum number of endpoints in service that are polled regularly. */
  public static final int MAX_POLLED_ENDPOINTS = 96;

  /**
   * Number of endpoints polled once after the start if the list is too long to poll all regularly.
   */
  public static final int MAX_INITIAL_POLLS = 16;

  /**
   * A group replaces another only if it has this many times its traffic; otherwise two groups with
   * similar traffic would alternate.
   */
  private static final double MIN_TRAFFIC_RATIO = 1.5;

  private final List<ReplicaGroup> polled = new ArrayList<>();
  private int endpointCount;

  /** Returns how many endpoints of the group count towards the limit. */
  private static int countedEndpoints(ReplicaGroup group) {
    int inService = 0;
    for (int i = 0; i < group.endpoints().size() && inService < ReplicaSubset.MIN_SIZE; i++) {
      Endpoint endpoint = group.endpoints().get(i);
      inService += endpoint.isInService() ? 1 : 0;
    }
    return inService;
  }

  /** Admits all groups if the limit allows it; otherwise changes nothing and returns false. */
  public boolean admitAll(Collection<ReplicaGroup> groups) {
    int additional = 0;
    for (ReplicaGroup group : groups) {
      additional += group.isPolledRegularly() ? 0 : countedEndpoints(group);
      if (endpointCount + additional > MAX_POLLED_ENDPOINTS) {
        return false;
      }
    }
    for (ReplicaGroup group : groups) {
      if (!group.isPolledRegularly()) {
        add(group);
      }
    }
    return true;
  }

  /**
   * Admits a group that now has traffic, in place of one with much less if necessary. Returns the
   * group that was replaced; empty if the limit allows both, or if the group was not admitted.
   */
  public List<ReplicaGroup> admitByTraffic(
      ReplicaGroup group, ToDoubleFunction<ReplicaGroup> rate) {
    if (endpointCount + countedEndpoints(group) <= MAX_POLLED_ENDPOINTS) {
      add(group);
      return List.of();
    }
    ReplicaGroup leastUsed =
        Collections.min(
            polled, (a, b) -> Double.compare(rate.applyAsDouble(a), rate.applyAsDouble(b)));
    if (rate.applyAsDouble(group) <= MIN_TRAFFIC_RATIO * rate.applyAsDouble(leastUsed)
        || endpointCount - countedEndpoints(leastUsed) + countedEndpoints(group)
            > MAX_POLLED_ENDPOINTS) {
      return List.of();
    }
    remove(leastUsed);
    add(group);
    return List.of(leastUsed);
  }

  /**
   * Recounts after endpoints were added or removed, and removes and returns the groups that are
   * empty or exceed the limit.
   */
  public List<ReplicaGroup> recount() {
    List<ReplicaGroup> removed = new ArrayList<>();
    List<ReplicaGroup> former = List.copyOf(polled);
    polled.clear();
    endpointCount = 0;
    for (ReplicaGroup group : former) {
      boolean retained =
          !group.endpoints().isEmpty()
              && endpointCount + countedEndpoints(group) <= MAX_POLLED_ENDPOINTS;
      group.setPolledRegularly(false);
      if (retained) {
        add(group);
      } else {
        removed.add(group);
      }
    }
    return removed;
  }

  private void add(ReplicaGroup group) {
    group.setPolledRegularly(true);
    polled.add(group);
    endpointCount += countedEndpoints(group);
  }

  private void remove(ReplicaGroup group) {
    group.setPolledRegularly(false);
    polled.remove(group);
    endpointCount -= countedEndpoints(group);
  }

  /** The number of groups polled regularly. */
  public int groupCount() {
    return polled.size();
  }

  /** The number of endpoints of those groups that count towards the limit. */
  public int endpointCount() {
    return endpointCount;
  }
}
