package basaltlever.settings;

import basaltlever.gateway.Settings;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.List;

/**
 * Checks what servers, clients and discovery see of a router against the text of one version. It
 * knows the true position of each server.
 */
final class VersionJudge {
  /** How long after the time that its text states an event may be handled. */
  private static final Span TIMER_TOLERANCE = Span.ofMillis(60);

  private static final int MAX_VIOLATIONS = 5;

  private final VersionText version;
  private final List<String> violations = new ArrayList<>();

  VersionJudge(VersionText version) {
    this.version = version;
  }

  List<String> violations() {
    return violations;
  }

  private void require(boolean holds, String violation) {
    if (!holds && violations.size() < MAX_VIOLATIONS) {
      violations.add(violation);
    }
  }

  boolean serversCheckReads() {
    return !version.value("FamilyInfo.Checks").equals("none");
  }

  /** One execution of a statement: a server has received it and not refused it. */
  record Execution(int server, int zone, Moment at) {}

  /** Whether data of that position may answer a read that a server receives now. */
  boolean isFreshEnough(
      int readClass, boolean atPrimary, Moment position, Moment now, Moment lastSessionWrite) {
    return switch (version.item("FamilyInfo.ClassRead", readClass)) {
      case "fresh" -> atPrimary;
      case "session" -> atPrimary || !position.isBefore(lastSessionWrite);
      case "bounded" ->
          atPrimary
              || !now.since(position)
                  .isLongerThan(
                      new Span(Long.parseLong(version.item("FamilyInfo.LagAllowed", readClass))));
      default -> true;
    };
  }

  void onReadAnswered(
      int readClass, boolean atPrimary, Moment position, Moment now, Moment lastSessionWrite) {
    require(
        isFreshEnough(readClass, atPrimary, position, now, lastSessionWrite),
        "stale: a read of kind "
            + version.item("FamilyInfo.ClassRead", readClass)
            + " at a replica "
            + now.since(position).micros() / 1_000
            + " ms behind");
  }

  void onExecution(int statementClass, List<Execution> earlier, Execution execution) {
    if (earlier.isEmpty()) {
      return;
    }
    String repeat = version.ofClass(statementClass, "Repeat");
    require(!repeat.equals("at_most_once"), "repeat: an at-most-once statement ran again");
    if (repeat.equals("deduplicated")) {
      Execution first = earlier.get(0);
      require(
          !execution.at.since(first.at).isLongerThan(version.spanOfClass(statementClass, "Window")),
          "repeat: ran again after the window");
      require(
          !version.ofClass(statementClass, "Group").equals("zone") || execution.zone == first.zone,
          "repeat: ran again in another zone");
    }
  }

  void onRejected(int statementClass, boolean hasRun) {
    String repeat = version.ofClass(statementClass, "Repeat");
    boolean repeatsAreDropped =
        repeat.equals("deduplicated") && version.ofClass(statementClass, "Group").equals("all");
    require(
        !hasRun || repeat.equals("idempotent") || repeatsAreDropped,
        "repeat: rejected although it had run");
  }

  void onAdvice(Span retryAfter) {
    Span longest =
        version.flag("Bounds.RetryAfter") ? version.span("Bounds.MaxRetryAfter") : Span.NONE;
    require(!retryAfter.isLongerThan(longest), "advice: longer than allowed");
  }

  void onAttemptOf(int earlierAttempts) {
    require(earlierAttempts < version.count("Bounds.MaxAttempts"), "attempts: too many");
  }

  void onAttemptDecided(int inFlight, Moment now, Moment clientDeadline) {
    require(inFlight == 0 || version.flag("Bounds.MayDuplicate"), "attempts: two at a time");
    require(
        now.isBefore(clientDeadline.minus(version.span("Rules.AnswerSlack"))),
        "slack: an attempt after the time reserved for the answer began");
  }

  void onStatementWaits(Moment now, Moment boundSince, Moment clientDeadline) {
    Moment latest = clientDeadline.minus(version.span("Rules.AnswerSlack")).later(boundSince);
    require(!now.isAfter(latest.plus(TIMER_TOLERANCE)), "slack: waits longer than allowed");
  }

  void onUseOfRemovedServer() {
    require(version.flag("Rules.RemovalNotBinding"), "drain: used a server that is not listed");
  }

  void onUseOfDrainingServer() {
    require(false, "drain: used a server that drains or has drained");
  }

  void onPoll() {
    require(version.flag("Bounds.MayProbe"), "poll: polled");
  }

  void onCancel() {
    require(version.flag("Bounds.Cancel"), "cancel: cancelled");
  }

  void onListUnknownFor(Span duration) {
    require(
        !duration.isLongerThan(version.span("Rules.MustAskIn").plus(TIMER_TOLERANCE)),
        "list: not asked for in time");
  }

  /** Checks what sockets do by the effective settings, outside of all decisions. */
  void onSettingsOfConnections(Settings effective) {
    require(
        effective.poolSettings().streamsPerConnection() <= version.count("Bounds.StreamsPerConn"),
        "connections: more streams");
    require(
        !effective.poolSettings().idleTimeout().isLongerThan(version.span("Bounds.IdleClose")),
        "connections: idle for longer");
    require(
        !effective
                .poolSettings()
                .connectTimeout()
                .isLongerThan(version.span("Bounds.ConnectTimeout"))
            && !effective
                .poolSettings()
                .connectTimeout()
                .isLongerThan(version.span("Rules.DrainGrace")),
        "connections: opened for longer");
    require(
        !effective.replication().positionsInResponses() || version.flag("FamilyInfo.ProgressTold"),
        "positions: relied on in responses");
  }
}
