package basaltlever.gateway;

import basaltlever.time.Span;

/** What a router may do for one statement. */
public record AttemptLimits(
    int maxAttempts,
    boolean hedgedRequests,
    boolean cancels,
    boolean polls,
    Span maxRetryAfter,
    Span answerSlack) {}
