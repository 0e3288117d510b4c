package basaltlever.net;

import basaltlever.log.Event;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Divides the file descriptors between connections of clients and connections to endpoints. A
 * closed socket stays open until the event loop's next select, and is counted until then. When
 * descriptors run out, idle connections to endpoints are closed and idle clients are ended. A
 * client that is being ended keeps its descriptor, in one of a few reserved places, until it closes
 * its side or times out; it is never closed abruptly to make room for another client.
 */
final class Descriptors {
  /** A connection that can be ended between two uses. */
  interface IdleConnection {
    /**
     * Ends the connection, or returns false if it is in use because its peer has sent something
     * that was not read yet.
     */
    boolean endIfIdle(CloseReason closeReason);

    Moment idleSince();
  }

  /**
   * A client connection that can be ended and then keeps its descriptor until the client closes its
   * side.
   */
  interface EvictableClient extends IdleConnection {
    /**
     * Closes the connection and returns true if it has lingered for the guaranteed minimum time.
     */
    boolean closeIfLingered();
  }

  /** The purpose of a connection to an endpoint, the most important first. */
  enum Use {
    EXECUTION,
    POLL,
    WARM_UP
  }

  /**
   * Whether a connection may be opened now, once a descriptor that is being closed is free, or not
   * at all.
   */
  enum Admission {
    OPEN,
    WAIT,
    REFUSE
  }

  /** Idle clients are not shed while clients hold at most the limit divided by this. */
  private static final int SHED_THRESHOLD_DIVISOR = 8;

  /** The limit divided by this is reserved for connections to endpoints. */
  private static final int ENDPOINT_RESERVE_DIVISOR = 4;

  /**
   * Clients that have sent a statement, busy or idle, may hold the limit divided by this before the
   * longest idle ones are ended.
   */
  private static final int ACTIVE_CLIENTS_DIVISOR = 4;

  /**
   * Warm-up connections leave the limit divided by this free for connections that are needed now.
   */
  private static final int WARM_UP_RESERVE_DIVISOR = 8;

  /**
   * With fewer descriptors no client could be served. The estimate of the descriptors that the
   * runtime itself holds has a larger margin than this.
   */
  private static final int MIN_LIMIT = 8;

  /**
   * The number of places reserved for clients that were ended and have not closed their side: a
   * share of the limit between these bounds.
   */
  private static final int MAX_LINGERING = 32;

  private static final int MIN_LINGERING = 2;
  private static final int LINGERING_DIVISOR = 8;

  /** A client commonly sends its first statement within this time after it connects. */
  private static final Span FIRST_MESSAGE_GRACE = Span.ofMillis(50);

  /** How many idle connections are tried to find one that can be ended. */
  private static final int MAX_EVICTION_CANDIDATES = 4;

  private static final Span ONE_SECOND = Span.ofMillis(1_000);

  /** Lower bound of the limit on idle connections to endpoints. */
  private static final int MIN_IDLE_ENDPOINT_LIMIT = 64;

  /** With more traffic, the limit is the number of connections used within this time. */
  private static final double IDLE_ENDPOINT_LIMIT_SECONDS = 8;

  /** Weight of the latest sweep in the moving average of the use rate. */
  private static final double USE_RATE_SMOOTHING = 0.02;

  private static final Logger LOG = LoggerFactory.getLogger(Descriptors.class);

  /**
   * Runs a task after the event loop's next select, in which closed sockets release their
   * descriptors.
   */
  private final Consumer<Runnable> afterNextSelect;

  private String lastReport = "";
  private int limit;
  private int openConnections;
  private int closingConnections;
  private int clientConnections;
  private int activeClients;

  /**
   * Uses of connections to endpoints: since the last sweep, and their moving average per second.
   */
  private int usesSinceSweep;

  private double usesPerSecond;
  private Moment sweptAt;
  private final LinkedHashSet<IdleConnection> idleEndpointConnections = new LinkedHashSet<>();
  private final LinkedHashSet<IdleConnection> idleClients = new LinkedHashSet<>();

  /** Clients that have not sent a complete message yet, the oldest first. */
  private final LinkedHashSet<IdleConnection> newClients = new LinkedHashSet<>();

  private final LinkedHashSet<EvictableClient> lingeringClients = new LinkedHashSet<>();

  /** Runs for each descriptor that becomes free. */
  private Runnable onFreed = () -> {};

  private boolean activeClientsOverLimit;
  private final ArrayDeque<Runnable> waitingTasks = new ArrayDeque<>();

  /** Creates an instance for which a closed connection releases its descriptor immediately. */
  Descriptors(int limit) {
    this(limit, Runnable::run);
  }

  Descriptors(int limit, Consumer<Runnable> afterNextSelect) {
    setLimit(limit);
    this.afterNextSelect = afterNextSelect;
  }

