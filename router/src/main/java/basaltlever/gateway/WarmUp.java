package basaltlever.gateway;

import basaltlever.time.Span;

/** How a node that has just started gains strength, and what topples it. */
public record WarmUp(double coldFrom, Span warmAfter, double topplesAt, Span topplesIn) {
}
