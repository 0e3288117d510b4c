package basaltlever.core;

import basaltlever.gateway.Role;
import basaltlever.time.Moment;
import java.util.Arrays;
import java.util.List;

/** Which value of a load report means what, by the names agreed in the settings. */
public final class LoadReportFormat {
  private static final int MICROS_PER_SECOND = 1_000_000;
  public final int position;
  public final int primary;
  public final int util;
  public final int queue;
  public final List<String> names;
  private final long origin;

  /** Positions count from the origin, on the clock of the batches. */
  public LoadReportFormat(List<String> names, long origin) {
    this.names = names;
    this.origin = origin;
    position = names.indexOf("x0");
    primary = names.indexOf("x1");
    util = names.indexOf("utilization");
    queue = names.indexOf("backlog");
  }

  /** Rounded down, since a position that is too new would let a stale read through. */
  public Moment position(double seconds) {
    return seconds > 0 && seconds < 1e12
        ? new Moment(origin + (long) Math.floor(seconds * MICROS_PER_SECOND))
        : Moment.LONG_AGO;
  }

  /** The role that a report states by this value. */
  public Role role(double value) {
    return value >= 0.5 ? Role.PRIMARY : value >= 0 ? Role.REPLICA : Role.UNTOLD;
  }

  /** The moment so many milliseconds after the origin; long ago where that is 0. */
  public Moment afterMillis(long millis) {
    return millis == 0 ? Moment.LONG_AGO : new Moment(origin + millis * 1_000);
  }

  /**
   * The values of a report that is a text of name=value pairs, by their places; NaN for what it
   * lacks.
   */
  public double[] values(String report) {
    double[] values = new double[names.size()];
    Arrays.fill(values, Double.NaN);
    for (String pair : report.split(",")) {
      int equals = pair.indexOf('=');
      int place = equals < 0 ? -1 : names.indexOf(pair.substring(0, equals).trim());
      if (place >= 0) {
        values[place] = number(pair.substring(equals + 1).trim());
      }
    }
    return values;
  }

  /** The value at a place of a report; NaN where the report has no such place. */
  public double value(double[] values, int place) {
    return place < 0 ? Double.NaN : values[place];
  }

  private static double number(String text) {
    try {
      return Double.parseDouble(text);
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }
}
