package basaltlever.gateway;

import basaltlever.time.Span;

/** What a router may do for one statement. */
public record AttemptLimits(
    int maxAttempts,
    boolean hedgingEnabled,
    boolean cancellationEnabled,
    boolean pollingEnabled,
    Span maxRetryAfter,
    Span responseMargin) {}
