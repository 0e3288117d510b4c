package basaltlever.balancer;

import io.netty.util.collection.LongObjectHashMap;

/**
 * Decides whether a statement may start, by its id: clients use a new id for each request, so an id
 * that is open or was executed must not be executed again. Each id is represented by its hash.
 *
 * <p>Remembers at least the last {@link #WINDOW_IDS} executed ids. An id of which nothing was sent
 * is forgotten, since its rejection tells the client that it may come again.
 */
public final class StatementIds {
  /** After this many further executed ids, an id may be forgotten. */
  public static final int WINDOW_IDS = 1 << 16;

  private static final int TABLE_CAPACITY = 2 * WINDOW_IDS;
  private static final float LOAD_FACTOR = 0.6f;

  /** Statements in progress, in which nothing may have been executed yet. */
  private final LongObjectHashMap<Boolean> open = new LongObjectHashMap<>();

  /** The latest executed ids, and those before them. Both have their final size at the start. */
  private LongObjectHashMap<Boolean> latest = newTable();

  private LongObjectHashMap<Boolean> earlier = newTable();

  private static LongObjectHashMap<Boolean> newTable() {
    return new LongObjectHashMap<>(TABLE_CAPACITY, LOAD_FACTOR);
  }

  /** Opens an id; returns false if it is open or was executed. */
  public boolean open(long id) {
    if (latest.containsKey(id) || earlier.containsKey(id)) {
      return false;
    }
    return open.put(id, Boolean.TRUE) == null;
  }

  /** Records that a statement with this id is being sent. */
  public void markExecuted(long id) {
    if (earlier.containsKey(id) || latest.put(id, Boolean.TRUE) != null) {
      return;
    }
    if (latest.size() >= WINDOW_IDS) {
      LongObjectHashMap<Boolean> oldest = earlier;
      earlier = latest;
      latest = oldest;
      latest.clear();
    }
  }

  /** Closes an open id, whose statement has ended. */
  public void close(long id) {
    open.remove(id);
  }
}
