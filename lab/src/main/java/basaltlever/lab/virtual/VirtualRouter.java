package basaltlever.lab.virtual;

import basaltlever.config.StartValues;
import basaltlever.core.Effects;
import basaltlever.core.StatementRouter;
import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.gateway.RejectReason;
import basaltlever.gateway.Role;
import basaltlever.gateway.StatementRequest;
import basaltlever.lab.load.Front;
import basaltlever.lab.world.Ask;
import basaltlever.lab.world.Server;
import basaltlever.lab.world.World;
import basaltlever.switchover.PlannedSwitchover;
import basaltlever.switchover.SwitchoverAnnouncement;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A router without sockets: the same core and decisions, with a network of short delays in virtual
 * time.
 */
final class VirtualRouter implements Effects<String> {
  private static final Span OPENING = Span.ofMillis(0.4);
  private static final Span READS = Span.ofMillis(1_000);
  private static final Span POLL_TIMEOUT = Span.ofMillis(250);
  private final int number;
  private final World world;
  private final SplittableRandom chance;
  private final Map<String, Server> servers = new HashMap<>();
  private final Map<Long, Taken> taken = new HashMap<>();
  private final Bug bug;
  private final java.util.Set<String> wasPrimary = new java.util.HashSet<>();
  private boolean onlyOne;
  private int answers;
  private int reads;
  private final StatementRouter<String> core;
  private long tickets;

  /** What the core wants is done after it has decided, as on sockets. */
  private final List<Runnable> acts = new ArrayList<>();

  private static final class Taken {
    final Ask ask;
    final Front.Told told;
    final Moment leaves;
    final List<Out> out = new ArrayList<>(1);
    int open;
    boolean answered;
    boolean mute;

    Taken(Ask ask, Front.Told told, Moment leaves) {
      this.ask = ask;
      this.told = told;
      this.leaves = leaves;
    }
  }

  private static final class Out {
    boolean over;
    Runnable takeBack = () -> {};
  }

  VirtualRouter(int number, World world, StartValues values, boolean tellsChanges, Bug bug) {
    this.bug = bug;
    this.number = number;
    this.world = world;
    chance = world.chance.split();
    world.servers().forEach(server -> servers.put(server.id, server));
    core = new StatementRouter<>(this, values.loadBalancerFactory(chance.nextLong(), world.now()));
    world.onListChange(() -> world.time().after(hop().times(20), this::list));
    turn(() -> core.onTimerFired(world.now()));
    if (tellsChanges) {
      world.time().after(READS.times(chance.nextDouble()), this::readTables);
    }
  }

  /** Other settings, as after a reload. */
  void agree(StartValues values, boolean oneOut) {
    onlyOne = oneOut;
    for (Map.Entry<Long, Taken> entry : Map.copyOf(taken).entrySet()) {
      Taken of = entry.getValue();
      of.mute |= bug == Bug.SWITCH_FORGETS;
      for (int i = 0; bug == Bug.SWITCH_REPEATS && i < of.out.size(); i++) {
        ends(
            entry.getKey(),
            of,
            of.out.get(i),
            i,
            AttemptOutcome.NO_CONNECTION,
            Role.UNKNOWN,
            Moment.LONG_AGO,
            null);
      }
    }
    turn(() -> core.applySettings(world.now(), values.settingsUpdate(world.now())));
  }

  private Span hop() {
    return Span.ofMillis(0.15 + 0.3 * chance.nextDouble());
  }

  private void turn(Runnable input) {
    input.run();
    while (!acts.isEmpty()) {
      List<Runnable> due = new ArrayList<>(acts);
      acts.clear();
      due.forEach(Runnable::run);
    }
  }

  private void list() {
    turn(
        () -> {
          Moment now = world.now();
          core.onListStarted();
          for (Server server : world.servers()) {
            server.drainWasTold(number, now);
            core.onEndpointListed(
                now,
                server.id,
                server.listed().equals("in_service") || bug == Bug.IGNORES_DRAINS
                    ? EndpointLifecycle.READY
                    : EndpointLifecycle.DRAINING,
                server.group().number,
                0,
                1,
                server.startedMillis() == 0
                    ? Moment.LONG_AGO
                    : new Moment(server.startedMillis() * 1_000));
          }
          core.onListFinished(now, true, true);
        });
  }

  // ---- Clients.

  void ask(Ask ask, Front.Told told) {
    long ticket = ++tickets;
    taken.put(ticket, new Taken(ask, told, ask.leaves));
    turn(
        () ->
            core.onStatementReceived(
                world.now(),
                ticket,
                new StatementRequest(
                    ask.kind.number(),
                    ask.group,
                    ask.session + 1,
                    ask.leaves,
                    ask.after == 0 ? Moment.LONG_AGO : new Moment(ask.after * 1_000),
                    100)));
  }

