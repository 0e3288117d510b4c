package basaltlever.snapshot;

import basaltlever.time.Span;

/**
 * How much of what was learned still counts after a while: a decision, free of I/O. Weight falls by
 * the half in 83 s for what a node is like and in 10 s for what traffic made of it; docs/restart.md
 * tells why.
 */
public final class StateDecay {
  /**
   * A node that fails is mended, moved or restarted within minutes: after 9 min under 1 % is left.
   */
  static final Span CONDITION = Span.ofMillis(120_000);

  /** Load comes and goes faster than nodes do; this is what a running router forgives in. */
  static final Span LOAD = Span.ofMillis(15_000);

  /**
   * Below it a state is a guess no longer worth acting on by itself, and only counts as failing.
   */
  private static final double STATE_HOLDS = 0.5;

  private StateDecay() {}

  /** From 1 for what has just been learned towards 0; nothing for a negative age. */
  public static double weight(Span age, Span fades) {
    return age.micros() < 0 ? 0 : Math.exp(-age.over(fades));
  }

  /** The weight of what a node is like, as the commands show it. */
  public static double weight(Span age) {
    return weight(age, CONDITION);
  }

  /**
   * The same view, that much later. Drains and cold budgets don't fade: they bind until they are
   * over.
   */
  public static EndpointState aged(EndpointState view, Span age) {
    double condition = weight(age, CONDITION);
    double load = weight(age, LOAD);
    boolean holds = condition >= STATE_HOLDS;
    double was = view.silent() || view.isDown() ? 1 : view.failing();
    return new EndpointState(
        view.group(),
        view.listedStart(),
        view.drains(),
        view.primary(),
        later(view.startedAgo(), age),
        later(view.deniedAgo(), age),
        view.silent() && holds,
        holds ? later(view.downFor(), age) : EndpointState.NEVER,
        was * condition,
        Math.max(0, view.strained()) * load,
        view.room() / Math.max(load, 1e-6),
        holds ? view.turnedAway() : 0,
        view.rests().minus(age).longer(Span.NONE),
        view.lag().times(load),
        view.coldSpent(),
        later(view.coldAgo(), age));
  }

  public static GroupState aged(GroupState view, Span age) {
    double load = weight(age, LOAD);
    return new GroupState(view.group(), view.jam() * load, view.primaryJam() * load);
  }

  private static Span later(Span ago, Span age) {
    return ago.isShorterThan(EndpointState.NEVER) ? ago.plus(age) : ago;
  }
}
