package basaltlever.core;

import java.util.Arrays;

/**
 * Maps external ids to small indices without boxing. Uses open addressing with a load factor of at
 * most one half.
 */
final class IdIndex {
  private static final long FREE = -1;
  private long[] ids = new long[64];
  private int[] indices = new int[64];
  private int size;

  IdIndex() {
    Arrays.fill(ids, FREE);
  }

  /** Returns the index of the id, or -1 if the id is unknown. */
  int find(long id) {
    int slot = slotOf(id);
    return ids[slot] == id ? indices[slot] : -1;
  }

  void put(long id, int index) {
    if (2 * size >= ids.length) {
      grow();
    }
    int slot = slotOf(id);
    if (ids[slot] == FREE) {
      size++;
    }
    ids[slot] = id;
    indices[slot] = index;
  }

  void remove(long id) {
    int slot = slotOf(id);
    if (ids[slot] != id) {
      return;
    }
    ids[slot] = FREE;
    size--;
    // Lookups stop at a free slot, so the entries of the same run after it are reinserted.
    int mask = ids.length - 1;
    for (int next = (slot + 1) & mask; ids[next] != FREE; next = (next + 1) & mask) {
      long moved = ids[next];
      ids[next] = FREE;
      int freeSlot = slotOf(moved);
      ids[freeSlot] = moved;
      indices[freeSlot] = indices[next];
    }
  }

  private int slotOf(long id) {
    int slot = (int) ((id * 0x9E3779B97F4A7C15L) >>> 40) & (ids.length - 1);
    while (ids[slot] != FREE && ids[slot] != id) {
      slot = (slot + 1) & (ids.length - 1);
    }
    return slot;
  }

  private void grow() {
    long[] oldIds = ids;
    int[] oldIndices = indices;
    ids = new long[2 * oldIds.length];
    indices = new int[ids.length];
    Arrays.fill(ids, FREE);
    for (int i = 0; i < oldIds.length; i++) {
      if (oldIds[i] != FREE) {
        int slot = slotOf(oldIds[i]);
        ids[slot] = oldIds[i];
        indices[slot] = oldIndices[i];
      }
    }
  }
}
