package basaltlever.discovery;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the messages of one answer of discovery as their bytes come: each entry is parsed once it
 * is whole, so that no read has to go over a long list at once, and what an entry says can be acted
 * on while others are still to come.
 */
public final class ListReader {
  /** What is read; called from within {@link #read}. */
  public interface Listener {
    /** A line with nothing on it: discovery says that the answer goes on. */
    void keepAlive();

    /** One entry of a message that has not come whole yet. */
    void entry(MemberEntry entry);

    /** A whole message, with all of its entries. */
    void update(MemberUpdate update);
  }

  private final Listener listener;
  private final ChunkReader reader = new ChunkReader(this::object, this::entry);
  private List<MemberEntry> entries = new ArrayList<>();

  public ListReader(Listener listener) {
    this.listener = listener;
  }

  public void read(ByteBuf in) throws ListFault {
    reader.read(in);
  }

  /** True once the answer has ended. */
  public boolean isOver() {
    return reader.isOver();
  }

  private void entry(String text) throws ListFault {
    MemberEntry entry = MemberEntry.of(MemberUpdate.object(text));
    entries.add(entry);
    listener.entry(entry);
  }

  private void object(String text) throws ListFault {
    if (text.isEmpty()) {
      listener.keepAlive();
      return;
    }
    List<MemberEntry> cutOut = entries;
    entries = new ArrayList<>();
    listener.update(MemberUpdate.of(text, cutOut));
  }
}
