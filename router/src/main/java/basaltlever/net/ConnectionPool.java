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
  private Span keptFor;
  private final RateLimitedLog bad;
  private final ArrayDeque<PooledConnection> idle = new ArrayDeque<>();
  private InetSocketAddress address;
  private int opening;
  private boolean sweeping;

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
      RateLimitedLog bad) {
    this.name = name;
    this.bootstrap = bootstrap;
    this.loop = loop;
    this.iteration = iteration;
    this.descriptors = descriptors;
    this.budget = budget;
    this.bad = bad;
    within(connectTimeout, idleClose);
  }

  void within(Span connects, Span idleClose) {
    connectTimeout = connects;
    keptFor = idleClose.minus(connects).longer(Span.NONE);
  }

  /** Null where the list has not named one. */
  InetSocketAddress address() {
    return address;
  }

  void spoilt(String what) {
    bad.note(this, what);
  }

  void count(Counter counter) {
    iteration.counters().add(counter);
  }

  Moment now() {
    return iteration.clock().now();
  }

  /** For a connection that begins to be opened now. */
  PeerTimeout connectTimeout(Runnable onTimeout) {
    return PeerTimeout.start(iteration, loop, connectTimeout, onTimeout);
  }

  void at(InetSocketAddress now) {
    if (!now.equals(address)) {
      letGo();
      address = now;
    }
  }

  void start(ServerQuery query) {
    // What a node sends unasked right behind an answer, or that it closes then, has shown by now on
    // the
    // longest idle; on the latest it would meet the next query.
    closeStale();
    PooledConnection next = idle.peekLast();
    if (next == null) {
      open(query);
    } else {
      idle.removeLast();
      descriptors.markBusy(next);
      run(next, query);
    }
  }

  /** How many more connections it takes until so many stand idle. */
  int missing(int wanted) {
    closeStale();
    return wanted - idle.size() - opening;
  }

  private void closeStale() {
    while (!idle.isEmpty() && !now().since(idle.peekLast().idleSince()).isShorterThan(keptFor)) {
      iteration.counters().add(Counter.NODE_CONNECTION_EXPIRED);
      idle.peekLast().close();
    }
  }

  private void open(ServerQuery query) {
    if (address == null) {
      query.endLost(AttemptOutcome.NO_CONNECTION, AttemptOutcome.RESET);
      return;
    }
    switch (descriptors.admitEndpointConnection(query.use())) {
      case OPEN -> connect(query);
      case WAIT -> descriptors.awaitFree(() -> openIfWanted(query));
      default -> {
        iteration
            .counters()
            .add(
                query.use() == Descriptors.Use.EXECUTION
                    ? Counter.EXECUTION_WITHOUT_DESCRIPTOR
                    : Counter.POLL_WITHOUT_DESCRIPTOR);
        query.endLost(AttemptOutcome.NO_DESCRIPTOR, AttemptOutcome.NO_DESCRIPTOR);
      }
    }
  }

  /** While it waited for a descriptor its time may have passed, or a connection become free. */
  private void openIfWanted(ServerQuery query) {
    if (query.isOver() || query.isTooLate(now())) {
      query.endLost(AttemptOutcome.NEVER_SENT, AttemptOutcome.NEVER_SENT);
    } else {
      start(query);
    }
  }

  private void connect(ServerQuery query) {
    PooledConnection connection = new PooledConnection(this, address, budget, query);
    ChannelFuture connecting = bootstrap.clone().handler(connection).connect(address);
    if (connecting.isDone() && !connecting.isSuccess()) {
      // No socket was to be had, or no way leads there: such a channel may belong to no loop.
      connection.gone();
      return;
    }
    connection.opens(connecting.channel());
    opening++;
    iteration.counters().add(Counter.NODE_CONNECTION_OPENED);
    connecting.addListener(
        done -> {
          opening--;
          if (!done.isSuccess()) {
            connection.gone();
          }
        });
  }

  /**
   * Not at once: what else is read in this look at the sockets may be that the client has gone.
   * After a turn that took long both have waited, and a statement went out for a client that had
   * left long before.
   */
  void welcomed(PooledConnection connection) {
    iteration.hear(
        now ->
            iteration.act(
                () -> {
                  ServerQuery first = connection.first();
                  if (first != null) {
                    run(connection, first);
                  }
                }));
  }

  /** Its job may have ended while the connection came up. */
  void run(PooledConnection connection, ServerQuery query) {
    if (query.isOver() || query.isTooLate(now())) {
      query.endLost(AttemptOutcome.NEVER_SENT, AttemptOutcome.NEVER_SENT);
      free(connection);
    } else {
      connection.run(query);
    }
  }

  void free(PooledConnection connection) {
    if (!connection.address().equals(address)) {
      connection.close();
      return;
    }
    idle.addFirst(connection);
    descriptors.addIdleEndpointConnection(connection);
    sweepLater();
  }

  void closed(PooledConnection connection) {
    idle.remove(connection);
    descriptors.markBusy(connection);
    descriptors.onEndpointConnectionClosed();
  }

  void letGo() {
    new ArrayList<>(idle).forEach(PooledConnection::close);
  }

  private void sweepLater() {
    if (!sweeping && !idle.isEmpty()) {
      sweeping = true;
      long left = keptFor.minus(now().since(idle.peekLast().idleSince())).micros();
      loop.schedule(this::sweep, Math.max(1_000, left), TimeUnit.MICROSECONDS);
    }
  }

  private void sweep() {
    sweeping = false;
    closeStale();
    sweepLater();
  }

  @Override
  public String toString() {
    return name + " at " + address;
  }
}