  void leave(Ask ask) {
    for (Map.Entry<Long, Taken> entry : Map.copyOf(taken).entrySet()) {
      if (entry.getValue().ask == ask) {
        entry.getValue().answered = true;
        turn(() -> core.onClientDisconnected(world.now(), entry.getKey()));
        forget(entry.getKey(), entry.getValue());
      }
    }
  }

  private void forget(long ticket, Taken of) {
    if (of.answered && of.open == 0) {
      taken.remove(ticket);
    }
  }

  private void answer(long ticket, java.util.function.Consumer<Front.Told> what) {
    Taken of = taken.get(ticket);
    if (of != null && !of.answered) {
      of.answered = true;
      world
          .time()
          .after(
              hop(),
              () -> {
                if (of.mute
                    || of.ask.isLeft()
                    || (++answers % 100 == 0 && bug == Bug.DROPS_ANSWERS)) {
                  return;
                }
                what.accept(of.told);
                if (answers % 100 == 0 && bug == Bug.ANSWERS_TWICE) {
                  what.accept(of.told);
                }
              });
      forget(ticket, of);
    }
  }

  // ---- What the decisions want.

  @Override
  public void startAttempt(long ticket, int execution, String node, Span timeout, Moment sendBy) {
    Taken of = taken.get(ticket);
    Out out = new Out();
    of.out.add(out);
    of.open++;
    if (onlyOne && of.open > 1) {
      world.ledger.copied(of.ask);
    }
    Server server = servers.get(node);
    Span left = of.leaves.since(world.now());
    Span limit = timeout.micros() == 0 ? left : timeout.shorter(left);
    acts.add(
        () -> {
          if (of.answered || limit.micros() <= 0) {
            ends(
                ticket,
                of,
                out,
                execution,
                AttemptOutcome.NEVER_SENT,
                Role.UNKNOWN,
                Moment.LONG_AGO,
                null);
            return;
          }
          world
              .time()
              .after(
                  limit,
                  () -> {
                    out.takeBack.run();
                    ends(
                        ticket,
                        of,
                        out,
                        execution,
                        AttemptOutcome.TIMED_OUT,
                        Role.UNKNOWN,
                        Moment.LONG_AGO,
                        null);
                  });
          world.time().after(hop().plus(OPENING), () -> reach(ticket, of, out, execution, server));
        });
  }

  private void reach(long ticket, Taken of, Out out, int execution, Server server) {
    if (out.over || world.isCut(number, server)) {
      return;
    }
    if (!server.isUp() || (server.isRefusing() && chance.nextInt(4) == 0)) {
      // Most have a connection that is open.
      world
          .time()
          .after(
              hop(),
              () ->
                  ends(
                      ticket,
                      of,
                      out,
                      execution,
                      AttemptOutcome.NO_CONNECTION,
                      Role.UNKNOWN,
                      Moment.LONG_AGO,
                      null));
      return;
    }
    int life = server.life();
    out.takeBack =
        server.ask(
            of.ask,
            new Server.Reply() {
              @Override
              public void answer(String code, String value, boolean primary, long position) {
                if (!world.isCut(number, server)) {
                  AttemptOutcome outcome =
                      code == null
                          ? value == null ? AttemptOutcome.UNKNOWN : AttemptOutcome.COMPLETED
                          : code.equals("53300") ? AttemptOutcome.FULL : AttemptOutcome.MISS;
                  world
                      .time()
                      .after(
                          hop(),
                          () ->
                              ends(
                                  ticket,
                                  of,
                                  out,
                                  execution,
                                  outcome,
                                  primary || wasPrimary.contains(server.id)
                                      ? Role.PRIMARY
                                      : Role.REPLICA,
                                  position == 0 ? Moment.LONG_AGO : new Moment(position * 1_000),
                                  value));
                }
              }

              @Override
              public void breaks() {
                world
                    .time()
                    .after(
                        hop(),
                        () ->
                            ends(
                                ticket,
                                of,
                                out,
                                execution,
                                AttemptOutcome.RESET,
                                Role.UNKNOWN,
                                Moment.LONG_AGO,
                                null));
              }
            });
    server.listens(
        new Server.Listener() {
          @Override
          public void died() {
            if (!out.over && server.life() == life + 1) {
              world
                  .time()
                  .after(
                      hop(),
                      () ->
                          ends(
                              ticket,
                              of,
                              out,
                              execution,
                              AttemptOutcome.RESET,
                              Role.UNKNOWN,
                              Moment.LONG_AGO,
                              null));
            }
          }

          @Override
          public boolean isOver() {
            return out.over;
          }
        });
  }

