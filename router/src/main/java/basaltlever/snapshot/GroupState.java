package basaltlever.snapshot;

/**
 * What was learned of one group.
 *
 * @param jam share of its reads that busy replicas answered late or not at all, 0 to 1
 * @param primaryJam the same of its primary
 */
public record GroupState(int group, double jam, double primaryJam) {}
