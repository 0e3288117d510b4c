package basaltlever.discovery;

import basaltlever.json.InvalidJsonException;
import basaltlever.json.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A message of the discovery service: the full list, or the changed entries.
 *
 * @param generation the version of the list after this message
 * @param full whether endpoints that are missing in the message are no longer listed
 * @param entries the listed or changed endpoints
 */
public record EndpointUpdate(long generation, boolean full, List<EndpointEntry> entries) {
  /** Converts the JSON fields of a message; throws if any part is invalid. */
  public static EndpointUpdate parse(Map<?, ?> message) throws InvalidEndpointListException {
    if (!(message.get("instances") instanceof List<?> instances)) {
      throw new InvalidEndpointListException("a message of the list has no instances");
    }
    List<EndpointEntry> entries = new ArrayList<>(instances.size());
    for (Object instance : instances) {
      if (!(instance instanceof Map<?, ?> fields)) {
        throw new InvalidEndpointListException("an entry of the list has no instanceId");
      }
      entries.add(EndpointEntry.parse(fields));
    }
    return new EndpointUpdate(
        (long) EndpointEntry.parseNumber(message, "generation", 0),
        Boolean.TRUE.equals(message.get("reset")),
        entries);
  }

  /**
   * Parses a message whose entries have been parsed already.
   *
   * @param message the text of the message without these entries
   * @param entries the parsed entries; the update takes ownership of the list
   */
  static EndpointUpdate parse(String message, List<EndpointEntry> entries)
      throws InvalidEndpointListException {
    EndpointUpdate rest = parse(parseObject(message));
    entries.addAll(rest.entries);
    return new EndpointUpdate(rest.generation, rest.full, entries);
  }

  static Map<?, ?> parseObject(String text) throws InvalidEndpointListException {
    try {
      if (Json.parse(text) instanceof Map<?, ?> object) {
        return object;
      }
    } catch (InvalidJsonException fault) {
      throw new InvalidEndpointListException(
          "a message of the list is not valid JSON: " + fault.getMessage());
    }
    throw new InvalidEndpointListException("a message of the list is not a JSON object");
  }
}
