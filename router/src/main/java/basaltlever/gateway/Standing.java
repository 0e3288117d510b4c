package basaltlever.gateway;

/** Where this router stands among the others, and what a poll and a crossing between zones cost it. */
public record Standing(int routers, int zone, double pollPrice, double crossingPrice) {
    public boolean isPricedTo(int other) {
        return other != zone && crossingPrice > 0;
    }
}
