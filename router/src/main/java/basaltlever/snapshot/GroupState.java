package basaltlever.snapshot;

/**
 * The state that a router has learned about one replica group.
 *
 * @param group the number of the group
 * @param congestion congestion of its replicas: the fraction of reads to which they responded late
 *     or not at all because they were busy, 0 to 1
 * @param primaryCongestion congestion of its primary, measured in the same way
 */
public record GroupState(int group, double congestion, double primaryCongestion) {}
