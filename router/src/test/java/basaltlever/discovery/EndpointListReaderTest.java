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
 * Lists of thousands of entries as discovery may write them: in pieces, indented, cut off, several
 * in a row.
 */
class EndpointListReaderTest {
  private static final int LONG = 3_200;

  private static final class RecordingListener implements EndpointListReader.Listener {
    final List<EndpointEntry> entries = new ArrayList<>();
    final List<EndpointUpdate> updates = new ArrayList<>();

    @Override
    public void keepAlive() {}

    @Override
    public void entry(EndpointEntry entry) {
      entries.add(entry);
    }

    @Override
    public void update(EndpointUpdate update) {
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
    boolean namesFirst = random.nextBoolean();
    String head = "\"generation\":" + generation + "," + separator + "\"reset\":true";
    text.append('{')
        .append(separator)
        .append(namesFirst ? head + "," : "")
        .append("\"instances\": [")
        .append(separator);
    for (int i = 0; i < entries; i++) {
      text.append(i == 0 ? "" : "," + separator)
          .append(entry(i, i == draining ? "terminating" : "in_service", separator));
    }
    return text.append(separator)
        .append(']')
        .append(namesFirst ? "" : "," + head)
        .append(separator)
        .append('}')
        .toString();
  }

  private static void read(
      EndpointListReader reader, String text, SplittableRandom random, int largest)
      throws InvalidEndpointListException {
    for (int at = 0; at < text.length(); ) {
      int size = Math.min(text.length() - at, 1 + random.nextInt(largest));
      reader.read(Unpooled.copiedBuffer(text.substring(at, at + size), StandardCharsets.US_ASCII));
      at += size;
    }
  }

  @Property(tries = 80, seed = "3838", shrinking = ShrinkingMode.OFF)
  void consecutiveListsAreReadAlikeHoweverTheyAreSplit(@ForAll long seed)
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
        listener.updates.size() == lists, "each list: " + listener.updates.size() + " of " + lists);
    int total = 0;
    for (int i = 0; i < lists; i++) {
      EndpointUpdate update = listener.updates.get(i);
      check(
          update.generation() == i + 5 && update.full() && update.entries().size() == sizes[i],
          "list " + i);
      check(
          update.equals(
              EndpointUpdate.of(
                  EndpointUpdate.parseObject(
                      list(
                          new SplittableRandom(1),
                          i + 5,
                          sizes[i],
                          update.entries().stream()
                              .map(EndpointEntry::lifecycle)
                              .toList()
                              .indexOf(EndpointLifecycle.DRAINING))))),
          "the entries as a parser of whole texts reads them");
      total += sizes[i];
    }
    check(listener.entries.size() == total, "each entry is reported once");
  }

  @Example
  void entryIsReportedBeforeItsListIsComplete() throws InvalidEndpointListException {
    SplittableRandom random = new SplittableRandom(1);
    String list = list(random, 9, LONG, 7);
    RecordingListener listener = new RecordingListener();
    EndpointListReader reader = new EndpointListReader(listener);
    read(reader, "HTTP/1.1 200 OK\r\n\r\n" + list.substring(0, list.length() / 2), random, 8_192);
    check(
        listener.updates.isEmpty() && listener.entries.size() > LONG / 3,
        "half of it: " + listener.entries.size());
    check(
        listener.entries.get(7).lifecycle() == EndpointLifecycle.DRAINING, "the drain is among it");
    read(reader, list.substring(list.length() / 2), random, 8_192);
    check(
        listener.updates.size() == 1 && listener.updates.get(0).entries().size() == LONG,
        "and the whole");
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
        check(false, "taken: " + bad);
      } catch (InvalidEndpointListException fault) {
        check(listener.updates.isEmpty() && !fault.getMessage().isEmpty(), "it says what");
      }
    }
  }
}
