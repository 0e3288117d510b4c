package basaltlever.net;

import basaltlever.gateway.AttemptOutcome;
import basaltlever.log.Counter;
import basaltlever.log.RateLimitedLog;
import basaltlever.pg.MemoryBudget;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.concurrent.TimeUnit;

/**
 * The connections to one endpoint. Reuses the connection that has been idle longest, and closes
 * idle connections after a timeout.
 */
final class ConnectionPool {
  private final String name;
  private final Bootstrap bootstrap;
  private final EventLoop loop;
  private final LoopIteration iteration;
  private final Descriptors descriptors;
  private final MemoryBudget budget;
  private Span connectTimeout;
  private Span idleTimeout;
  private final RateLimitedLog badEndpointLog;
  private final ArrayDeque<PooledConnection> idle = new ArrayDeque<>();
  private InetSocketAddress address;
  private int connectionsOpening;
  private boolean sweepScheduled;

  /**
   * Closes an idle connection one connect timeout before the server may do so, since a path can
   * take that long.
   */
  ConnectionPool(
      String name,
      Bootstrap bootstrap,
      EventLoop loop,
      LoopIteration iteration,
      Descriptors descriptors,
      MemoryBudget budget,
      Span connectTimeout,
      Span idleClose,
      RateLimitedLog badEndpointLog) {
    this.name = name;
    this.bootstrap = bootstrap;
    this.loop = loop;
    this.iteration = iteration;
    this.descriptors = descriptors;
    this.budget = budget;
    this.badEndpointLog = badEndpointLog;
    setTimeouts(connectTimeout, idleClose);
  }

  void setTimeouts(Span newConnectTimeout, Span idleClose) {
    connectTimeout = newConnectTimeout;
    idleTimeout = idleClose.minus(newConnectTimeout).longer(Span.NONE);
  }

  /** Returns null if the endpoint list has not named an address. */
  InetSocketAddress address() {
    return address;
  }

  void logProtocolViolation(String description) {
    badEndpointLog.log(this, description);
  }

  void count(Counter counter) {
    iteration.counters().increment(counter);
  }

  Moment now() {
    return iteration.clock().now();
  }

  /** Starts the timeout of a connection that is being opened. */
  PeerTimeout connectTimeout(Runnable onTimeout) {
    return PeerTimeout.start(iteration, loop, connectTimeout, onTimeout);
  }

  void setAddress(InetSocketAddress newAddress) {
    if (!newAddress.equals(address)) {
      closeIdle();
      address = newAddress;
    }
  }

  void start(ServerQuery query) {
    // Unrequested bytes that a server sends right after a response, or a close at that point, have
    // been read by now on the connection that has been idle longest. On the one used last they
    // would disturb the next query.
    closeStale();
    PooledConnection connection = idle.peekLast();
    if (connection == null) {
      open(query);
    } else {
      idle.removeLast();
      descriptors.markBusy(connection);
      sendIfStillNeeded(connection, query);
    }
  }

  /** Returns how many connections must be opened to reach the given number of idle ones. */
  int missingIdle(int target) {
    closeStale();
    return target - idle.size() - connectionsOpening;
  }

  private void closeStale() {
    while (!idle.isEmpty()
        && !now().since(idle.peekLast().idleSince()).isShorterThan(idleTimeout)) {
      iteration.counters().increment(Counter.NODE_CONNECTION_EXPIRED);
      idle.peekLast().close();
    }
  }

  private void open(ServerQuery query) {
    if (address == null) {
      query.fail(AttemptOutcome.NO_CONNECTION, AttemptOutcome.RESET);
      return;
    }
    switch (descriptors.admitEndpointConnection(query.use())) {
      case OPEN -> connect(query);
      case WAIT -> descriptors.awaitFree(() -> startIfStillNeeded(query));
      default -> {
        iteration
            .counters()
            .increment(
                query.use() == Descriptors.Use.EXECUTION
                    ? Counter.EXECUTION_WITHOUT_DESCRIPTOR
                    : Counter.POLL_WITHOUT_DESCRIPTOR);
        query.fail(AttemptOutcome.NO_DESCRIPTOR, AttemptOutcome.NO_DESCRIPTOR);
      }
    }
  }

  /**
   * Rechecks the query: while it waited, it may have become obsolete or a connection may have
   * become idle.
   */
  private void startIfStillNeeded(ServerQuery query) {
    if (query.isFinished() || query.isObsolete(now())) {
      query.fail(AttemptOutcome.NEVER_SENT, AttemptOutcome.NEVER_SENT);
    } else {
      start(query);
    }
  }

  private void connect(ServerQuery query) {
    PooledConnection connection = new PooledConnection(this, address, budget, query);
    ChannelFuture connecting = bootstrap.clone().handler(connection).connect(address);
    if (connecting.isDone() && !connecting.isSuccess()) {
      // No socket was available or there is no route. Such a channel may not be registered with a
      // loop.
      connection.onClosed();
      return;
    }
    connection.onConnecting(connecting.channel());
    connectionsOpening++;
    iteration.counters().increment(Counter.NODE_CONNECTION_OPENED);
    connecting.addListener(
        done -> {
          connectionsOpening--;
          if (!done.isSuccess()) {
            connection.onClosed();
          }
        });
  }

  /**
   * Sends the first query only once all input of this iteration is processed, since the client's
   * disconnect may be among it. After a slow iteration both were waiting, and a statement was sent
   * for a client that had disconnected long before.
   */
  void onStartupCompleted(PooledConnection connection) {
    iteration.enqueue(
        now ->
            iteration.addEffect(
                () -> {
                  ServerQuery query = connection.takeFirstQuery();
                  if (query != null) {
                    sendIfStillNeeded(connection, query);
                  }
                }));
  }

  /** Sends the query, unless it ended or became obsolete while the connection was opened. */
  void sendIfStillNeeded(PooledConnection connection, ServerQuery query) {
    if (query.isFinished() || query.isObsolete(now())) {
      query.fail(AttemptOutcome.NEVER_SENT, AttemptOutcome.NEVER_SENT);
      returnIdle(connection);
    } else if (!query.isReadyToSend()) {
      returnIdle(connection);
      iteration.enqueue(now -> iteration.addEffect(() -> startIfStillNeeded(query)));
    } else {
      connection.send(query);
    }
  }

  void returnIdle(PooledConnection connection) {
    if (!connection.address().equals(address)) {
      connection.close();
      return;
    }
    idle.addFirst(connection);
    descriptors.addIdleEndpointConnection(connection);
    scheduleSweep();
  }

  void onConnectionClosed(PooledConnection connection) {
    idle.remove(connection);
    descriptors.markBusy(connection);
    descriptors.onEndpointConnectionClosed();
  }

  void closeIdle() {
    new ArrayList<>(idle).forEach(PooledConnection::close);
  }

  private void scheduleSweep() {
    if (!sweepScheduled && !idle.isEmpty()) {
      sweepScheduled = true;
      long remainingMicros = idleTimeout.minus(now().since(idle.peekLast().idleSince())).micros();
      loop.schedule(this::sweep, Math.max(1_000, remainingMicros), TimeUnit.MICROSECONDS);
    }
  }

  private void sweep() {
    sweepScheduled = false;
    closeStale();
    scheduleSweep();
  }

  @Override
  public String toString() {
    return name + " at " + address;
  }
}
