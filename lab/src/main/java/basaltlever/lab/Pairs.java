package basaltlever.lab;

import java.util.LinkedHashMap;
import java.util.Map;

/** Figures of two texts under the same conditions, pair by pair. */
final class Pairs {
  private int count;
  private double sumA;
  private double sumB;
  private double squares;

  void add(double a, double b) {
    count++;
    sumA += a;
    sumB += b;
    squares += (b - a) * (b - a);
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

  /** Of B over A, in the mean. */
  double difference() {
    return (sumB - sumA) / count;
  }

  /** The standard error of the mean of the paired differences; none can be told from one pair. */
  double noise() {
    return count < 2
        ? Double.NaN
        : Math.sqrt(Math.max(0, squares / count - difference() * difference()) / (count - 1));
  }

  Map<String, Object> figures() {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("plays", count);
    figures.put("a", meanA());
    figures.put("b", meanB());
    figures.put("difference", difference());
    figures.put("noise", count < 2 ? "untold" : (Object) noise());
    return figures;
  }
}
