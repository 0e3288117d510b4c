package basaltlever.agree;

import basaltlever.gateway.Listing;

/** What a list says of one member, as far as routers may contradict each other by it. */
public record Said(Listing listing, int group, long startedAtMs) {
}
