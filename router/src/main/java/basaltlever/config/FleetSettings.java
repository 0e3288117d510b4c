package basaltlever.config;

import basaltlever.time.Span;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;

/**
 * The section on the fleet of an operator's file.
 *
 * @param name of the fleet: instances of another fleet are rejected
 * @param peers the address of each instance for other instances, by name
 * @param voters the address of each voter for other voters, by name
 * @param voterDirectory the directory in which a voter stores its term, vote and log
 * @param lease how long a router applies a version of the settings without renewing its lease
 * @param fencingTime the time after which an unreachable router has certainly stopped applying an
 *     older version
 * @param assignmentLifetime how long a router that is out of contact continues to use endpoints in
 *     the replica groups last assigned to them
 */
public record FleetSettings(
    String name,
    Map<String, InetSocketAddress> peers,
    Map<String, InetSocketAddress> voters,
    Path voterDirectory,
    Span lease,
    Span fencingTime,
    Span assignmentLifetime) {}
