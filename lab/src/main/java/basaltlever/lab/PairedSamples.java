package basaltlever.lab;

import java.util.LinkedHashMap;
import java.util.Map;

/** Statistics of a figure of two variants, A and B, that are measured in pairs. */
final class PairedSamples {
  private int count;
  private double sumA;
  private double sumB;
  private double sumSquaredDifferences;

  void add(double a, double b) {
    count++;
    sumA += a;
    sumB += b;
    sumSquaredDifferences += (b - a) * (b - a);
  }

  int count() {
    return count;
  }

  double meanA() {
    return sumA / count;
  }

  double meanB() {
    return sumB / count;
  }

  /** Returns the mean of B - A. */
  double meanDifference() {
    return (sumB - sumA) / count;
  }

  /** Returns the standard error of the mean difference, or NaN for fewer than two pairs. */
  double standardError() {
    return count < 2
        ? Double.NaN
        : Math.sqrt(
            Math.max(0, sumSquaredDifferences / count - meanDifference() * meanDifference())
                / (count - 1));
  }

  Map<String, Object> toFigures() {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("plays", count);
    figures.put("a", meanA());
    figures.put("b", meanB());
    figures.put("difference", meanDifference());
    figures.put("noise", count < 2 ? "untold" : (Object) standardError());
    return figures;
  }
}
