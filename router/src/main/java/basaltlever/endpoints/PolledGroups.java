package basaltlever.endpoints;

import basaltlever.model.Endpoint;
import basaltlever.model.ReplicaGroup;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * The groups whose members are polled regularly: all groups of a short endpoint list, and of a long
 * one those with the most traffic of this router. Members of other groups are polled only when a
 * statement needs it, so that polls follow traffic and not the length of the list.
 */
public final class PolledGroups {
  /** At most so many members in service are polled regularly. */
  public static final int MAX_POLLED_ENDPOINTS = 96;

  /** So many are polled once at the start where the list is too long for regular polls. */
  public static final int MAX_INITIAL_POLLS = 16;

  /**
   * A group replaces another only with this many times its traffic, or two alike would alternate.
   */
  private static final double MIN_TRAFFIC_RATIO = 1.5;

  private final List<ReplicaGroup> polled = new ArrayList<>();
  private int endpointCount;

  /** Members of the group that count against the limit. */
  private static int countedEndpoints(ReplicaGroup group) {
    int inService = 0;
    for (int i = 0; i < group.members().size() && inService < ReplicaSubset.MIN_SIZE; i++) {
      Endpoint endpoint = group.members().get(i);
      inService += endpoint.isInService() ? 1 : 0;
    }
    return inService;
  }

  /**
   * Polls all of them regularly where the limit allows all; false where it does not, and nothing
   * has changed.
   */
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
   * Admits a group that has traffic now, in place of one with much less. Returns the one that was
   * replaced; empty where the limit allows both, or where the group was not admitted.
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

  /** Counts anew once members have come or gone; returns groups that exceed the limit. */
  public List<ReplicaGroup> recount() {
    List<ReplicaGroup> removed = new ArrayList<>();
    List<ReplicaGroup> former = List.copyOf(polled);
    polled.clear();
    endpointCount = 0;
    for (ReplicaGroup group : former) {
      boolean retained =
          !group.members().isEmpty()
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

  /** Groups polled regularly now. */
  public int groupCount() {
    return polled.size();
  }

  /** Members of those groups that are in service. */
  public int endpointCount() {
    return endpointCount;
  }
}
