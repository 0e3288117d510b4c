package basaltlever.discovery;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the messages of one answer of discovery as their bytes come: each entry is parsed once it
 * is whole, so that no read has to go over a long list at once, and what an entry says can be acted
 * on while others are still to come.
 */
public final class EndpointListReader {
  /** What is read; called from within {@link #read}. */
  public interface Listener {
    /** A line with nothing on it: discovery says that the answer goes on. */
    void keepAlive();

    /** One entry of a message that has not come whole yet. */
    void entry(EndpointEntry entry);

    /** A whole message, with all of its entries. */
    void update(EndpointUpdate update);
  }

  private final Listener listener;
  private final ChunkedResponseReader reader = new ChunkedResponseReader(this::object, this::entry);
  private List<EndpointEntry> entries = new ArrayList<>();

  public EndpointListReader(Listener listener) {
    this.listener = listener;
  }

  public void read(ByteBuf in) throws InvalidEndpointListException {
    reader.read(in);
  }

  /** True once the answer has ended. */
  public boolean isOver() {
    return reader.isOver();
  }

  private void entry(String text) throws InvalidEndpointListException {
    EndpointEntry entry = EndpointEntry.of(EndpointUpdate.object(text));
    entries.add(entry);
    listener.entry(entry);
  }

  private void object(String text) throws InvalidEndpointListException {
    if (text.isEmpty()) {
      listener.keepAlive();
      return;
    }
    List<EndpointEntry> cutOut = entries;
    entries = new ArrayList<>();
    listener.update(EndpointUpdate.of(text, cutOut));
  }
}
