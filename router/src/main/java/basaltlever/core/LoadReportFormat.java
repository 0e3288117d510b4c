package basaltlever.core;

import basaltlever.gateway.Role;
import basaltlever.time.Moment;
import java.util.Arrays;
import java.util.List;

/** Which value of a load report means what, by the names agreed in the settings. */
public final class LoadReportFormat {
  private static final int MICROS_PER_SECOND = 1_000_000;
  public final int positionIndex;
  public final int primaryIndex;
  public final int utilizationIndex;
  public final int queueIndex;
  public final List<String> names;
  private final long originMicros;

  /** Positions count from the origin, on the clock of the batches. */
  public LoadReportFormat(List<String> names, long originMicros) {
    this.names = names;
    this.originMicros = originMicros;
    positionIndex = names.indexOf("x0");
    primaryIndex = names.indexOf("x1");
    utilizationIndex = names.indexOf("utilization");
    queueIndex = names.indexOf("backlog");
  }

  /** Rounded down, since a position that is too new would let a stale read through. */
  public Moment positionAt(double seconds) {
    return seconds > 0 && seconds < 1e12
        ? new Moment(originMicros + (long) Math.floor(seconds * MICROS_PER_SECOND))
        : Moment.LONG_AGO;
  }

  /** The role that a report states by this value. */
  public Role roleOf(double value) {
    return value >= 0.5 ? Role.PRIMARY : value >= 0 ? Role.REPLICA : Role.UNKNOWN;
  }

  /** The moment so many milliseconds after the origin; long ago where that is 0. */
  public Moment momentAtMillis(long millis) {
    return millis == 0 ? Moment.LONG_AGO : new Moment(originMicros + millis * 1_000);
  }

  /**
   * The values of a report that is a text of name=value pairs, by their places; NaN for what it
   * lacks.
   */
  public double[] parseValues(String report) {
    double[] values = new double[names.size()];
    Arrays.fill(values, Double.NaN);
    for (String pair : report.split(",")) {
      int equals = pair.indexOf('=');
      int index = equals < 0 ? -1 : names.indexOf(pair.substring(0, equals).trim());
      if (index >= 0) {
        values[index] = parseNumber(pair.substring(equals + 1).trim());
      }
    }
    return values;
  }

  /** The value at a place of a report; NaN where the report has no such place. */
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
