package basaltlever.snapshot;

import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A view offered to a fresh router: aged once, then matched with the members as the list names
 * them. What was learned counts only for the same start under the same id at the same address; all
 * else is new. A decision of its own, free of I/O.
 */
public final class StateRestore {
  /** For a router that has nothing to go by. */
  public static final StateRestore NONE =
      new StateRestore("there is none", Span.NONE, 0, List.of(), List.of());

  /** How far the system's clock may stray from the steady one before neither is believed. */
  private static final Span STRAYS = Span.ofMillis(2_000);

  private static final double STRAYS_BY = 0.001;

  private final String why;
  private final Span age;
  private final long listed;
  private final Map<String, KnownEndpoint> nodes = new LinkedHashMap<>();
  private List<GroupState> groups;

  private StateRestore(
      String why, Span age, long listed, List<KnownEndpoint> nodes, List<GroupState> groups) {
    this.why = why;
    this.age = age;
    this.listed = listed;
    this.groups = groups;
    nodes.forEach(known -> this.nodes.put(known.id(), known));
  }

  /** What the view is worth now, by the system's clock and the steady one, in microseconds. */
  public static StateRestore of(
      LearnedState view, String deployment, String router, long now, long steady, String boot) {
    Span age = new Span(now - view.writtenAt());
    if (!view.deployment().equals(deployment) || !view.router().equals(router)) {
      return nothing(
          "it is of deployment '" + view.deployment() + "', router '" + view.router() + "'");
    }
    if (age.micros() < 0) {
      return nothing("it was written in the future, by this machine's clock");
    }
    if (!boot.isEmpty() && boot.equals(view.boot())) {
      Span steadily = new Span(steady - view.steady());
      Span strayed = new Span(Math.abs(steadily.minus(age).micros()));
      if (steadily.micros() < 0 || strayed.isLongerThan(STRAYS.plus(steadily.times(STRAYS_BY)))) {
        return nothing("the clock was set since it was written");
      }
      age = steadily;
    }
    List<KnownEndpoint> aged = new ArrayList<>(view.nodes().size());
    for (KnownEndpoint known : view.nodes()) {
      aged.add(new KnownEndpoint(known.id(), known.address(), StateDecay.aged(known.view(), age)));
    }
    Span since = age;
    return new StateRestore(
        "",
        age,
        view.listed(),
        aged,
        view.groups().stream().map(group -> StateDecay.aged(group, since)).toList());
  }

  private static StateRestore nothing(String why) {
    return new StateRestore(why, Span.NONE, 0, List.of(), List.of());
  }

  /** Why it counts for nothing; empty where it counts. */
  public String worthless() {
    return why;
  }

  public Span age() {
    return age;
  }

  public int nodesLeft() {
    return nodes.size();
  }

  /** Those not listed yet, in the view's order: whom to ask first, and no more than that. */
  public List<KnownEndpoint> members() {
    return List.copyOf(nodes.values());
  }

  /**
   * What is known of a member as it is listed, once; null where it is new. A list that the router
   * did not ask for may be older than the view: then the view's word on its start and on a drain is
   * the later one.
   */
  public EndpointState of(String id, String address, long listedStart, long version, boolean live) {
    KnownEndpoint known = nodes.get(id);
    boolean older = !live && version < listed;
    if (known == null
        || !known.address().equals(address)
        || (known.view().listedStart() != listedStart
            && !(older && known.view().listedStart() > listedStart))) {
      return null;
    }
    nodes.remove(id);
    EndpointState view = known.view();
    return view.drains() && !older ? withoutDrain(view) : view;
  }

  private static EndpointState withoutDrain(EndpointState view) {
    return new EndpointState(
        view.group(),
        view.listedStart(),
        false,
        view.primary(),
        view.startedAgo(),
        view.deniedAgo(),
        view.silent(),
        view.downFor(),
        view.failing(),
        view.strained(),
        view.room(),
        view.turnedAway(),
        view.rests(),
        view.lag(),
        view.coldSpent(),
        view.coldAgo());
  }

  /** What is known of the groups, once. */
  public List<GroupState> groups() {
    List<GroupState> told = groups;
    groups = List.of();
    return told;
  }
}
