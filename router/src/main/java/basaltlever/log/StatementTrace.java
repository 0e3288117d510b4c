package basaltlever.log;

import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.LinkedHashSet;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * What became of single statements, step by step, where somebody asks: one log line a statement
 * that took longer than a given span, and one for each that is past its time without an answer. Off
 * it costs a look at a field; on it is bounded in statements followed, in steps of each and in
 * lines a second, since clients can cause all of these at will.
 */
public final class StatementTrace {
  private static final Logger LOG = LoggerFactory.getLogger(StatementTrace.class);
  private static final int MOST_FOLLOWED = 4_096;
  private static final int LONGEST = 1_200;
  private static final int LINES_A_SECOND = 200;
  private static final Span SECOND = Span.ofMillis(1_000);

  /** A loop that comes back this much later than it asked to is noted. */
  private static final Span LATE_LOOP = Span.ofMillis(50);

  private final Span over;
  private final Supplier<Moment> clock;
  private final LinkedHashSet<Life> followed = new LinkedHashSet<>();
  private Moment second = Moment.LONG_AGO;
  private int lines;
  private int passedOver;

  /** Steps of one statement. */
  public final class Life {
    private final String id;
    private final Moment since;
    private final Moment until;
    private final StringBuilder steps = new StringBuilder();
    private boolean told;

    private Life(String id, Moment since, Moment until) {
      this.id = id;
      this.since = since;
      this.until = until;
    }

    private void add(String step) {
      if (steps.length() < LONGEST) {
        steps
            .append(steps.isEmpty() ? "" : " ")
            .append(millis(clock.get().since(since)))
            .append(':')
            .append(step);
      }
    }
  }

  /** Of statements that took longer than the span; null for none. */
  public StatementTrace(Span over, Supplier<Moment> clock) {
    this.over = over;
    this.clock = clock;
  }

  /** Whether any statements are traced. */
  public boolean areFollowed() {
    return over != null;
  }

  /** Null where nobody asked, or where too many are followed already. */
  public Life begins(String id, Moment since, Moment until) {
    if (over == null || followed.size() >= MOST_FOLLOWED) {
      return null;
    }
    Life life = new Life(id, since, until);
    followed.add(life);
    return life;
  }

  /** The life may be null; without blanks, so that the steps stay apart. */
  public void step(Life life, String step) {
    if (life != null) {
      life.add(step);
    }
  }

  /** Its last byte went out, or there is nobody to send it to. */
  public void ends(Life life, String step) {
    if (life != null && followed.remove(life)) {
      life.add(step);
      if (life.told || !clock.get().since(life.since).isShorterThan(over)) {
        tell(life, "ended");
      }
    }
  }

  /** To be called every so often: names what is past its time. */
  public void sweep() {
    Moment now = over == null ? null : clock.get();
    for (Life life : over == null ? new LinkedHashSet<Life>() : followed) {
      if (!life.told && now.isAfter(life.until)) {
        life.told = true;
        tell(life, "past_its_time");
      }
    }
  }

  /** A timer of the loop that was this late. */
  public void loopWas(Span late) {
    if (over != null && late.isLongerThan(LATE_LOOP) && mayTell()) {
      Event.LOOP_LATE.log(LOG, Level.INFO, "", millis(late));
    }
  }

  /** A client's connection that its client ended. */
  public void connectionEnds(Object client, Object reason, int bytes) {
    if (over != null && mayTell()) {
      Event.CLIENT_LEFT.log(LOG, Level.INFO, "", client, reason, bytes);
    }
  }

  private void tell(Life life, String how) {
    if (mayTell()) {
      Event.STATEMENT.log(
          LOG,
          Level.INFO,
          "",
          life.id,
          how,
          millis(clock.get().since(life.since)),
          millis(life.until.since(life.since)),
          passedOver,
          life.steps);
      passedOver = 0;
    }
  }

  private boolean mayTell() {
    if (!clock.get().since(second).isShorterThan(SECOND)) {
      second = clock.get();
      lines = 0;
    }
    passedOver += lines >= LINES_A_SECOND ? 1 : 0;
    return lines++ < LINES_A_SECOND;
  }

  private static String millis(Span span) {
    return "" + span.micros() / 1_000;
  }
}
