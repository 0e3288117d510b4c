package basaltlever.net;

import static basaltlever.LoadBalancerHarness.check;

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
  private static final int LIMIT = 64;
  private static final int LINGERING_LIMIT = 8;

  /**
   * A connection as its owner tells of it; one of a client that has asked lingers when it is told
   * to go.
   */
  private static final class FakeConnection implements Descriptors.EvictableClient {
    final Descriptors descriptors;
    final boolean isEndpoint;
    boolean active;
    boolean lingering;
    boolean closed;

    FakeConnection(Descriptors descriptors, boolean isEndpoint) {
      this.descriptors = descriptors;
      this.isEndpoint = isEndpoint;
    }

    @Override
    public boolean endIfIdle(CloseReason closeReason) {
      check(!lingering && !closed, "who was told to go is never ended for another one");
      if (isEndpoint) {
        close();
        return true;
      }
      lingering = true;
      if (active) {
        descriptors.onActiveClientEnded();
      }
      descriptors.markBusy(this);
      descriptors.addLingeringClient(this);
      return true;
    }

    @Override
    public boolean closeIfLingered() {
      return false;
    }

    void close() {
      if (closed) {
        return;
      }
      closed = true;
      descriptors.markBusy(this);
      if (isEndpoint) {
        descriptors.onEndpointConnectionClosed();
      } else {
        if (active && !lingering) {
          descriptors.onActiveClientEnded();
        }
        descriptors.onClientClosed(this);
      }
    }

    @Override
    public Moment idleSince() {
      return new Moment(0);
    }
  }

  private static FakeConnection openClient(
      Descriptors descriptors, List<FakeConnection> connections, boolean active) {
    if (descriptors.roomForClients() == 0) {
      descriptors.makeRoomForClient(new Moment(0));
    }
    if (descriptors.roomForClients() == 0) {
      return null;
    }
    check(descriptors.admitClient(), "there was room");
    FakeConnection client = new FakeConnection(descriptors, false);
    connections.add(client);
    descriptors.addNewClient(client);
    if (active) {
      client.active = true;
      descriptors.onFirstMessage(client);
      descriptors.addIdleClient(client);
      descriptors.endLongestIdleClients();
    }
    return client;
  }

  /** Asked as long as room is being made for it. */
  private static boolean admitEndpoint(Descriptors descriptors) {
    for (int i = 0; i < LIMIT; i++) {
      Descriptors.Admission admission =
          descriptors.admitEndpointConnection(Descriptors.Use.EXECUTION);
      if (admission != Descriptors.Admission.WAIT) {
        return admission == Descriptors.Admission.OPEN;
      }
    }
    return false;
  }

  @Example
  void aNewClientIsNeverClosedForAnEndpointConnection() {
    Descriptors descriptors = new Descriptors(LIMIT);
    List<FakeConnection> connections = new ArrayList<>();
    for (int i = 0; i < LIMIT - LIMIT / 4; i++) {
      check(openClient(descriptors, connections, false) != null, "clients have their share: " + i);
    }
    int endpointConnections = 0;
    while (endpointConnections < LIMIT && admitEndpoint(descriptors)) {
      endpointConnections++;
    }
    check(
        endpointConnections == LIMIT - LINGERING_LIMIT - connections.size(),
        "nodes get what is left: " + endpointConnections);
    check(
        connections.stream().noneMatch(connection -> connection.closed),
        "whoever has connected is owed an answer");
    for (Descriptors.Use use : Descriptors.Use.values()) {
      check(
          descriptors.admitEndpointConnection(use) == Descriptors.Admission.REFUSE,
          "no more for " + use);
    }
  }

  @Example
  void aClosingConnectionCountsUntilItsSocketIsClosed() {
    List<Runnable> afterSelectTasks = new ArrayList<>();
    Descriptors descriptors = new Descriptors(LIMIT, afterSelectTasks::add);
    List<FakeConnection> endpointConnections = new ArrayList<>();
    for (int i = 0; i < LIMIT - LINGERING_LIMIT; i++) {
      check(
          descriptors.admitEndpointConnection(Descriptors.Use.EXECUTION)
              == Descriptors.Admission.OPEN,
          "room at first");
      endpointConnections.add(new FakeConnection(descriptors, true));
      descriptors.addIdleEndpointConnection(endpointConnections.get(i));
    }
    check(
        descriptors.admitEndpointConnection(Descriptors.Use.WARM_UP)
            == Descriptors.Admission.REFUSE,
        "not ahead of need");
    check(
        descriptors.admitEndpointConnection(Descriptors.Use.EXECUTION)
            == Descriptors.Admission.WAIT,
        "one is closed for it");
    check(endpointConnections.get(0).closed, "the one that was idle for the longest");
    List<String> admissions = new ArrayList<>();
    descriptors.awaitFree(
        () ->
            admissions.add(descriptors.admitEndpointConnection(Descriptors.Use.EXECUTION).name()));
    check(admissions.isEmpty(), "it is still open in the system");
    List.copyOf(afterSelectTasks).forEach(Runnable::run);
    check(admissions.equals(List.of("OPEN")), "after the next look: " + admissions);
  }

  @Example
  void lingeringClientsLeaveRoomForEndpointConnections() {
    Descriptors descriptors = new Descriptors(LIMIT);
    List<FakeConnection> connections = new ArrayList<>();
    for (int i = 0; i < 10 * LIMIT; i++) {
      openClient(descriptors, connections, true);
    }
    for (int i = 0; i < LIMIT / 4; i++) {
      check(
          admitEndpoint(descriptors),
          "a connection to a node, or to discovery, has its place: " + i);
    }
    check(
        connections.stream()
                .filter(connection -> connection.lingering && !connection.closed)
                .count()
            >= LINGERING_LIMIT,
        "the latest to be sent away have time to read on");
  }

  @Property(tries = 60, seed = "341", shrinking = ShrinkingMode.OFF)
  void openConnectionsStayWithinTheLimitAndCountsReturnToZero(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Descriptors descriptors = new Descriptors(LIMIT);
    List<FakeConnection> connections = new ArrayList<>();
    for (int step = 0; step < 600; step++) {
      switch (random.nextInt(4)) {
        case 0 -> openClient(descriptors, connections, random.nextBoolean());
        case 1 -> {
          if (admitEndpoint(descriptors)) {
            FakeConnection endpointConnection = new FakeConnection(descriptors, true);
            connections.add(endpointConnection);
            descriptors.addIdleEndpointConnection(endpointConnection);
          }
        }
        case 2 -> {
          if (!connections.isEmpty() && random.nextInt(3) == 0) {
            connections.get(random.nextInt(connections.size())).close();
          }
        }
        default ->
            descriptors.shedIdleClients(
                new Moment(9_000_000), basaltlever.time.Span.ofMillis(2_000));
      }
      long open = connections.stream().filter(connection -> !connection.closed).count();
      check(open <= LIMIT, "too many: " + open);
    }
    new ArrayList<>(connections).forEach(FakeConnection::close);
    int admitted = 0;
    List<FakeConnection> newClients = new ArrayList<>();
    while (admitted < LIMIT - LIMIT / 4 && openClient(descriptors, newClients, false) != null) {
      admitted++;
    }
    check(
        admitted == LIMIT - LIMIT / 4
            && newClients.stream().noneMatch(connection -> connection.closed),
        "all came back: " + admitted);
  }
}
