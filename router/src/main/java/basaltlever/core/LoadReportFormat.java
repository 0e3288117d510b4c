package basaltlever.core;

import basaltlever.gateway.Role;
import basaltlever.time.Moment;
import java.util.Arrays;
import java.util.List;

/** The positions of the values in a load report, determined by the field names in the settings. */
public final class LoadReportFormat {
  private static final int MICROS_PER_SECOND = 1_000_000;
  public final int positionIndex;
  public final int primaryIndex;
  public final int utilizationIndex;
  public final int queueIndex;
  public final List<String> fieldNames;
  private final long originMicros;

  /**
   * Creates a format; log positions are counted from the origin, in microseconds on the caller's
   * clock.
   */
  public LoadReportFormat(List<String> fieldNames, long originMicros) {
    this.fieldNames = fieldNames;
    this.originMicros = originMicros;
    positionIndex = fieldNames.indexOf("x0");
    primaryIndex = fieldNames.indexOf("x1");
    utilizationIndex = fieldNames.indexOf("utilization");
    queueIndex = fieldNames.indexOf("backlog");
  }

  /**
   * Returns the log position for the seconds since the origin. It is rounded down, because a
   * position that is too new would allow a stale read.
   */
  public Moment positionAt(double seconds) {
    return seconds > 0 && seconds < 1e12
        ? new Moment(originMicros + (long) Math.floor(seconds * MICROS_PER_SECOND))
        : Moment.LONG_AGO;
  }

  /** Returns the role that a report states by the given value. */
  public Role roleOf(double value) {
    return value >= 0.5 ? Role.PRIMARY : value >= 0 ? Role.REPLICA : Role.UNKNOWN;
  }

  /**
   * Returns the time at the given number of milliseconds after the origin; {@link Moment#LONG_AGO}
   * for 0.
   */
  public Moment momentAtMillis(long millis) {
    return millis == 0 ? Moment.LONG_AGO : new Moment(originMicros + millis * 1_000);
  }

  /**
   * Parses a report of name=value pairs and returns its values in the order of the field names; NaN
   * for missing ones.
   */
  public double[] parseValues(String report) {
    double[] values = new double[fieldNames.size()];
    Arrays.fill(values, Double.NaN);
    for (String pair : report.split(",")) {
      int equals = pair.indexOf('=');
      int index = equals < 0 ? -1 : fieldNames.indexOf(pair.substring(0, equals).trim());
      if (index >= 0) {
        values[index] = parseNumber(pair.substring(equals + 1).trim());
      }
    }
    return values;
  }

  /** Returns the value at an index of a report; NaN if the report has no such field. */
  public double valueAt(double[] values, int index) {
    return index < 0 ? Double.NaN : values[index];
  }

  private static double parseNumber(String text) {
    try {
      return Double.parseDouble(text);
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }
}
