package basaltlever.adapter;

import basaltlever.config.InvalidSettingsException;
import basaltlever.config.StartValues;
import basaltlever.core.Effects;
import basaltlever.core.LoadReportFormat;
import basaltlever.core.StatementRouter;
import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.gateway.RejectReason;
import basaltlever.gateway.Role;
import basaltlever.gateway.StatementRequest;
import basaltlever.switchover.PlannedSwitchover;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * One router on the simulator's wire: each event's fields go into the core, each act into a record.
 */
final class Instance implements Effects<Long> {
  static final int ENTRY = 28;
  private static final AttemptOutcome[] ENDINGS = new AttemptOutcome[15];

  static {
    Arrays.fill(ENDINGS, AttemptOutcome.UNKNOWN);
    ENDINGS[0] = AttemptOutcome.COMPLETED;
    ENDINGS[1] = AttemptOutcome.CANCELLED;
    ENDINGS[4] = AttemptOutcome.TIMED_OUT;
    ENDINGS[5] = AttemptOutcome.MISS;
    ENDINGS[8] = AttemptOutcome.FULL;
    ENDINGS[9] = AttemptOutcome.NEVER_SENT;
    ENDINGS[10] = AttemptOutcome.RESET;
    ENDINGS[13] = AttemptOutcome.ERROR;
    ENDINGS[14] = AttemptOutcome.NO_CONNECTION;
  }

  private final int number;
  private final Reply reply;
  private final StatementRouter<Long> core;
  private final LoadReportFormat loadReport;

  Instance(int number, Reply reply, long seed, String settings, Moment now)
      throws InvalidSettingsException {
    this.number = number;
    this.reply = reply;
    StartValues start = StartValues.ofLines(settings);
    loadReport = start.loadReportFormat(start.origin());
    core = new StatementRouter<>(this, start.loadBalancerFactory(seed, now));
  }

  void list(Moment now, int kind, ByteBuffer entries) {
    if (kind == 0 || entries == null) {
      core.listCallFailed(now);
      return;
    }
    core.listStarted();
    for (int at = 0; at + ENTRY <= entries.limit(); at += ENTRY) {
      int state = entries.get(at);
      EndpointLifecycle lifecycle =
          state == 3
              ? EndpointLifecycle.READY
              : state == 1 ? EndpointLifecycle.DRAINING : EndpointLifecycle.GONE;
      long startedAt = entries.getLong(at + 17);
      core.endpointListed(
          now,
          address(entries, at + 7),
          lifecycle,
          entries.getShort(at + 26) & 0xffff,
          entries.getShort(at + 5) & 0xffff,
          entries.getFloat(at + 13),
          startedAt == 0 ? Moment.LONG_AGO : new Moment(startedAt));
    }
    core.listFinished(now, kind != 1, kind != 2);
  }

  void incoming(Moment now, ByteBuffer in, int at) throws MalformedFrameException {
    long ticket = in.getInt(at) & 0xffffffffL;
    // A float holds the token only nearly: the next smaller one puts the commit later, never
    // earlier.
    float token = in.getFloat(at + 33);
    Moment committed =
        token > 0
            ? now.minus(Span.ofMillis(Math.nextDown(token))).plus(new Span(1))
            : Moment.LONG_AGO;
    if (!core.statementReceived(
        now,
        ticket,
        new StatementRequest(
            in.get(at + 4) & 0xff,
            (int) in.getFloat(at + 29),
            in.getLong(at + 9),
            new Moment(in.getLong(at + 17)),
            committed,
            0))) {
      throw new MalformedFrameException("request " + ticket + " came twice");
    }
  }

  void outcome(Moment now, ByteBuffer in, int at) {
    long stand = in.getInt(at + 11) & 0xffffffffL;
    core.attemptEnded(
        now,
        in.getInt(at) & 0xffffffffL,
        in.get(at + 4) & 0xff,
        ending(in.getShort(at + 9)),
        (stand & 3) == 1 ? Role.PRIMARY : (stand & 3) == 2 ? Role.REPLICA : Role.UNTOLD,
        loadReport.afterMillis(stand >> 2),
        in.get(at + 21) != 0);
  }

  void polled(Moment now, ByteBuffer in, int at) {
    int count = in.get(at + 12) & 0xff;
    float position = value(in, at + 13, count, loadReport.position);
    core.pollEnded(
        now,
        address(in, at),
        ending(in.getShort(at + 6)),
        loadReport.role(value(in, at + 13, count, loadReport.primary)),
        loadReport.position(Math.nextDown(position)),
        value(in, at + 13, count, loadReport.util),
        value(in, at + 13, count, loadReport.queue));
  }

  private static AttemptOutcome ending(short code) {
    return code >= 0 && code < ENDINGS.length ? ENDINGS[code] : AttemptOutcome.UNKNOWN;
  }

  private static float value(ByteBuffer in, int at, int count, int field) {
    return field >= 0 && field < count ? in.getFloat(at + 4 * field) : Float.NaN;
  }

  void clientLeft(Moment now, ByteBuffer in, int at) {
    core.clientDisconnected(now, in.getInt(at) & 0xffffffffL);
  }

  void woken(Moment now) {
    core.timerFired(now);
  }

  private static long address(ByteBuffer in, int at) {
    return (in.getInt(at) & 0xffffffffL) | (in.getShort(at + 4) & 0xffffL) << 32;
  }

  private ByteBuffer putNode(ByteBuffer out, long node) {
    return out.putInt((int) node).putShort((short) (node >> 32));
  }

  /** The simulator sends at once. */
  @Override
  public void startAttempt(long ticket, int execution, Long node, Span timeout, Moment sendBy) {
    putNode(reply.record(number, 7, 14).putInt((int) ticket), node).putInt((int) timeout.micros());
  }

  @Override
  public void cancel(long ticket, int execution) {
    reply.record(number, 12, 5).putInt((int) ticket).put((byte) execution);
  }

  @Override
  public void reject(long ticket, Span comeBackAfter, RejectReason reason) {
    reply.record(number, 9, 8).putInt((int) ticket).putInt((int) comeBackAfter.micros());
  }

  @Override
  public void abort(long ticket) {
    reply.record(number, 11, 4).putInt((int) ticket);
  }

  @Override
  public void poll(Long node) {
    putNode(reply.record(number, 6, 6), node);
  }

  @Override
  public void endpointRemoved(Long node) {
    // The wire has no word for it.
  }

  @Override
  public void closeIdleConnections(Long node) {
    putNode(reply.record(number, 1, 6), node);
  }

  @Override
  public void watchEndpointList() {
    reply.record(number, 13, 1).put((byte) 1);
  }

  @Override
  public void setTimer(Span fromNow) {
    reply.record(number, 4, 8).putInt((int) Math.max(1, fromNow.micros())).putInt(0);
  }

  @Override
  public void openConnections(Long node, int connections) {
    // The simulator announces no change.
  }

  @Override
  public void switchoverPhaseChanged(int group, PlannedSwitchover.Phase phase, Long target) {
    // As above.
  }

  @Override
  public void primaryChanged(int group, Long node, boolean found) {
    // The simulator tells of every change of primary itself.
  }

  void broken(String cause) {
    byte[] words = cause.getBytes(StandardCharsets.UTF_8);
    int length = Math.min(words.length, 500);
    reply.record(number, 10, 2 + length).putShort((short) length).put(words, 0, length);
  }
}
