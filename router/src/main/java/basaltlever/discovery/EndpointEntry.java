package basaltlever.discovery;

import basaltlever.config.Addresses;
import basaltlever.gateway.EndpointLifecycle;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;

/**
 * What a list says of one member. The address and the zone are null where the list names none, and
 * the moment of the last start is 0 for long ago, in Unix milliseconds.
 */
public record EndpointEntry(
    String id,
    InetSocketAddress address,
    String zone,
    int group,
    double weight,
    long startedAtMillis,
    EndpointLifecycle listing) {
  private static final double LONGEST = 1e15;

  /** Throws where the entry is not sound. */
  static EndpointEntry of(Map<?, ?> member) throws InvalidEndpointListException {
    if (!(member.get("instanceId") instanceof String id)) {
      throw new InvalidEndpointListException("an entry of the list has no instanceId");
    }
    EndpointLifecycle listing = listing(member.get("lifecycle"));
    InetSocketAddress address =
        member.get("hostPort") instanceof String text ? Addresses.parse(text) : null;
    if (listing != EndpointLifecycle.GONE && address == null) {
      throw new InvalidEndpointListException("entry " + id + " has no hostPort");
    }
    return new EndpointEntry(
        id,
        address,
        member.get("zone") instanceof String zone ? zone : null,
        (int) number(member, "cell", 0),
        number(member, "weight", 1),
        (long) number(member, "startedAtMs", 0),
        listing);
  }

  /** A state that is not known here is no invitation: nothing new goes there. */
  private static EndpointLifecycle listing(Object lifecycle) {
    return "in_service".equals(lifecycle)
        ? EndpointLifecycle.READY
        : "terminated".equals(lifecycle) ? EndpointLifecycle.GONE : EndpointLifecycle.DRAINING;
  }

  static double number(Map<?, ?> from, String name, double otherwise)
      throws InvalidEndpointListException {
    Object value = from.get(name);
    if (value == null) {
      return otherwise;
    }
    if (value instanceof BigDecimal number
        && number.doubleValue() >= 0
        && number.doubleValue() <= LONGEST) {
      return number.doubleValue();
    }
    throw new InvalidEndpointListException("the list's " + name + " is no number");
  }

  /** Written out: what a record makes of its own would be made at run time, on the loop. */
  @Override
  public boolean equals(Object other) {
    return other instanceof EndpointEntry entry
        && id.equals(entry.id)
        && Objects.equals(address, entry.address)
        && Objects.equals(zone, entry.zone)
        && group == entry.group
        && Double.compare(weight, entry.weight) == 0
        && startedAtMillis == entry.startedAtMillis
        && listing == entry.listing;
  }

  @Override
  public int hashCode() {
    return id.hashCode();
  }

  /** The same member in another state. */
  EndpointEntry in(EndpointLifecycle other) {
    return new EndpointEntry(id, address, zone, group, weight, startedAtMillis, other);
  }

  /**
   * Where this entry names no address, as one of a member that is gone may, it is still that of the
   * former one.
   */
  EndpointEntry withAddressOf(EndpointEntry former) {
    return address != null || former == null || former.address == null
        ? this
        : new EndpointEntry(id, former.address, zone, group, weight, startedAtMillis, listing);
  }
}
