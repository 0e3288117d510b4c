package basaltlever.discovery;

import basaltlever.config.Addresses;
import basaltlever.gateway.EndpointLifecycle;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;

/**
 * One endpoint of the endpoint list.
 *
 * @param id the identifier of the endpoint
 * @param address null if the list states none
 * @param zone null if the list states none
 * @param group the replica group
 * @param weight the share of load relative to other endpoints
 * @param startedAtMillis when it started last, in Unix milliseconds; 0 if long ago
 * @param lifecycle its lifecycle as listed
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

  /** Converts a parsed entry; throws if it is invalid. */
  static EndpointEntry parse(Map<?, ?> fields) throws InvalidEndpointListException {
    if (!(fields.get("instanceId") instanceof String id)) {
      throw new InvalidEndpointListException("an entry of the list has no instanceId");
    }
    EndpointLifecycle lifecycle = parseLifecycle(fields.get("lifecycle"));
    InetSocketAddress address =
        fields.get("hostPort") instanceof String text ? Addresses.parse(text) : null;
    if (lifecycle != EndpointLifecycle.GONE && address == null) {
      throw new InvalidEndpointListException("entry " + id + " has no hostPort");
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

  /** Unknown states count as draining, so that an endpoint in one gets no new statements. */
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
    throw new InvalidEndpointListException("the list's " + name + " is no number");
  }

  /**
   * Written out since the generated method of a record is linked at its first call, which would
   * block the event loop.
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

  /** The same endpoint in another state. */
  EndpointEntry withLifecycle(EndpointLifecycle lifecycle) {
    return new EndpointEntry(id, address, zone, group, weight, startedAtMillis, lifecycle);
  }

  /**
   * This entry with the address of the previous one if it states none itself, as entries of
   * endpoints that are gone may.
   *
   * @param previous may be null
   */
  EndpointEntry withAddressFrom(EndpointEntry previous) {
    if (address != null || previous == null || previous.address == null) {
      return this;
    }
    return new EndpointEntry(id, previous.address, zone, group, weight, startedAtMillis, lifecycle);
  }
}