  /** Logs the descriptors in use by purpose, if they have changed since the last report. */
  void report() {
    String report =
        limit
            + " "
            + openConnections
            + " "
            + clientConnections
            + " "
            + idleClients.size()
            + " "
            + lingeringClients.size()
            + " "
            + idleEndpointConnections.size();
    if (!report.equals(lastReport)) {
      lastReport = report;
      Event.DESCRIPTORS.log(
          LOG,
          Level.INFO,
          "",
          limit,
          openConnections + closingConnections,
          clientConnections,
          idleClients.size(),
          lingeringClients.size(),
          endpointConnections(),
          idleEndpointConnections.size());
    }
  }

  /**
   * Sets the limit. If more descriptors are open, new connections replace idle ones until the limit
   * holds again.
   */
  void setLimit(int newLimit) {
    limit = Math.max(MIN_LIMIT, newLimit);
  }

  private int endpointConnections() {
    return openConnections - clientConnections - lingeringClients.size();
  }

  /** Whether all descriptors are in use except the places reserved for lingering clients. */
  private boolean isFull() {
    return openConnections - lingeringClients.size() >= limit - lingeringLimit();
  }

  private int lingeringLimit() {
    return Math.max(MIN_LINGERING, Math.min(MAX_LINGERING, limit / LINGERING_DIVISOR));
  }

  void setOnFreed(Runnable callback) {
    onFreed = callback;
  }

  /**
   * Returns how many new clients may be admitted now, given the share that is reserved for
   * endpoints.
   */
  int roomForClients() {
    int share = limit - limit / ENDPOINT_RESERVE_DIVISOR;
    // Fewer active clients, since all of them may have to be ended and linger for a while.
    int inShare =
        Math.min(
            share - clientConnections,
            share - lingeringLimit() - (clientConnections - newClients.size()));
    int regular = limit - lingeringLimit() - (openConnections - lingeringClients.size());
    return Math.max(
        0, Math.min(Math.min(inShare, regular), limit - openConnections - closingConnections));
  }

  /**
   * Returns how many more connections may be accepted for rejection now and linger until their
   * clients have read the error.
   */
  int roomForRejections() {
    return Math.max(
        0,
        Math.min(
            lingeringLimit() - lingeringClients.size(),
            limit - openConnections - closingConnections));
  }

  /** Counts a new client and returns whether it is admitted; if not, it may only be rejected. */
  boolean admitClient() {
    boolean admitted = roomForClients() > 0;
    clientConnections++;
    openConnections++;
    return admitted;
  }

  /**
   * Makes room for a new client. Clients that have been silent for a while are ended first, then
   * connections to endpoints, then all other idle clients. Returns true if there is room now, or
   * will be once a connection to an endpoint has closed.
   */
  boolean makeRoomForClient(Moment now) {
    if (lingeringClients.size() >= lingeringLimit()) {
      closeLingered();
    }
    boolean canLinger = lingeringClients.size() < lingeringLimit();
    if (canLinger
        && !newClients.isEmpty()
        && now.since(newClients.iterator().next().idleSince()).isLongerThan(FIRST_MESSAGE_GRACE)
        && evict(newClients, CloseReason.TURNED_AWAY)) {
      return true;
    }
    return (isFull() && evictIdleEndpointConnection())
        || (canLinger
            && (evict(newClients, CloseReason.TURNED_AWAY)
                || evict(idleClients, CloseReason.DESCRIPTOR_NEEDED)));
  }

  /**
   * Admits a connection to an endpoint. If the result is to wait, {@link #awaitFree} notifies the
   * caller when to try again.
   */
  Admission admitEndpointConnection(Use use) {
    if (use == Use.WARM_UP
        && openConnections + closingConnections
            >= limit - lingeringLimit() - limit / WARM_UP_RESERVE_DIVISOR) {
      return Admission.REFUSE;
    }
    boolean isFull = isFull();
    if (!isFull && openConnections + closingConnections < limit) {
      openConnections++;
      usesSinceSweep++;
      return Admission.OPEN;
    }
    // Each closing connection already serves one waiting task, so one more has to be closed.
    boolean isBeingFreed = !isFull && closingConnections > waitingTasks.size();
    boolean roomMade =
        isBeingFreed
            || evictIdleEndpointConnection()
            || (use == Use.EXECUTION
                && lingeringClients.size() < lingeringLimit()
                && evict(idleClients, CloseReason.DESCRIPTOR_NEEDED));
    return roomMade ? Admission.WAIT : Admission.REFUSE;
  }

  /** Runs the task once a descriptor is free, or after the next select if one is free now. */
  void awaitFree(Runnable task) {
    waitingTasks.add(task);
    afterNextSelect.accept(this::runWaiting);
  }

