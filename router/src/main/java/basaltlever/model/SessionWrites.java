package basaltlever.model;

import basaltlever.time.Moment;
import java.util.LinkedHashMap;
import java.util.Map;

/** When each session last wrote through this router, of as many sessions as are kept. */
public final class SessionWrites {
  private final int maxSessions;
  private final LinkedHashMap<Long, Moment> writes = new LinkedHashMap<>();
  private Moment forgotten = Moment.LONG_AGO;

  /** Remembers at most so many sessions. */
  public SessionWrites(int maxSessions) {
    this.maxSessions = maxSessions;
  }

  /** When the session last wrote; for a forgotten session no earlier than it did. */
  public Moment lastWrite(long session) {
    return writes.getOrDefault(session, forgotten);
  }

  /** The session has committed a write. */
  public void recordWrite(long session, Moment commit) {
    Moment earlier = writes.remove(session);
    writes.put(session, earlier == null ? commit : commit.later(earlier));
    if (writes.size() > maxSessions) {
      // A forgotten session's reads must still see its write, so all unknown ones must see as much.
      Map.Entry<Long, Moment> oldest = writes.entrySet().iterator().next();
      forgotten = forgotten.later(oldest.getValue());
      writes.remove(oldest.getKey());
    }
  }
}
