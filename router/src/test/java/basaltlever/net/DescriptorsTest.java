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
 * Tests which connections make room when descriptors run out, and that the counts include each
 * connection exactly as long as it is open.
 */
class DescriptorsTest {
  private static final int LIMIT = 64;
  private static final int LINGERING_LIMIT = 8;

  /** A connection as its owner reports it; that of a client lingers after it is ended. */
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
      check(!lingering && !closed, "a connection that was ended is not ended again");
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
    check(descriptors.admitClient(), "a client is admitted while there is room");
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

  /** Retries while room is being made. */
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
      check(
          openClient(descriptors, connections, false) != null,
          "clients are admitted up to their share: " + i);
    }
    int endpointConnections = 0;
    while (endpointConnections < LIMIT && admitEndpoint(descriptors)) {
      endpointConnections++;
    }
    check(
        endpointConnections == LIMIT - LINGERING_LIMIT - connections.size(),
        "connections to endpoints get the remaining descriptors: " + endpointConnections);
    check(
        connections.stream().noneMatch(connection -> connection.closed),
        "no new client was closed");
    for (Descriptors.Use use : Descriptors.Use.values()) {
      check(
          descriptors.admitEndpointConnection(use) == Descriptors.Admission.REFUSE,
          "at the limit, a connection is refused for " + use);
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
          "connections to endpoints are admitted below the limit");
      endpointConnections.add(new FakeConnection(descriptors, true));
      descriptors.addIdleEndpointConnection(endpointConnections.get(i));
    }
    check(
        descriptors.admitEndpointConnection(Descriptors.Use.WARM_UP)
            == Descriptors.Admission.REFUSE,
        "warm-up is refused at the limit");
    check(
        descriptors.admitEndpointConnection(Descriptors.Use.EXECUTION)
            == Descriptors.Admission.WAIT,
        "an execution waits while an idle connection closes");
    check(endpointConnections.get(0).closed, "the longest idle connection is closed");
    List<String> admissions = new ArrayList<>();
    descriptors.awaitFree(
        () ->
            admissions.add(descriptors.admitEndpointConnection(Descriptors.Use.EXECUTION).name()));
    check(admissions.isEmpty(), "the task waits until the socket is closed");
    List.copyOf(afterSelectTasks).forEach(Runnable::run);
    check(
        admissions.equals(List.of("OPEN")),
        "admission after the next select, expected OPEN: " + admissions);
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
          "connections to endpoints are admitted up to their share: " + i);
    }
    check(
        connections.stream()
                .filter(connection -> connection.lingering && !connection.closed)
                .count()
            >= LINGERING_LIMIT,
        "the clients ended last may linger");
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
      check(open <= LIMIT, "open connections exceed the limit: " + open);
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
        "new clients admitted after all connections closed: " + admitted);
  }
}
