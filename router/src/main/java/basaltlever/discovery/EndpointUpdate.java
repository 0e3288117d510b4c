package basaltlever.discovery;

import basaltlever.json.InvalidJsonException;
import basaltlever.json.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** One message of discovery: the whole list, or the entries that changed up to a generation. */
public record EndpointUpdate(long generation, boolean whole, List<EndpointEntry> entries) {
  /** Throws where anything of it is not sound. */
  public static EndpointUpdate of(Map<?, ?> message) throws InvalidEndpointListException {
    if (!(message.get("instances") instanceof List<?> instances)) {
      throw new InvalidEndpointListException("a list has no instances");
    }
    List<EndpointEntry> entries = new ArrayList<>(instances.size());
    for (Object instance : instances) {
      if (!(instance instanceof Map<?, ?> member)) {
        throw new InvalidEndpointListException("an entry of the list has no instanceId");
      }
      entries.add(EndpointEntry.of(member));
    }
    return new EndpointUpdate(
        (long) EndpointEntry.number(message, "generation", 0),
        Boolean.TRUE.equals(message.get("reset")),
        entries);
  }

  /** From the text of a message, with the entries that were cut out of it before. */
  static EndpointUpdate of(String message, List<EndpointEntry> cutOut)
      throws InvalidEndpointListException {
    EndpointUpdate rest = of(object(message));
    cutOut.addAll(rest.entries);
    return new EndpointUpdate(rest.generation, rest.whole, cutOut);
  }

  static Map<?, ?> object(String text) throws InvalidEndpointListException {
    try {
      if (Json.read(text) instanceof Map<?, ?> object) {
        return object;
      }
    } catch (InvalidJsonException fault) {
      throw new InvalidEndpointListException(
          "a line of the list is no JSON: " + fault.getMessage());
    }
    throw new InvalidEndpointListException("a line of the list is no object");
  }
}
