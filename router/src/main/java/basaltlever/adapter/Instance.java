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
 * One router instance in the simulator: decodes events for the router core and encodes its actions
 * as records.
 */
final class Instance implements Effects<Long> {
  static final int LIST_ENTRY_BYTES = 28;
  private static final AttemptOutcome[] OUTCOMES_BY_CODE = new AttemptOutcome[15];

  static {
    Arrays.fill(OUTCOMES_BY_CODE, AttemptOutcome.UNKNOWN);
    OUTCOMES_BY_CODE[0] = AttemptOutcome.COMPLETED;
    OUTCOMES_BY_CODE[1] = AttemptOutcome.CANCELLED;
    OUTCOMES_BY_CODE[4] = AttemptOutcome.TIMED_OUT;
    OUTCOMES_BY_CODE[5] = AttemptOutcome.MISS;
    OUTCOMES_BY_CODE[8] = AttemptOutcome.FULL;
    OUTCOMES_BY_CODE[9] = AttemptOutcome.NEVER_SENT;
    OUTCOMES_BY_CODE[10] = AttemptOutcome.RESET;
    OUTCOMES_BY_CODE[13] = AttemptOutcome.ERROR;
    OUTCOMES_BY_CODE[14] = AttemptOutcome.NO_CONNECTION;
  }

  private final int number;
  private final Reply reply;
  private final StatementRouter<Long> router;
  private final LoadReportFormat loadReportFormat;

  Instance(int number, Reply reply, long seed, String settings, Moment now)
      throws InvalidSettingsException {
    this.number = number;
    this.reply = reply;
    StartValues startValues = StartValues.ofLines(settings);
    loadReportFormat = startValues.loadReportFormat(startValues.origin());
    router = new StatementRouter<>(this, startValues.loadBalancerFactory(seed, now));
  }

  void onList(Moment now, int kind, ByteBuffer entries) {
    if (kind == 0 || entries == null) {
      router.onListCallFailed(now);
      return;
    }
    router.onListStarted();
    for (int offset = 0; offset + LIST_ENTRY_BYTES <= entries.limit(); offset += LIST_ENTRY_BYTES) {
      int state = entries.get(offset);
      EndpointLifecycle lifecycle =
          state == 3
              ? EndpointLifecycle.READY
              : state == 1 ? EndpointLifecycle.DRAINING : EndpointLifecycle.GONE;
      long startedAt = entries.getLong(offset + 17);
      router.onEndpointListed(
          now,
          readAddress(entries, offset + 7),
          lifecycle,
          entries.getShort(offset + 26) & 0xffff,
          entries.getShort(offset + 5) & 0xffff,
          entries.getFloat(offset + 13),
          startedAt == 0 ? Moment.LONG_AGO : new Moment(startedAt));
    }
    router.onListFinished(now, kind != 1, kind != 2);
  }

  void onRequest(Moment now, ByteBuffer fields, int offset) throws MalformedFrameException {
    long ticket = fields.getInt(offset) & 0xffffffffL;
    // The token is rounded to a float. The next smaller float moves the commit time later, never
    // earlier.
    float token = fields.getFloat(offset + 33);
    Moment lastCommit =
        token > 0
            ? now.minus(Span.ofMillis(Math.nextDown(token))).plus(new Span(1))
            : Moment.LONG_AGO;
    if (!router.onStatementReceived(
        now,
        ticket,
        new StatementRequest(
            fields.get(offset + 4) & 0xff,
            (int) fields.getFloat(offset + 29),
            fields.getLong(offset + 9),
            new Moment(fields.getLong(offset + 17)),
            lastCommit,
            0))) {
      throw new MalformedFrameException("request " + ticket + " is already open");
    }
  }

  void onAttemptEnded(Moment now, ByteBuffer fields, int offset) {
    long roleAndPosition = fields.getInt(offset + 11) & 0xffffffffL;
    router.onAttemptEnded(
        now,
        fields.getInt(offset) & 0xffffffffL,
        fields.get(offset + 4) & 0xff,
        outcomeOf(fields.getShort(offset + 9)),
        (roleAndPosition & 3) == 1
            ? Role.PRIMARY
            : (roleAndPosition & 3) == 2 ? Role.REPLICA : Role.UNKNOWN,
        loadReportFormat.momentAtMillis(roleAndPosition >> 2),
        fields.get(offset + 21) != 0);
  }

