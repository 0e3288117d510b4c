package basaltlever.model;

import basaltlever.time.Moment;
import java.util.LinkedHashMap;
import java.util.Map;

/** Tracks the last write of each session through this router, for a limited number of sessions. */
public final class SessionWrites {
  private final int maxSessions;
  private final LinkedHashMap<Long, Moment> lastWriteBySession = new LinkedHashMap<>();
  private Moment latestEvictedWrite = Moment.LONG_AGO;

  /** Creates a tracker with the given maximum number of sessions. */
  public SessionWrites(int maxSessions) {
    this.maxSessions = maxSessions;
  }

  /**
   * Returns the time of the session's last write. For an evicted session it is no earlier than the
   * actual last write.
   */
  public Moment lastWrite(long session) {
    return lastWriteBySession.getOrDefault(session, latestEvictedWrite);
  }

  /** Records a committed write of the session. */
  public void recordWrite(long session, Moment commit) {
    Moment earlier = lastWriteBySession.remove(session);
    lastWriteBySession.put(session, earlier == null ? commit : commit.later(earlier));
    if (lastWriteBySession.size() > maxSessions) {
      // Reads of an evicted session must still see its last write. Evicted sessions can't be told
      // apart from unknown ones, so all of them require this position.
      Map.Entry<Long, Moment> oldest = lastWriteBySession.entrySet().iterator().next();
      latestEvictedWrite = latestEvictedWrite.later(oldest.getValue());
      lastWriteBySession.remove(oldest.getKey());
    }
  }
}
