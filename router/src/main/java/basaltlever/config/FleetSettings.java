package basaltlever.config;

import basaltlever.time.Span;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;

/**
 * What the operator's file says of a fleet.
 *
 * @param name of the fleet: instances of another fleet are rejected
 * @param peers the address of each instance for other instances, by name
 * @param voters the address of each voter for other voters, by name
 * @param voterDirectory the directory in which a voter stores its term, vote and log
 * @param lease how long a router acts on a version of the settings without renewing its lease
 * @param fencingTime the time after which an unreachable router has certainly stopped acting on an
 *     older version
 * @param assignmentLifetime how long a router that is out of contact goes on using endpoints in the
 *     replica groups that it knows
 */
public record FleetSettings(
    String name,
    Map<String, InetSocketAddress> peers,
    Map<String, InetSocketAddress> voters,
    Path voterDirectory,
    Span lease,
    Span fencingTime,
    Span assignmentLifetime) {}
