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
  interface Idle {
    /** False where it is in use after all: its peer has sent something that was not read yet. */
    boolean endIdle(CloseReason closeReason);

    Moment idleSince();
  }

  /**
   * A client's connection that was told to go and keeps a descriptor until its client has taken
   * note.
   */
  interface EvictableClient extends Idle {
    /** True where it has had the time that is always left to it, and was closed. */
    boolean closeIfNoted();
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
  private static final int FEW = 8;

  /** This share of the descriptors is kept for connections to nodes. */
  private static final int FOR_NODES = 4;

  /**
   * And so much of them may clients that have asked hold, busy or idle, before the idle are closed.
   */
  private static final int FOR_CLIENTS = 4;

  /** A share that connections opened ahead of need leave free. */
  private static final int FREE_FOR_NEED = 8;

  /**
   * With fewer no client could be served; what the runtime holds itself is counted with a margin
   * larger than this.
   */
  private static final int LEAST = 8;

  /**
   * So many, or a small share, are kept for clients that were told to go and have not closed their
   * side yet.
   */
  private static final int MOST_KEPT = 32;

  private static final int LEAST_KEPT = 2;
  private static final int KEPT_SHARE = 8;

  /** Who has just connected commonly asks within this time. */
  private static final Span MAY_ASK = Span.ofMillis(50);

  /** So many idle connections are looked at for one that can be ended. */
  private static final int MOST_CANDIDATES = 4;

  private static final Span SECOND = Span.ofMillis(1_000);

  /** Idle connections to nodes that are kept however little traffic there is. */
  private static final int IDLE_NODES = 64;

  /** Of more traffic, as many as are used in this time. */
  private static final double IDLE_SECONDS = 8;

  /** How fast the measure of the traffic follows it, from one sweep to the next. */
  private static final double FOLLOWS = 0.02;

  private static final Logger LOG = LoggerFactory.getLogger(Descriptors.class);

  /**
   * Runs a task behind the loop's next look at its sockets, in which the system's sockets are
   * closed.
   */
  private final Consumer<Runnable> afterNextLook;

  private String reported = "";
  private int most;
  private int open;
  private int closing;
  private int clients;
  private int asking;

  /** Uses of connections to nodes: in the sweep under way, and for each second lately. */
  private int uses;

  private double usesPerSecond;
  private Moment sweptAt;
  private final LinkedHashSet<Idle> idleNodes = new LinkedHashSet<>();
  private final LinkedHashSet<Idle> idleClients = new LinkedHashSet<>();

  /** Of clients that have not sent a whole message yet, the oldest first. */
  private final LinkedHashSet<Idle> unasked = new LinkedHashSet<>();

  private final LinkedHashSet<EvictableClient> lingering = new LinkedHashSet<>();

  /** Told of each descriptor that has become free. */
  private Runnable freed = () -> {};

  private boolean tooManyAsk;
  private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();

  /** What is closed is free at once. */
  Descriptors(int most) {
    this(most, Runnable::run);
  }

  Descriptors(int most, Consumer<Runnable> afterNextLook) {
    most(most);
    this.afterNextLook = afterNextLook;
  }

  /** Logs how many are open by use, where that has changed since the last time. */
  void report() {
    String by =
        most
            + " "
            + open
            + " "
            + clients
            + " "
            + idleClients.size()
            + " "
            + lingering.size()
            + " "
            + idleNodes.size();
    if (!by.equals(reported)) {
      reported = by;
      Event.DESCRIPTORS.log(
          LOG,
          Level.INFO,
          "",
          most,
          open + closing,
          clients,
          idleClients.size(),
          lingering.size(),
          nodes(),
          idleNodes.size());
    }
  }

  /** Where fewer are allowed than are open, newcomers take the place of the idle until it fits. */
  void most(int now) {
    most = Math.max(LEAST, now);
  }

  private int nodes() {
    return open - clients - lingering.size();
  }

  /** All but those that are kept for connections that linger. */
  private boolean isFull() {
    return open - lingering.size() >= most - kept();
  }

  private int kept() {
    return Math.max(LEAST_KEPT, Math.min(MOST_KEPT, most / KEPT_SHARE));
  }

  void onFreed(Runnable then) {
    freed = then;
  }

  /** How many new clients may be admitted now; all but a share that is kept for nodes. */
  int roomForClients() {
    int share = most - most / FOR_NODES;
    // Of those who have asked fewer: they may all have to be told to go, and stay for a while.
    int inShare = Math.min(share - clients, share - kept() - (clients - unasked.size()));
    int regular = most - kept() - (open - lingering.size());
    return Math.max(0, Math.min(Math.min(inShare, regular), most - open - closing));
  }

  /**
   * How many more may be told at once that there is no room for them, and kept until they have
   * taken note.
   */
  int roomToTurnAway() {
    return Math.max(0, Math.min(kept() - lingering.size(), most - open - closing));
  }

  /** False where it may only be told that there is no room for it. */
  boolean admitsClient() {
    boolean admitted = roomForClients() > 0;
    clients++;
    open++;
    return admitted;
  }

  /**
   * For a new client: true where there is room now, or will be once a connection to a node has been
   * closed. Clients that have said nothing for a while go first, then connections to nodes, then
   * all other idle clients.
   */
  boolean makeRoomForClient(Moment now) {
    if (lingering.size() >= kept()) {
      closeNoted();
    }
    boolean told = lingering.size() < kept();
    if (told
        && !unasked.isEmpty()
        && now.since(unasked.iterator().next().idleSince()).isLongerThan(MAY_ASK)
        && evict(unasked, CloseReason.TURNED_AWAY)) {
      return true;
    }
    return (isFull() && evictIdleNode())
        || (told
            && (evict(unasked, CloseReason.TURNED_AWAY)
                || evict(idleClients, CloseReason.DESCRIPTOR_NEEDED)));
  }

  /**
   * A connection to a node; where the answer is to wait, {@link #await} tells when to ask again.
   */
  Admission admitsNode(Use use) {
    if (use == Use.WARM_UP && open + closing >= most - kept() - most / FREE_FOR_NEED) {
      return Admission.REFUSE;
    }
    boolean full = isFull();
    if (!full && open + closing < most) {
      open++;
      uses++;
      return Admission.OPEN;
    }
    // Each that is being closed has one waiting for it; one more has to be closed for one more.
    boolean isComing = !full && closing > waiting.size();
    boolean made =
        isComing
            || evictIdleNode()
            || (use == Use.EXECUTION
                && lingering.size() < kept()
                && evict(idleClients, CloseReason.DESCRIPTOR_NEEDED));
    return made ? Admission.WAIT : Admission.REFUSE;
  }

  /** The task is run once a descriptor has become free, or at once where one is. */
  void await(Runnable task) {
    waiting.add(task);
    afterNextLook.accept(this::runWaiting);
  }

  private void runWaiting() {
    for (int left = waiting.size(); left > 0 && !isFull() && open + closing < most; left--) {
      waiting.poll().run();
    }
  }

  private void closed() {
    open--;
    closing++;
    afterNextLook.accept(
        () -> {
          closing--;
          runWaiting();
          freed.run();
        });
  }

  /** It has been told to go; where a place is kept for it, its own is free for another client. */
  void lingers(EvictableClient connection) {
    if (lingering.size() < kept()) {
      clients--;
      lingering.add(connection);
    }
  }

  void clientClosed(Idle connection) {
    clients -= lingering.remove(connection) ? 0 : 1;
    closed();
  }

  void nodeClosed() {
    closed();
  }

  void idleNode(Idle connection) {
    idleNodes.add(connection);
    if (idleNodes.size() > Math.max(IDLE_NODES, IDLE_SECONDS * usesPerSecond)) {
      evictIdleNode();
    }
  }

  /** Clients that have connected and asked nothing yet. */
  int unaskedClients() {
    return unasked.size();
  }

  /** One that has asked nothing yet. */
  void unasked(Idle connection) {
    unasked.add(connection);
  }

  void asks(Idle connection) {
    unasked.remove(connection);
    asking++;
  }

  void asksNoMore() {
    asking--;
  }

  void idleClient(Idle connection) {
    idleClients.add(connection);
    tooManyAsk |= asking > most / FOR_CLIENTS;
  }

  /**
   * Where clients open a connection for each statement and keep it, those keep the next ones out:
   * of more than a share the longest idle are told to go. Not while another connection is being
   * read, which looks at no other.
   */
  void endLongestIdle() {
    for (int i = 0; tooManyAsk && i < MOST_KEPT; i++) {
      tooManyAsk = asking > most / FOR_CLIENTS && evict(idleClients, CloseReason.IDLE);
    }
    tooManyAsk = false;
  }

  void busy(Idle connection) {
    if (idleNodes.remove(connection)) {
      uses++;
    } else if (!idleClients.remove(connection)) {
      unasked.remove(connection);
    }
  }

  /**
   * Clients that asked once and stay would keep others out. They are sent away before descriptors
   * run out: clients may well be held to fewer connections than this router could admit.
   */
  void shed(Moment now, Span idleFor) {
    measure(now);
    for (int over = clients - most / FEW;
        over > 0
            && !idleClients.isEmpty()
            && now.since(idleClients.iterator().next().idleSince()).isLongerThan(idleFor);
        over--) {
      evict(idleClients, CloseReason.IDLE);
    }
  }

  private void measure(Moment now) {
    if (sweptAt != null && now.isAfter(sweptAt)) {
      double latest = uses / now.since(sweptAt).over(SECOND);
      usesPerSecond += FOLLOWS * (latest - usesPerSecond);
    }
    sweptAt = now;
    uses = 0;
  }

  /**
   * Others wait: of those that were told to go the longest ago, who has had the time that is always
   * left to it.
   */
  private void closeNoted() {
    int looked = 0;
    for (EvictableClient told : new ArrayList<>(lingering)) {
      if (!told.closeIfNoted() || ++looked == MOST_CANDIDATES) {
        return;
      }
    }
  }

  private boolean evictIdleNode() {
    return evict(idleNodes, CloseReason.DESCRIPTOR_NEEDED);
  }

  /** The longest idle that can be ended; one that turns out to be in use is passed over. */
  private static boolean evict(Set<Idle> from, CloseReason closeReason) {
    for (int i = 0; i < MOST_CANDIDATES && !from.isEmpty(); i++) {
      Idle longest = from.iterator().next();
      if (longest.endIdle(closeReason)) {
        from.remove(longest);
        return true;
      }
      if (from.remove(longest)) {
        // Still idle by its own account, as with half a statement read: the next time others come
        // first.
        from.add(longest);
      }
    }
    return false;
  }
}
