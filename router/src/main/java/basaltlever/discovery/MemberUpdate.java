package basaltlever.discovery;

import basaltlever.json.Json;
import basaltlever.json.JsonFault;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** One message of discovery: the whole list, or the entries that changed up to a generation. */
public record MemberUpdate(long generation, boolean whole, List<MemberEntry> entries) {
  /** Throws where anything of it is not sound. */
  public static MemberUpdate of(Map<?, ?> message) throws ListFault {
    if (!(message.get("instances") instanceof List<?> instances)) {
      throw new ListFault("a list has no instances");
    }
    List<MemberEntry> entries = new ArrayList<>(instances.size());
    for (Object instance : instances) {
      if (!(instance instanceof Map<?, ?> member)) {
        throw new ListFault("an entry of the list has no instanceId");
      }
      entries.add(MemberEntry.of(member));
    }
    return new MemberUpdate(
        (long) MemberEntry.number(message, "generation", 0),
        Boolean.TRUE.equals(message.get("reset")),
        entries);
  }

  /** From the text of a message, with the entries that were cut out of it before. */
  static MemberUpdate of(String message, List<MemberEntry> cutOut) throws ListFault {
    MemberUpdate rest = of(object(message));
    cutOut.addAll(rest.entries);
    return new MemberUpdate(rest.generation, rest.whole, cutOut);
  }

  static Map<?, ?> object(String text) throws ListFault {
    try {
      if (Json.read(text) instanceof Map<?, ?> object) {
        return object;
      }
    } catch (JsonFault fault) {
      throw new ListFault("a line of the list is no JSON: " + fault.getMessage());
    }
    throw new ListFault("a line of the list is no object");
  }
}
