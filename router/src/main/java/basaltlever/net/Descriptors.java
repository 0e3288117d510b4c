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
 * Shares the file descriptors between clients and nodes. What is counted is what is open: a socket
 * that was closed stays open up to the loop's next look at its sockets, and counts up to then.
 * Where descriptors run out, idle connections to nodes are closed and idle clients are told to go.
 * A client that was told keeps its descriptor until it has closed its side or its time is over, in
 * one of a few places that are kept for that; it is never cut off for another one.
 */
final class Descriptors {
  /** A connection that can be ended between two uses of it. */
  interface IdleConnection {
    /** False where it is in use after all: its peer has sent something that was not read yet. */
    boolean endIfIdle(CloseReason closeReason);

    Moment idleSince();
  }

  /**
   * A client's connection that was told to go and keeps a descriptor until its client has taken
   * note.
   */
  interface EvictableClient extends IdleConnection {
    /** True where it has had the time that is always left to it, and was closed. */
    boolean closeIfLingered();
  }

  /** What a connection to a node is opened for, the most important first. */
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

  /** Below this share of the descriptors idle clients are left alone, however long. */
  private static final int SHED_THRESHOLD_DIVISOR = 8;

  /** This share of the descriptors is kept for connections to nodes. */
  private static final int ENDPOINT_RESERVE_DIVISOR = 4;

  /**
   * And so much of them may clients that have asked hold, busy or idle, before the idle are closed.
   */
  private static final int ACTIVE_CLIENTS_DIVISOR = 4;

  /** A share that connections opened ahead of need leave free. */
  private static final int WARM_UP_RESERVE_DIVISOR = 8;

  /**
   * With fewer no client could be served; what the runtime holds itself is counted with a margin
   * larger than this.
   */
  private static final int MIN_LIMIT = 8;

  /**
   * So many, or a small share, are kept for clients that were told to go and have not closed their
   * side yet.
   */
  private static final int MAX_LINGERING = 32;

  private static final int MIN_LINGERING = 2;
  private static final int LINGERING_DIVISOR = 8;

  /** Who has just connected commonly asks within this time. */
  private static final Span FIRST_MESSAGE_GRACE = Span.ofMillis(50);

  /** So many idle connections are looked at for one that can be ended. */
  private static final int MAX_EVICTION_CANDIDATES = 4;

  private static final Span ONE_SECOND = Span.ofMillis(1_000);

  /** Idle connections to nodes that are kept however little traffic there is. */
  private static final int MIN_IDLE_ENDPOINT_LIMIT = 64;

  /** Of more traffic, as many as are used in this time. */
  private static final double IDLE_ENDPOINT_LIMIT_SECONDS = 8;

  /** How fast the measure of the traffic follows it, from one sweep to the next. */
  private static final double USE_RATE_SMOOTHING = 0.02;

  private static final Logger LOG = LoggerFactory.getLogger(Descriptors.class);

  /**
   * Runs a task behind the loop's next look at its sockets, in which the system's sockets are
   * closed.
   */
  private final Consumer<Runnable> afterNextSelect;

  private String lastReport = "";
  private int limit;
  private int openConnections;
  private int closingConnections;
  private int clientConnections;
  private int activeClients;

  /** Uses of connections to nodes: in the sweep under way, and for each second lately. */
  private int usesSinceSweep;

  private double usesPerSecond;
  private Moment sweptAt;
  private final LinkedHashSet<IdleConnection> idleEndpointConnections = new LinkedHashSet<>();
  private final LinkedHashSet<IdleConnection> idleClients = new LinkedHashSet<>();

  /** Of clients that have not sent a whole message yet, the oldest first. */
  private final LinkedHashSet<IdleConnection> newClients = new LinkedHashSet<>();

  private final LinkedHashSet<EvictableClient> lingeringClients = new LinkedHashSet<>();

  /** Told of each descriptor that has become free. */
  private Runnable onFreed = () -> {};

  private boolean activeClientsOverLimit;
  private final ArrayDeque<Runnable> waitingTasks = new ArrayDeque<>();

  /** What is closed is free at once. */
  Descriptors(int limit) {
    this(limit, Runnable::run);
  }

