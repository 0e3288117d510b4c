package basaltlever.core;

import java.util.Arrays;

/** Maps the wire's ids to small indices without boxing; open addressing, kept at most half full. */
final class IdIndex {
  private static final long FREE = -1;
  private long[] ids = new long[64];
  private int[] indices = new int[64];
  private int size;

  IdIndex() {
    Arrays.fill(ids, FREE);
  }

  /** The index of the id, or -1. */
  int find(long id) {
    int at = slot(id);
    return ids[at] == id ? indices[at] : -1;
  }

  void put(long id, int index) {
    if (2 * size >= ids.length) {
      grow();
    }
    int at = slot(id);
    if (ids[at] == FREE) {
      size++;
    }
    ids[at] = id;
    indices[at] = index;
  }

  void remove(long id) {
    int at = slot(id);
    if (ids[at] != id) {
      return;
    }
    ids[at] = FREE;
    size--;
    // Later entries of the same run would no longer be found past the gap: they are laid anew.
    int mask = ids.length - 1;
    for (int next = (at + 1) & mask; ids[next] != FREE; next = (next + 1) & mask) {
      long moved = ids[next];
      ids[next] = FREE;
      int free = slot(moved);
      ids[free] = moved;
      indices[free] = indices[next];
    }
  }

  private int slot(long id) {
    int at = (int) ((id * 0x9E3779B97F4A7C15L) >>> 40) & (ids.length - 1);
    while (ids[at] != FREE && ids[at] != id) {
      at = (at + 1) & (ids.length - 1);
    }
    return at;
  }

  private void grow() {
    long[] oldIds = ids;
    int[] oldIndices = indices;
    ids = new long[2 * oldIds.length];
    indices = new int[ids.length];
    Arrays.fill(ids, FREE);
    for (int i = 0; i < oldIds.length; i++) {
      if (oldIds[i] != FREE) {
        int at = slot(oldIds[i]);
        ids[at] = oldIds[i];
        indices[at] = oldIndices[i];
      }
    }
  }
}
