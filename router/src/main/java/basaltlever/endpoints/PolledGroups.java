package basaltlever.endpoints;

import basaltlever.model.Endpoint;
import basaltlever.model.ReplicaGroup;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * The groups whose members are polled all the time. A short list is watched whole; of a long one
 * the groups with the most traffic of this router are. Members of the others are polled only when a
 * statement needs it, so that what a router polls follows its traffic and not the length of the
 * list.
 */
public final class PolledGroups {
  /** So many members in service at most are polled regularly. */
  public static final int MOST_MEMBERS = 96;

  /** So many are polled once at the start where the list is longer than that. */
  public static final int FIRST_LOOK = 16;

  /**
   * A group takes another's place only with clearly more traffic, or two alike would take turns.
   */
  private static final double CLEARLY_MORE = 1.5;

  private final List<ReplicaGroup> watched = new ArrayList<>();
  private int members;

  /** Members of the group that count against the bound. */
  private static int size(ReplicaGroup group) {
    int inService = 0;
    for (int i = 0; i < group.members().size() && inService < ReplicaSubset.LEAST; i++) {
      Endpoint member = group.members().get(i);
      inService += member.isInService() ? 1 : 0;
    }
    return inService;
  }

  /**
   * Watches all of them where there is room for all; false where there is not, and nothing has
   * changed.
   */
  public boolean admitAll(Collection<ReplicaGroup> groups) {
    int more = 0;
    for (ReplicaGroup group : groups) {
      more += group.isPolledRegularly() ? 0 : size(group);
      if (members + more > MOST_MEMBERS) {
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
   * Takes in a group that has traffic now, in place of one with much less. Returns the one that had
   * to go; empty where there was room, or where the group was not taken in.
   */
  public List<ReplicaGroup> admitByTraffic(
      ReplicaGroup group, ToDoubleFunction<ReplicaGroup> rate) {
    if (members + size(group) <= MOST_MEMBERS) {
      add(group);
      return List.of();
    }
    ReplicaGroup least =
        Collections.min(
            watched, (a, b) -> Double.compare(rate.applyAsDouble(a), rate.applyAsDouble(b)));
    if (rate.applyAsDouble(group) <= CLEARLY_MORE * rate.applyAsDouble(least)
        || members - size(least) + size(group) > MOST_MEMBERS) {
      return List.of();
    }
    remove(least);
    add(group);
    return List.of(least);
  }

  /**
   * Counts anew once members have come or gone; returns groups for which there is no room any more.
   */
  public List<ReplicaGroup> recount() {
    List<ReplicaGroup> left = new ArrayList<>();
    List<ReplicaGroup> former = List.copyOf(watched);
    watched.clear();
    members = 0;
    for (ReplicaGroup group : former) {
      boolean stays = !group.members().isEmpty() && members + size(group) <= MOST_MEMBERS;
      group.setPolledRegularly(false);
      if (stays) {
        add(group);
      } else {
        left.add(group);
      }
    }
    return left;
  }

  private void add(ReplicaGroup group) {
    group.setPolledRegularly(true);
    watched.add(group);
    members += size(group);
  }

  private void remove(ReplicaGroup group) {
    group.setPolledRegularly(false);
    watched.remove(group);
    members -= size(group);
  }

  /** Groups that are watched now. */
  public int size() {
    return watched.size();
  }

  /** Members in service of those. */
  public int members() {
    return members;
  }
}