  private void runWaiting() {
    for (int left = waitingTasks.size();
        left > 0 && !isFull() && openConnections + closingConnections < limit;
        left--) {
      waitingTasks.poll().run();
    }
  }

  private void onClosed() {
    openConnections--;
    closingConnections++;
    afterNextSelect.accept(
        () -> {
          closingConnections--;
          runWaiting();
          onFreed.run();
        });
  }

  /**
   * Registers a client that is being ended. If a reserved place is free, the client's own place is
   * free for another client.
   */
  void addLingeringClient(EvictableClient connection) {
    if (lingeringClients.size() < lingeringLimit()) {
      clientConnections--;
      lingeringClients.add(connection);
    }
  }

  void onClientClosed(IdleConnection connection) {
    clientConnections -= lingeringClients.remove(connection) ? 0 : 1;
    onClosed();
  }

  void onEndpointConnectionClosed() {
    onClosed();
  }

  void addIdleEndpointConnection(IdleConnection connection) {
    idleEndpointConnections.add(connection);
    if (idleEndpointConnections.size()
        > Math.max(MIN_IDLE_ENDPOINT_LIMIT, IDLE_ENDPOINT_LIMIT_SECONDS * usesPerSecond)) {
      evictIdleEndpointConnection();
    }
  }

  /** Returns the number of clients that have sent no message yet. */
  int newClientCount() {
    return newClients.size();
  }

  /** Adds a client that has sent no message yet. */
  void addNewClient(IdleConnection connection) {
    newClients.add(connection);
  }

  void onFirstMessage(IdleConnection connection) {
    newClients.remove(connection);
    activeClients++;
  }

  void onActiveClientEnded() {
    activeClients--;
  }

  void addIdleClient(IdleConnection connection) {
    idleClients.add(connection);
    activeClientsOverLimit |= activeClients > limit / ACTIVE_CLIENTS_DIVISOR;
  }

  /**
   * Ends the longest idle clients while active clients hold more than their share: clients that
   * open a connection for each statement and keep it open would exclude new ones. Never called
   * while another connection is being read, since ending a client reads its socket.
   */
  void endLongestIdleClients() {
    for (int i = 0; activeClientsOverLimit && i < MAX_LINGERING; i++) {
      activeClientsOverLimit =
          activeClients > limit / ACTIVE_CLIENTS_DIVISOR && evict(idleClients, CloseReason.IDLE);
    }
    activeClientsOverLimit = false;
  }

  void markBusy(IdleConnection connection) {
    if (idleEndpointConnections.remove(connection)) {
      usesSinceSweep++;
    } else if (!idleClients.remove(connection)) {
      newClients.remove(connection);
    }
  }

  /**
   * Ends clients that have been idle for long before descriptors run out, since they would exclude
   * others: clients may be limited to fewer connections than this router could admit.
   */
  void shedIdleClients(Moment now, Span minIdleTime) {
    updateUseRate(now);
    for (int excess = clientConnections - limit / SHED_THRESHOLD_DIVISOR;
        excess > 0
            && !idleClients.isEmpty()
            && now.since(idleClients.iterator().next().idleSince()).isLongerThan(minIdleTime);
        excess--) {
      evict(idleClients, CloseReason.IDLE);
    }
  }

  private void updateUseRate(Moment now) {
    if (sweptAt != null && now.isAfter(sweptAt)) {
      double currentRate = usesSinceSweep / now.since(sweptAt).ratioTo(ONE_SECOND);
      usesPerSecond += USE_RATE_SMOOTHING * (currentRate - usesPerSecond);
    }
    sweptAt = now;
    usesSinceSweep = 0;
  }

  /**
   * Makes room for others: closes a few of the clients that have lingered longest, up to the first
   * one that has not had the guaranteed minimum time.
   */
  private void closeLingered() {
    int closedCount = 0;
    for (EvictableClient client : new ArrayList<>(lingeringClients)) {
      if (!client.closeIfLingered() || ++closedCount == MAX_EVICTION_CANDIDATES) {
        return;
      }
    }
  }

  private boolean evictIdleEndpointConnection() {
    return evict(idleEndpointConnections, CloseReason.DESCRIPTOR_NEEDED);
  }

  /**
   * Ends the longest idle connection that can be ended and skips those that turn out to be in use.
   */
  private static boolean evict(Set<IdleConnection> candidates, CloseReason closeReason) {
    for (int i = 0; i < MAX_EVICTION_CANDIDATES && !candidates.isEmpty(); i++) {
      IdleConnection longest = candidates.iterator().next();
      if (longest.endIfIdle(closeReason)) {
        candidates.remove(longest);
        return true;
      }
      if (candidates.remove(longest)) {
        // The connection still counts as idle, for example with half a statement read. It moves to
        // the end so that others are tried first.
        candidates.add(longest);
      }
    }
    return false;
  }
}
