package basaltlever.config;

import basaltlever.time.Span;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;

/**
 * What an operator says of a fleet.
 *
 * @param name of the fleet: instances of another are turned away
 * @param peers where each instance is spoken to, by its name
 * @param voters where those that vote speak with each other, by their names
 * @param folder what a voter keeps its term, vote and log in
 * @param lease how long a router acts on what it was told
 * @param stated within which a router that can't be reached has ceased to act on an older version
 * @param assigned for how long a router that hears nothing goes on using members in the groups that
 *     it knows
 */
public record FleetSettings(
    String name,
    Map<String, InetSocketAddress> peers,
    Map<String, InetSocketAddress> voters,
    Path folder,
    Span lease,
    Span stated,
    Span assigned) {}