  void onPollEnded(Moment now, ByteBuffer fields, int offset) {
    int count = fields.get(offset + 12) & 0xff;
    float position = value(fields, offset + 13, count, loadReportFormat.positionIndex);
    router.onPollEnded(
        now,
        readAddress(fields, offset),
        outcomeOf(fields.getShort(offset + 6)),
        loadReportFormat.roleOf(value(fields, offset + 13, count, loadReportFormat.primaryIndex)),
        loadReportFormat.positionAt(Math.nextDown(position)),
        value(fields, offset + 13, count, loadReportFormat.utilizationIndex),
        value(fields, offset + 13, count, loadReportFormat.queueIndex));
  }

  private static AttemptOutcome outcomeOf(short code) {
    return code >= 0 && code < OUTCOMES_BY_CODE.length
        ? OUTCOMES_BY_CODE[code]
        : AttemptOutcome.UNKNOWN;
  }

  private static float value(ByteBuffer fields, int offset, int count, int index) {
    return index >= 0 && index < count ? fields.getFloat(offset + 4 * index) : Float.NaN;
  }

  void onClientDisconnected(Moment now, ByteBuffer fields, int offset) {
    router.onClientDisconnected(now, fields.getInt(offset) & 0xffffffffL);
  }

  void onTimerFired(Moment now) {
    router.onTimerFired(now);
  }

  private static long readAddress(ByteBuffer fields, int offset) {
    return (fields.getInt(offset) & 0xffffffffL) | (fields.getShort(offset + 4) & 0xffffL) << 32;
  }

  private ByteBuffer putAddress(ByteBuffer out, long address) {
    return out.putInt((int) address).putShort((short) (address >> 32));
  }

  /** The simulator sends attempts immediately, so {@code sendBy} is not transmitted. */
  @Override
  public void startAttempt(long ticket, int attempt, Long endpoint, Span timeout, Moment sendBy) {
    putAddress(reply.addRecord(number, 7, 14).putInt((int) ticket), endpoint)
        .putInt((int) timeout.micros());
  }

  @Override
  public void cancel(long ticket, int attempt) {
    reply.addRecord(number, 12, 5).putInt((int) ticket).put((byte) attempt);
  }

  @Override
  public void reject(long ticket, Span retryAfter, RejectReason reason) {
    reply.addRecord(number, 9, 8).putInt((int) ticket).putInt((int) retryAfter.micros());
  }

  @Override
  public void abort(long ticket) {
    reply.addRecord(number, 11, 4).putInt((int) ticket);
  }

  @Override
  public void poll(Long endpoint) {
    putAddress(reply.addRecord(number, 6, 6), endpoint);
  }

  @Override
  public void onEndpointRemoved(Long endpoint) {
    // The protocol has no record for it.
  }

  @Override
  public void closeIdleConnections(Long endpoint) {
    putAddress(reply.addRecord(number, 1, 6), endpoint);
  }

  @Override
  public void watchEndpointList() {
    reply.addRecord(number, 13, 1).put((byte) 1);
  }

  @Override
  public void setTimer(Span delay) {
    reply.addRecord(number, 4, 8).putInt((int) Math.max(1, delay.micros())).putInt(0);
  }

  @Override
  public void openConnections(Long endpoint, int connections) {
    // The simulator announces no planned switchovers.
  }

  @Override
  public void onSwitchoverPhaseChanged(int group, PlannedSwitchover.Phase phase, Long target) {
    // The simulator announces no planned switchovers.
  }

  @Override
  public void onPrimaryChanged(int group, Long endpoint, boolean found) {
    // The simulator reports each change of primary itself.
  }

  void sendFailure(String cause) {
    byte[] text = cause.getBytes(StandardCharsets.UTF_8);
    int length = Math.min(text.length, 500);
    reply.addRecord(number, 10, 2 + length).putShort((short) length).put(text, 0, length);
  }
}
