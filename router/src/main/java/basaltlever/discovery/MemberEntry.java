package basaltlever.discovery;

import basaltlever.config.Addresses;
import basaltlever.gateway.Listing;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;

/**
 * What a list says of one member. The address and the zone are null where the list names none, and
 * the moment of the last start is 0 for long ago, in Unix milliseconds.
 */
public record MemberEntry(
    String id,
    InetSocketAddress address,
    String zone,
    int group,
    double weight,
    long startedAtMillis,
    Listing listing) {
  private static final double LONGEST = 1e15;

  /** Throws where the entry is not sound. */
  static MemberEntry of(Map<?, ?> member) throws ListFault {
    if (!(member.get("instanceId") instanceof String id)) {
      throw new ListFault("an entry of the list has no instanceId");
    }
    Listing listing = listing(member.get("lifecycle"));
    InetSocketAddress address =
        member.get("hostPort") instanceof String text ? Addresses.parse(text) : null;
    if (listing != Listing.GONE && address == null) {
      throw new ListFault("entry " + id + " has no hostPort");
    }
    return new MemberEntry(
        id,
        address,
        member.get("zone") instanceof String zone ? zone : null,
        (int) number(member, "cell", 0),
        number(member, "weight", 1),
        (long) number(member, "startedAtMs", 0),
        listing);
  }

  /** A state that is not known here is no invitation: nothing new goes there. */
  private static Listing listing(Object lifecycle) {
    return "in_service".equals(lifecycle)
        ? Listing.READY
        : "terminated".equals(lifecycle) ? Listing.GONE : Listing.DRAINING;
  }

  static double number(Map<?, ?> from, String name, double otherwise) throws ListFault {
    Object value = from.get(name);
    if (value == null) {
      return otherwise;
    }
    if (value instanceof BigDecimal number
        && number.doubleValue() >= 0
        && number.doubleValue() <= LONGEST) {
      return number.doubleValue();
    }
    throw new ListFault("the list's " + name + " is no number");
  }

  /** Written out: what a record makes of its own would be made at run time, on the loop. */
  @Override
  public boolean equals(Object other) {
    return other instanceof MemberEntry entry
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
  MemberEntry in(Listing other) {
    return new MemberEntry(id, address, zone, group, weight, startedAtMillis, other);
  }

  /**
   * Where this entry names no address, as one of a member that is gone may, it is still that of the
   * former one.
   */
  MemberEntry withAddressOf(MemberEntry former) {
    return address != null || former == null || former.address == null
        ? this
        : new MemberEntry(id, former.address, zone, group, weight, startedAtMillis, listing);
  }
}