  Descriptors(int limit, Consumer<Runnable> afterNextSelect) {
    setLimit(limit);
    this.afterNextSelect = afterNextSelect;
  }

  /** Logs how many are open by use, where that has changed since the last time. */
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

  /** Where fewer are allowed than are open, newcomers take the place of the idle until it fits. */
  void setLimit(int newLimit) {
    limit = Math.max(MIN_LIMIT, newLimit);
  }

  private int endpointConnections() {
    return openConnections - clientConnections - lingeringClients.size();
  }

  /** All but those that are kept for connections that linger. */
  private boolean isFull() {
    return openConnections - lingeringClients.size() >= limit - lingeringLimit();
  }

  private int lingeringLimit() {
    return Math.max(MIN_LINGERING, Math.min(MAX_LINGERING, limit / LINGERING_DIVISOR));
  }

  void setOnFreed(Runnable callback) {
    onFreed = callback;
  }

  /** How many new clients may be admitted now; all but a share that is kept for nodes. */
  int roomForClients() {
    int share = limit - limit / ENDPOINT_RESERVE_DIVISOR;
    // Of those who have asked fewer: they may all have to be told to go, and stay for a while.
    int inShare =
        Math.min(
            share - clientConnections,
            share - lingeringLimit() - (clientConnections - newClients.size()));
    int regular = limit - lingeringLimit() - (openConnections - lingeringClients.size());
    return Math.max(
        0, Math.min(Math.min(inShare, regular), limit - openConnections - closingConnections));
  }

  /**
   * How many more may be told at once that there is no room for them, and kept until they have
   * taken note.
   */
  int roomForRejections() {
    return Math.max(
        0,
        Math.min(
            lingeringLimit() - lingeringClients.size(),
            limit - openConnections - closingConnections));
  }

  /** False where it may only be told that there is no room for it. */
  boolean admitClient() {
    boolean admitted = roomForClients() > 0;
    clientConnections++;
    openConnections++;
    return admitted;
  }

  /**
   * For a new client: true where there is room now, or will be once a connection to a node has been
   * closed. Clients that have said nothing for a while go first, then connections to nodes, then
   * all other idle clients.
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
   * A connection to a node; where the answer is to wait, {@link #awaitFree} tells when to ask
   * again.
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
    // Each that is being closed has one waiting for it; one more has to be closed for one more.
    boolean isBeingFreed = !isFull && closingConnections > waitingTasks.size();
    boolean roomMade =
        isBeingFreed
            || evictIdleEndpointConnection()
            || (use == Use.EXECUTION
                && lingeringClients.size() < lingeringLimit()
                && evict(idleClients, CloseReason.DESCRIPTOR_NEEDED));
    return roomMade ? Admission.WAIT : Admission.REFUSE;
  }

  /** The task is run once a descriptor has become free, or at once where one is. */
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

  /** It has been told to go; where a place is kept for it, its own is free for another client. */
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

  /** Clients that have connected and asked nothing yet. */
  int newClientCount() {
    return newClients.size();
  }

  /** One that has asked nothing yet. */
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
   * Where clients open a connection for each statement and keep it, those keep the next ones out:
   * of more than a share the longest idle are told to go. Not while another connection is being
   * read, which looks at no other.
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
   * Clients that asked once and stay would keep others out. They are sent away before descriptors
   * run out: clients may well be held to fewer connections than this router could admit.
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
   * Others wait: of those that were told to go the longest ago, who has had the time that is always
   * left to it.
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

  /** The longest idle that can be ended; one that turns out to be in use is passed over. */
  private static boolean evict(Set<IdleConnection> candidates, CloseReason closeReason) {
    for (int i = 0; i < MAX_EVICTION_CANDIDATES && !candidates.isEmpty(); i++) {
      IdleConnection longest = candidates.iterator().next();
      if (longest.endIfIdle(closeReason)) {
        candidates.remove(longest);
        return true;
      }
      if (candidates.remove(longest)) {
        // Still idle by its own account, as with half a statement read: the next time others come
        // first.
        candidates.add(longest);
      }
    }
    return false;
  }
}
