package basaltlever.gateway;

import basaltlever.time.Span;

/** What a router may do for one statement. */
public record AttemptLimits(
    int executions,
    boolean secondCopies,
    boolean cancels,
    boolean polls,
    Span longestComeBack,
    Span answerSlack) {}
