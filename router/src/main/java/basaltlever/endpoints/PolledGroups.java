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
  public static final int MAX_POLLED_MEMBERS = 96;

  /** So many are polled once at the start where the list is too long for regular polls. */
  public static final int MAX_FIRST_POLLS = 16;

  /**
   * A group replaces another only with this many times its traffic, or two alike would alternate.
   */
  private static final double MIN_TRAFFIC_RATIO = 1.5;

  private final List<ReplicaGroup> polled = new ArrayList<>();
  private int members;

  /** Members of the group that count against the limit. */
  private static int size(ReplicaGroup group) {
    int inService = 0;
    for (int i = 0; i < group.endpoints().size() && inService < ReplicaSubset.LEAST; i++) {
      Endpoint member = group.endpoints().get(i);
      inService += member.isInService() ? 1 : 0;
    }
    return inService;
  }

  /**
   * Polls all of them regularly where the limit allows all; false where it does not, and nothing
   * has changed.
   */
  public boolean admitAll(Collection<ReplicaGroup> groups) {
    int more = 0;
    for (ReplicaGroup group : groups) {
      more += group.isPolledRegularly() ? 0 : size(group);
      if (members + more > MAX_POLLED_MEMBERS) {
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
    if (members + size(group) <= MAX_POLLED_MEMBERS) {
      add(group);
      return List.of();
    }
    ReplicaGroup least =
        Collections.min(
            polled, (a, b) -> Double.compare(rate.applyAsDouble(a), rate.applyAsDouble(b)));
    if (rate.applyAsDouble(group) <= MIN_TRAFFIC_RATIO * rate.applyAsDouble(least)
        || members - size(least) + size(group) > MAX_POLLED_MEMBERS) {
      return List.of();
    }
    remove(least);
    add(group);
    return List.of(least);
  }

  /** Counts anew once members have come or gone; returns groups that exceed the limit. */
  public List<ReplicaGroup> recount() {
    List<ReplicaGroup> removed = new ArrayList<>();
    List<ReplicaGroup> former = List.copyOf(polled);
    polled.clear();
    members = 0;
    for (ReplicaGroup group : former) {
      boolean stays = !group.endpoints().isEmpty() && members + size(group) <= MAX_POLLED_MEMBERS;
      group.setPolledRegularly(false);
      if (stays) {
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
    members += size(group);
  }

  private void remove(ReplicaGroup group) {
    group.setPolledRegularly(false);
    polled.remove(group);
    members -= size(group);
  }

  /** Groups polled regularly now. */
  public int size() {
    return polled.size();
  }

  /** Members of those groups that are in service. */
  public int members() {
    return members;
  }
}
