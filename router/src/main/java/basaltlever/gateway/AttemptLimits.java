package basaltlever.gateway;

import basaltlever.time.Span;

/**
 * Limits on what a router does for one statement.
 *
 * @param maxAttempts the maximum number of attempts
 * @param hedgingEnabled whether several attempts may be in flight at the same time
 * @param cancellationEnabled whether attempts in flight may be cancelled
 * @param pollingEnabled whether endpoints may be polled for load reports
 * @param maxRetryAfter the longest retry delay recommended to a rejected client
 * @param responseMargin the part of the client's deadline reserved for returning the response
 */
public record AttemptLimits(
    int maxAttempts,
    boolean hedgingEnabled,
    boolean cancellationEnabled,
    boolean pollingEnabled,
    Span maxRetryAfter,
    Span responseMargin) {}
