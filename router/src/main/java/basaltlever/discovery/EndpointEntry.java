package basaltlever.discovery;

import basaltlever.config.Addresses;
import basaltlever.gateway.EndpointLifecycle;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;

/**
 * An entry of the endpoint list.
 *
 * @param id the identifier of the endpoint
 * @param address its address; null if the list states none
 * @param zone its zone; null if the list states none
 * @param group the number of its replica group
 * @param weight its share of the load relative to other endpoints
 * @param startedAtMillis its last start in Unix milliseconds; 0 if that was long ago
 * @param lifecycle its listed lifecycle
 */
public record EndpointEntry(
    String id,
    InetSocketAddress address,
    String zone,
    int group,
    double weight,
    long startedAtMillis,
    EndpointLifecycle lifecycle) {
  private static final double MAX_NUMBER = 1e15;

  /** Converts the JSON fields of an entry; throws if one is invalid. */
  static EndpointEntry parse(Map<?, ?> fields) throws InvalidEndpointListException {
    if (!(fields.get("instanceId") instanceof String id)) {
      throw new InvalidEndpointListException("an entry of the list has no instanceId");
    }
    EndpointLifecycle lifecycle = parseLifecycle(fields.get("lifecycle"));
    InetSocketAddress address =
        fields.get("hostPort") instanceof String text ? Addresses.parse(text) : null;
    if (lifecycle != EndpointLifecycle.GONE && address == null) {
      throw new InvalidEndpointListException("entry " + id + " of the list has no valid hostPort");
    }
    return new EndpointEntry(
        id,
        address,
        fields.get("zone") instanceof String zone ? zone : null,
        (int) parseNumber(fields, "cell", 0),
        parseNumber(fields, "weight", 1),
        (long) parseNumber(fields, "startedAtMs", 0),
        lifecycle);
  }

  /**
   * Maps unknown states to draining, so that an endpoint in such a state gets no new statements.
   */
  private static EndpointLifecycle parseLifecycle(Object text) {
    if ("in_service".equals(text)) {
      return EndpointLifecycle.READY;
    }
    return "terminated".equals(text) ? EndpointLifecycle.GONE : EndpointLifecycle.DRAINING;
  }

  static double parseNumber(Map<?, ?> fields, String name, double defaultValue)
      throws InvalidEndpointListException {
    Object value = fields.get(name);
    if (value == null) {
      return defaultValue;
    }
    if (value instanceof BigDecimal decimal) {
      double number = decimal.doubleValue();
      if (number >= 0 && number <= MAX_NUMBER) {
        return number;
      }
    }
    throw new InvalidEndpointListException("the list's " + name + " is not a valid number");
  }

  /**
   * Replaces the record's generated method, which is linked at its first call and would block the
   * event loop then.
   */
  @Override
  public boolean equals(Object other) {
    return other instanceof EndpointEntry entry
        && id.equals(entry.id)
        && Objects.equals(address, entry.address)
        && Objects.equals(zone, entry.zone)
        && group == entry.group
        && Double.compare(weight, entry.weight) == 0
        && startedAtMillis == entry.startedAtMillis
        && lifecycle == entry.lifecycle;
  }

  @Override
  public int hashCode() {
    return id.hashCode();
  }

  /** Returns a copy of this entry with another lifecycle. */
  EndpointEntry withLifecycle(EndpointLifecycle lifecycle) {
    return new EndpointEntry(id, address, zone, group, weight, startedAtMillis, lifecycle);
  }

  /**
   * Returns this entry, with the address of the previous entry if it has none. Entries of removed
   * endpoints may lack an address.
   *
   * @param previous the previous entry; may be null
   */
  EndpointEntry withAddressFrom(EndpointEntry previous) {
    if (address != null || previous == null || previous.address == null) {
      return this;
    }
    return new EndpointEntry(id, previous.address, zone, group, weight, startedAtMillis, lifecycle);
  }
}
