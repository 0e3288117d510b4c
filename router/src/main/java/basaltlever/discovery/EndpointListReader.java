package basaltlever.discovery;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the messages of one discovery response as its bytes arrive.
 *
 * <p>Each entry is parsed as soon as it is complete. So a long list never blocks the event loop in
 * one piece, and an entry can be acted on while others are still to come.
 */
public final class EndpointListReader {
  /** Receives what is read, from within {@link #read}. */
  public interface Listener {
    /** An empty line: the service keeps the response open. */
    void onKeepAlive();

    /** One entry of a message that is not complete yet. */
    void onEntry(EndpointEntry entry);

    /** A complete message, with all of its entries. */
    void onUpdate(EndpointUpdate update);
  }

  private final Listener listener;
  private final ChunkedResponseReader reader =
      new ChunkedResponseReader(this::readMessage, this::readEntry);

  /** The entries of the message that is not complete yet. */
  private List<EndpointEntry> entries = new ArrayList<>();

  /** Creates a reader of one response. */
  public EndpointListReader(Listener listener) {
    this.listener = listener;
  }

  /** Reads the next bytes of the response; the buffer stays with the caller. */
  public void read(ByteBuf in) throws InvalidEndpointListException {
    reader.read(in);
  }

  /** Whether the response has ended. */
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
    listener.onUpdate(EndpointUpdate.of(text, parsed));
  }
}
