package basaltlever.gateway;

import basaltlever.time.Moment;

/**
 * A statement as its client sends it.
 *
 * @param workloadIndex place of its workload in the settings
 * @param group the group that it addresses
 * @param session the client's session; 0 where it has none
 * @param clientDeadline until when the client waits
 * @param lastCommit the session's last write, where statements carry it
 * @param textBytes bytes of its text, as far as it is kept
 */
public record StatementRequest(
    int workloadIndex,
    int group,
    long session,
    Moment clientDeadline,
    Moment lastCommit,
    int textBytes) {}
