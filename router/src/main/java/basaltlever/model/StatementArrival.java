package basaltlever.model;

import basaltlever.gateway.Workload;
import basaltlever.time.Moment;
import basaltlever.time.Span;

/**
 * What is known of a statement when it arrives.
 *
 * @param workloadIndex place of its workload in the settings
 * @param workload the terms in force when it arrived; a change of settings does not alter them
 * @param session the client's session; 0 where it has none
 * @param receivedAt when it arrived
 * @param clientDeadline until when its client waits
 * @param requiredPosition what its data must hold at least; with bounded staleness this moves with
 *     the clock instead
 * @param textBytes bytes of its text, as far as it is kept
 * @param scanDelay how long this router's scans of its statements had been delayed by then, in all
 */
public record StatementArrival(
    int workloadIndex,
    Workload workload,
    long session,
    Moment receivedAt,
    Moment clientDeadline,
    Moment requiredPosition,
    int textBytes,
    Span scanDelay) {}
