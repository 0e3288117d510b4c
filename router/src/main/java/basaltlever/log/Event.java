package basaltlever.log;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * The events that a router logs above debug level, with the names of their fields. docs/events.md
 * lists them, and a test compares the two. The free text of a line may change; the names of events
 * and fields are stable.
 */
public enum Event {
  PHASE("phase", "phase", "after"),
  SERVES("serves", "router", "address"),
  SIGNAL_IGNORED("signal_ignored", "signal"),
  RELOADED("reloaded", "discovery"),
  RELOAD_REFUSED("reload_refused", "cause"),
  NEEDS_RESTART("needs_restart", "key"),
  SETTINGS_TAKEN("settings_taken", "open"),
  SETTINGS_LEFT("settings_left", "keys"),
  KNOWN_LEFT_OUT("known_left_out", "cause"),
  PRIMARY_FOUND("primary_found", "group", "node"),
  PRIMARY_LOST("primary_lost", "group", "node"),
  CHANGE("change", "group", "phase", "target"),
  WATCH_FAILED("watch_failed", "cause"),
  NODE_BAD("node_bad", "node", "cause", "more"),
  CLIENT_BAD("client_bad", "client", "cause", "more"),
  FAULT("fault", "doing"),
  STATEMENT("statement", "id", "how", "took_ms", "time_ms", "more", "steps"),
  OVERDUE("overdue", "id", "executions", "out"),
  LOOP_LATE("loop_late", "by_ms"),
  CLIENT_ENDED("client_ended", "connection", "client", "reason", "bytes"),
  CLIENT_LEFT("client_left", "client", "reason", "bytes"),
  ACCEPT_PAUSED("accept_paused", "cause", "detail", "more"),
  ACCEPT_DEFERRED("accept_deferred", "state", "cause"),
  LISTEN_QUEUE("listen_queue", "length", "asked"),
  COUNTERS("counters", "grown"),
  DESCRIPTORS(
      "descriptors", "allowed", "open", "clients", "resting", "lingering", "nodes", "idle_nodes"),
  CLOCK_OFF("clock_off", "behind_ms", "ahead_ms"),
  WATCHED("watched", "groups", "members", "listed"),
  TURN_SLOW("turn_slow", "took_ms", "cause", "more"),
  FLEET_JOINS("fleet_joins", "cause"),
  FLEET_LEADER("fleet_leader", "voter"),
  FLEET_STANDS("fleet_stands", "voter", "cause"),
  FLEET_STEP("fleet_step", "step", "version", "cause"),
  FLEET_REFUSED("fleet_refused", "voter", "cause"),
  FLEET_KEEPS("fleet_keeps", "force", "prepared", "careful"),
  FLEET_LISTS("fleet_lists", "step", "members", "some"),
  FLEET_FORK("fleet_fork", "generation", "routers", "more"),
  LIST_HELD("list_held", "generation", "cause", "more"),
  MEMBER_MOVES("member_moves", "member", "group", "listing"),
  ADRIFT("adrift", "for_ms"),
  FLEET_TURNED_DOWN("fleet_turned_down", "version", "cause"),
  VIEW_TAKEN("view_taken", "file", "age_ms", "nodes", "weight"),
  VIEW_LEFT_OUT("view_left_out", "cause"),
  VIEW_NOT_KEPT("view_not_kept", "folder", "cause", "more"),
  VIEW_FOLDER_HELD("view_folder_held", "folder");

  /** The value of the field {@code event} in the log line. */
  public final String key;

  /** The names of the other fields, in order. */
  public final List<String> fields;

  Event(String key, String... fields) {
    this.key = key;
    this.fields = List.of(fields);
  }

  /** Logs one line, with the values of the event's fields in order. */
  public void log(Logger log, Level level, String text, Object... values) {
    eventBuilder(log, level, values).log(text);
  }

  /** Logs one line at error level, with the exception that caused it. */
  public void logError(Logger log, String text, Throwable cause, Object... values) {
    eventBuilder(log, Level.ERROR, values).setCause(cause).log(text);
  }

  private LoggingEventBuilder eventBuilder(Logger log, Level level, Object... values) {
    LoggingEventBuilder builder = log.atLevel(level).addKeyValue("event", key);
    for (int i = 0; i < fields.size(); i++) {
      builder = builder.addKeyValue(fields.get(i), String.valueOf(values[i]));
    }
    return builder;
  }
}
