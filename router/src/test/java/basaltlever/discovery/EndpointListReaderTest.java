package basaltlever.discovery;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.gateway.EndpointLifecycle;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Tests the reading of endpoint lists in the forms that the discovery service may send: thousands
 * of entries, arbitrary pieces, indented, incomplete, several in a row.
 */
class EndpointListReaderTest {
  private static final int LONG_LIST_ENTRIES = 3_200;

  private static final class RecordingListener implements EndpointListReader.Listener {
    final List<EndpointEntry> entries = new ArrayList<>();
    final List<EndpointUpdate> updates = new ArrayList<>();

    @Override
    public void onKeepAlive() {}

    @Override
    public void onEntry(EndpointEntry entry) {
      entries.add(entry);
    }

    @Override
    public void onUpdate(EndpointUpdate update) {
      updates.add(update);
    }
  }

  private static String entry(int number, String lifecycle, String separator) {
    return "{\"instanceId\": \"s-"
        + number
        + "\","
        + separator
        + "\"hostPort\":\"127.0.0.1:"
        + (1_000 + number)
        + "\",\"zone\":\"a]},{\",\"machineType\":{\"name\":\"m\"},\"cell\":"
        + number / 5
        + ",\"lifecycle\":\""
        + lifecycle
        + "\",\"weight\":1.0,"
        + separator
        + "\"startedAtMs\":0}";
  }

  private static String list(SplittableRandom random, int generation, int entries, int draining) {
    String separator = random.nextBoolean() ? "\n      " : "";
    StringBuilder text = new StringBuilder();
    boolean headFirst = random.nextBoolean();
    String head = "\"generation\":" + generation + "," + separator + "\"reset\":true";
    text.append('{')
        .append(separator)
        .append(headFirst ? head + "," : "")
        .append("\"instances\": [")
        .append(separator);
    for (int i = 0; i < entries; i++) {
      text.append(i == 0 ? "" : "," + separator)
          .append(entry(i, i == draining ? "terminating" : "in_service", separator));
    }
    return text.append(separator)
        .append(']')
        .append(headFirst ? "" : "," + head)
        .append(separator)
        .append('}')
        .toString();
  }

  private static void read(
      EndpointListReader reader, String text, SplittableRandom random, int maxChunkBytes)
      throws InvalidEndpointListException {
    for (int offset = 0; offset < text.length(); ) {
      int size = Math.min(text.length() - offset, 1 + random.nextInt(maxChunkBytes));
      reader.read(
          Unpooled.copiedBuffer(text.substring(offset, offset + size), StandardCharsets.US_ASCII));
      offset += size;
    }
  }

  @Property(tries = 80, seed = "3838", shrinking = ShrinkingMode.OFF)
  void consecutiveListsAreParsedIdenticallyHoweverTheyAreSplit(@ForAll long seed)
      throws InvalidEndpointListException {
    SplittableRandom random = new SplittableRandom(seed);
    RecordingListener listener = new RecordingListener();
    EndpointListReader reader = new EndpointListReader(listener);
    StringBuilder body = new StringBuilder();
    int lists = 1 + random.nextInt(4);
    int[] sizes = new int[lists];
    for (int i = 0; i < lists; i++) {
      sizes[i] = random.nextInt(40);
      body.append(list(random, i + 5, sizes[i], random.nextInt(40)))
          .append(random.nextBoolean() ? "\n" : "");
    }
    read(reader, "HTTP/1.1 200 OK\r\n\r\n" + body, random, 1 + random.nextInt(300));
    check(
        listener.updates.size() == lists,
        "each list is reported once: " + listener.updates.size() + " of " + lists);
    int total = 0;
    for (int i = 0; i < lists; i++) {
      EndpointUpdate update = listener.updates.get(i);
      check(
          update.generation() == i + 5 && update.full() && update.entries().size() == sizes[i],
          "generation, reset flag and entry count of list " + i);
      check(
          update.equals(
              EndpointUpdate.parse(
                  EndpointUpdate.parseObject(
                      list(
                          new SplittableRandom(1),
                          i + 5,
                          sizes[i],
                          update.entries().stream()
                              .map(EndpointEntry::lifecycle)
                              .toList()
                              .indexOf(EndpointLifecycle.DRAINING))))),
          "the entries equal those of a parser of the complete text");
      total += sizes[i];
    }
    check(listener.entries.size() == total, "each entry is reported once");
  }

  @Example
  void entryIsReportedBeforeItsListIsComplete() throws InvalidEndpointListException {
    SplittableRandom random = new SplittableRandom(1);
    String list = list(random, 9, LONG_LIST_ENTRIES, 7);
    RecordingListener listener = new RecordingListener();
    EndpointListReader reader = new EndpointListReader(listener);
    read(reader, "HTTP/1.1 200 OK\r\n\r\n" + list.substring(0, list.length() / 2), random, 8_192);
    check(
        listener.updates.isEmpty() && listener.entries.size() > LONG_LIST_ENTRIES / 3,
        "entries are reported before their list is complete: " + listener.entries.size());
    check(
        listener.entries.get(7).lifecycle() == EndpointLifecycle.DRAINING,
        "the draining endpoint is reported early");
    read(reader, list.substring(list.length() / 2), random, 8_192);
    check(
        listener.updates.size() == 1
            && listener.updates.get(0).entries().size() == LONG_LIST_ENTRIES,
        "the complete list is reported with all entries");
  }

  @Example
  void invalidListIsRejectedWithAMessageAndNotReported() {
    for (String bad :
        List.of(
            "{\"instances\":[{}]}",
            "{\"instances\":[{\"instanceId\":\"a\"}]}",
            "{\"instances\":[4]}",
            "{\"instances\":[{\"instanceId\":\"a\",\"hostPort\":\"127.0.0.1:5\",\"cell\":\"x\"}]}",
            "{}",
            "{\"instances\":[{\"instanceId\":\"a\",\"lifecycle\":\"terminated\"}],\"generation\":-1}")) {
      RecordingListener listener = new RecordingListener();
      try {
        new EndpointListReader(listener)
            .read(
                Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\n\r\n" + bad, StandardCharsets.US_ASCII));
        check(false, "invalid list was accepted: " + bad);
      } catch (InvalidEndpointListException fault) {
        check(
            listener.updates.isEmpty() && !fault.getMessage().isEmpty(),
            "no update is reported, and the exception has a message");
      }
    }
  }
}
