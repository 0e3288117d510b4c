package basaltlever.net;

import static basaltlever.StandIn.check;

import basaltlever.time.Moment;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Who makes room where descriptors run out, and that those that linger are not counted as in use
 * for ever.
 */
class DescriptorsTest {
  private static final int MOST = 64;
  private static final int OVER = 8;

  /**
   * A connection as its owner tells of it; one of a client that has asked lingers when it is told
   * to go.
   */
  private static final class Party implements Descriptors.EvictableClient {
    final Descriptors in;
    final boolean node;
    boolean asked;
    boolean lingers;
    boolean closed;

    Party(Descriptors in, boolean node) {
      this.in = in;
      this.node = node;
    }

    @Override
    public boolean endIdle(CloseReason closeReason) {
      check(!lingers && !closed, "who was told to go is never ended for another one");
      if (node) {
        close();
        return true;
      }
      lingers = true;
      if (asked) {
        in.asksNoMore();
      }
      in.busy(this);
      in.lingers(this);
      return true;
    }

    @Override
    public boolean closeIfNoted() {
      return false;
    }

    void close() {
      if (closed) {
        return;
      }
      closed = true;
      in.busy(this);
      if (node) {
        in.nodeClosed();
      } else {
        if (asked && !lingers) {
          in.asksNoMore();
        }
        in.clientClosed(this);
      }
    }

    @Override
    public Moment idleSince() {
      return new Moment(0);
    }
  }

  private static Party client(Descriptors in, List<Party> all, boolean asks) {
    if (in.roomForClients() == 0) {
      in.makeRoomForClient(new Moment(0));
    }
    if (in.roomForClients() == 0) {
      return null;
    }
    check(in.admitsClient(), "there was room");
    Party client = new Party(in, false);
    all.add(client);
    in.unasked(client);
    if (asks) {
      client.asked = true;
      in.asks(client);
      in.idleClient(client);
      in.endLongestIdle();
    }
    return client;
  }

  /** Asked as long as room is being made for it. */
  private static boolean admits(Descriptors descriptors) {
    for (int i = 0; i < MOST; i++) {
      Descriptors.Admission admission = descriptors.admitsNode(Descriptors.Use.EXECUTION);
      if (admission != Descriptors.Admission.WAIT) {
        return admission == Descriptors.Admission.OPEN;
      }
    }
    return false;
  }

  @Example
  void aClientThatHasJustConnectedIsNeverClosedForANode() {
    Descriptors descriptors = new Descriptors(MOST);
    List<Party> all = new ArrayList<>();
    for (int i = 0; i < MOST - MOST / 4; i++) {
      check(client(descriptors, all, false) != null, "clients have their share: " + i);
    }
    int nodes = 0;
    while (nodes < MOST && admits(descriptors)) {
      nodes++;
    }
    check(nodes == MOST - OVER - all.size(), "nodes get what is left: " + nodes);
    check(all.stream().noneMatch(party -> party.closed), "whoever has connected is owed an answer");
    for (Descriptors.Use use : Descriptors.Use.values()) {
      check(descriptors.admitsNode(use) == Descriptors.Admission.REFUSE, "no more for " + use);
    }
  }

  @Example
  void whatIsClosedCountsUntilTheSystemHasClosedIt() {
    List<Runnable> looks = new ArrayList<>();
    Descriptors descriptors = new Descriptors(MOST, looks::add);
    List<Party> nodes = new ArrayList<>();
    for (int i = 0; i < MOST - OVER; i++) {
      check(
          descriptors.admitsNode(Descriptors.Use.EXECUTION) == Descriptors.Admission.OPEN,
          "room at first");
      nodes.add(new Party(descriptors, true));
      descriptors.idleNode(nodes.get(i));
    }
    check(
        descriptors.admitsNode(Descriptors.Use.WARM_UP) == Descriptors.Admission.REFUSE,
        "not ahead of need");
    check(
        descriptors.admitsNode(Descriptors.Use.EXECUTION) == Descriptors.Admission.WAIT,
        "one is closed for it");
    check(nodes.get(0).closed, "the one that was idle for the longest");
    List<String> opened = new ArrayList<>();
    descriptors.await(() -> opened.add(descriptors.admitsNode(Descriptors.Use.EXECUTION).name()));
    check(opened.isEmpty(), "it is still open in the system");
    List.copyOf(looks).forEach(Runnable::run);
    check(opened.equals(List.of("OPEN")), "after the next look: " + opened);
  }

  @Example
  void idleClientsThatNeverCloseTheirSideLeaveRoomForNodes() {
    Descriptors descriptors = new Descriptors(MOST);
    List<Party> all = new ArrayList<>();
    for (int i = 0; i < 10 * MOST; i++) {
      client(descriptors, all, true);
    }
    for (int i = 0; i < MOST / 4; i++) {
      check(admits(descriptors), "a connection to a node, or to discovery, has its place: " + i);
    }
    check(
        all.stream().filter(party -> party.lingers && !party.closed).count() >= OVER,
        "the latest to be sent away have time to read on");
  }

  @Property(tries = 60, seed = "341", shrinking = ShrinkingMode.OFF)
  void neverMoreThanMayBeOpenAndAllCountsComeBack(@ForAll long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    Descriptors descriptors = new Descriptors(MOST);
    List<Party> all = new ArrayList<>();
    for (int step = 0; step < 600; step++) {
      switch (chance.nextInt(4)) {
        case 0 -> client(descriptors, all, chance.nextBoolean());
        case 1 -> {
          if (admits(descriptors)) {
            Party node = new Party(descriptors, true);
            all.add(node);
            descriptors.idleNode(node);
          }
        }
        case 2 -> {
          if (!all.isEmpty() && chance.nextInt(3) == 0) {
            all.get(chance.nextInt(all.size())).close();
          }
        }
        default -> descriptors.shed(new Moment(9_000_000), basaltlever.time.Span.ofMillis(2_000));
      }
      long open = all.stream().filter(party -> !party.closed).count();
      check(open <= MOST, "too many: " + open);
    }
    new ArrayList<>(all).forEach(Party::close);
    int again = 0;
    List<Party> fresh = new ArrayList<>();
    while (again < MOST - MOST / 4 && client(descriptors, fresh, false) != null) {
      again++;
    }
    check(
        again == MOST - MOST / 4 && fresh.stream().noneMatch(party -> party.closed),
        "all came back: " + again);
  }
}
