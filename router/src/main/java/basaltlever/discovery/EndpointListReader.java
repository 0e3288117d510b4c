package basaltlever.discovery;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the messages of one discovery response incrementally.
 *
 * <p>Each entry is parsed as soon as it is complete, so that parsing a long list does not block the
 * event loop in one step, and an entry can be applied before the rest of the list has arrived.
 */
public final class EndpointListReader {
  /** Receives the parsed entries and messages during {@link #read}. */
  public interface Listener {
    /** Called for an empty line, which the service sends to keep the response open. */
    void onKeepAlive();

    /** Called for each entry of a message that is not complete yet. */
    void onEntry(EndpointEntry entry);

    /** Called for each complete message, with all of its entries. */
    void onUpdate(EndpointUpdate update);
  }

  private final Listener listener;
  private final ChunkedResponseReader reader =
      new ChunkedResponseReader(this::readMessage, this::readEntry);

  /** The entries of the incomplete message. */
  private List<EndpointEntry> entries = new ArrayList<>();

  /** Creates a reader for one response. */
  public EndpointListReader(Listener listener) {
    this.listener = listener;
  }

  /** Reads the next bytes of the response; the caller keeps ownership of the buffer. */
  public void read(ByteBuf in) throws InvalidEndpointListException {
    reader.read(in);
  }

  /** Returns whether the response is complete. */
  public boolean isComplete() {
    return reader.isComplete();
  }

  private void readEntry(String text) throws InvalidEndpointListException {
    EndpointEntry entry = EndpointEntry.parse(EndpointUpdate.parseObject(text));
    entries.add(entry);
    listener.onEntry(entry);
  }

  private void readMessage(String text) throws InvalidEndpointListException {
    if (text.isEmpty()) {
      listener.onKeepAlive();
      return;
    }
    List<EndpointEntry> parsed = entries;
    entries = new ArrayList<>();
    listener.onUpdate(EndpointUpdate.parse(text, parsed));
  }
}
