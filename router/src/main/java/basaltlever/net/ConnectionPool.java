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
 * The connections to one node: those idle are used again, the longest idle first, and closed in
 * time.
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
   * An idle connection is closed a connect time-out before the node may: a path can take that long.
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

  /** Null where the list has not named one. */
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

  /** For a connection that begins to be opened now. */
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
    // What a node sends unasked right behind an answer, or that it closes then, has shown by now on
    // the
    // longest idle; on the latest it would meet the next query.
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

  /** How many more connections it takes until so many stand idle. */
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
      case WAIT -> descriptors.awaitFree(() -> openIfStillNeeded(query));
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

  /** While it waited for a descriptor its time may have passed, or a connection become free. */
  private void openIfStillNeeded(ServerQuery query) {
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
      // No socket was to be had, or no way leads there: such a channel may belong to no loop.
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
   * Not at once: what else is read in this look at the sockets may be that the client has gone.
   * After a turn that took long both have waited, and a statement went out for a client that had
   * left long before.
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

  /** Its job may have ended while the connection came up. */
  void sendIfStillNeeded(PooledConnection connection, ServerQuery query) {
    if (query.isFinished() || query.isObsolete(now())) {
      query.fail(AttemptOutcome.NEVER_SENT, AttemptOutcome.NEVER_SENT);
      returnIdle(connection);
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
