package basaltlever.model;

import basaltlever.time.Moment;
import java.util.LinkedHashMap;
import java.util.Map;

/** When each session last wrote through this router, of as many sessions as are kept. */
public final class SessionWrites {
  private final int maxSessions;
  private final LinkedHashMap<Long, Moment> lastWriteBySession = new LinkedHashMap<>();
  private Moment latestEvictedWrite = Moment.LONG_AGO;

  /** Remembers at most so many sessions. */
  public SessionWrites(int maxSessions) {
    this.maxSessions = maxSessions;
  }

  /** When the session last wrote; for a forgotten session no earlier than it did. */
  public Moment lastWrite(long session) {
    return lastWriteBySession.getOrDefault(session, latestEvictedWrite);
  }

  /** The session has committed a write. */
  public void recordWrite(long session, Moment commit) {
    Moment earlier = lastWriteBySession.remove(session);
    lastWriteBySession.put(session, earlier == null ? commit : commit.later(earlier));
    if (lastWriteBySession.size() > maxSessions) {
      // A forgotten session's reads must still see its write, so all unknown ones must see as much.
      Map.Entry<Long, Moment> oldest = lastWriteBySession.entrySet().iterator().next();
      latestEvictedWrite = latestEvictedWrite.later(oldest.getValue());
      lastWriteBySession.remove(oldest.getKey());
    }
  }
}