  private void ends(
      long ticket,
      Taken of,
      Out out,
      int execution,
      AttemptOutcome outcome,
      Role role,
      Moment position,
      String value) {
    if (out.over) {
      return;
    }
    out.over = true;
    of.open--;
    AttemptOutcome heard =
        outcome == AttemptOutcome.RESET && bug == Bug.RESET_PROVES_NOT_RUN
            ? AttemptOutcome.NEVER_SENT
            : outcome;
    turn(
        () -> {
          if (core.onAttemptEnded(world.now(), ticket, execution, heard, role, position, false)) {
            answer(ticket, told -> told.completed(value));
          }
        });
    forget(ticket, of);
  }

  @Override
  public void cancel(long ticket, int execution) {
    Taken of = taken.get(ticket);
    Out out = of.out.get(execution);
    acts.add(
        () -> {
          out.takeBack.run();
          ends(
              ticket,
              of,
              out,
              execution,
              AttemptOutcome.CANCELLED,
              Role.UNKNOWN,
              Moment.LONG_AGO,
              null);
        });
  }

  @Override
  public void reject(long ticket, Span comeBackAfter, RejectReason reason) {
    acts.add(() -> answer(ticket, told -> told.rejected(comeBackAfter)));
  }

  @Override
  public void abort(long ticket) {
    acts.add(() -> answer(ticket, Front.Told::aborted));
  }

  @Override
  public void poll(String node) {
    Server server = servers.get(node);
    polls++;
    boolean[] over = new boolean[1];
    world
        .time()
        .after(
            POLL_TIMEOUT,
            () -> polled(over, node, AttemptOutcome.TIMED_OUT, Role.UNKNOWN, Moment.LONG_AGO, 0));
    world
        .time()
        .after(
            hop(),
            () -> {
              if (world.isCut(number, server) || server.isHung()) {
                return;
              }
              boolean up = server.isUp();
              if (server.saysPrimary() && bug == Bug.OLD_PRIMARY_CLAIMS) {
                wasPrimary.add(server.id);
              }
              boolean stillClaims = wasPrimary.contains(server.id);
              Role role = server.saysPrimary() || stillClaims ? Role.PRIMARY : Role.REPLICA;
              Moment position =
                  stillClaims
                      ? world.now()
                      : new Moment((long) (server.position(world.now()) * 1e6) - 1);
              double util = server.util();
              world
                  .time()
                  .after(
                      hop(),
                      () -> {
                        polled(
                            over,
                            node,
                            up ? AttemptOutcome.COMPLETED : AttemptOutcome.NO_CONNECTION,
                            up ? role : Role.UNKNOWN,
                            up ? position : Moment.LONG_AGO,
                            util);
                      });
            });
  }

  /** Every member's table within 3 s, as on sockets. */
  private void readTables() {
    for (Server server : world.servers()) {
      if ((server.number + reads) % 3 == 0
          && server.isUp()
          && !server.isHung()
          && !world.isCut(number, server)) {
        SwitchoverAnnouncement announcement = server.group().note();
        if (announcement != null) {
          turn(
              () ->
                  core.onSwitchoverAnnounced(
                      world.now(),
                      server.id,
                      announcement.number(),
                      announcement.target(),
                      new Moment(announcement.atMillis() * 1_000),
                      announcement.cancelled()));
        }
      }
    }
    reads++;
    world.time().after(READS, this::readTables);
  }

  private void polled(
      boolean[] over,
      String node,
      AttemptOutcome outcome,
      Role role,
      Moment position,
      double util) {
    if (!over[0]) {
      over[0] = true;
      turn(() -> core.onPollEnded(world.now(), node, outcome, role, position, util, Double.NaN));
    }
  }

  private long polls;

  long polls() {
    return polls;
  }

  @Override
  public void closeIdleConnections(String node) {
    // Connections cost nothing here.
  }

  @Override
  public void onEndpointRemoved(String node) {
    // Names stay.
  }

  @Override
  public void watchEndpointList() {
    world.time().after(hop().times(4), this::list);
  }

  @Override
  public void setTimer(Span fromNow) {
    world
        .time()
        .after(fromNow.longer(new Span(1)), () -> turn(() -> core.onTimerFired(world.now())));
  }

  @Override
  public void openConnections(String node, int connections) {
    // As above.
  }

  @Override
  public void onSwitchoverPhaseChanged(int group, PlannedSwitchover.Phase phase, String target) {
    // The world knows better.
  }

  @Override
  public void onPrimaryChanged(int group, String node, boolean found) {
    // The world knows better.
  }
}
