package basaltlever.lab.report;

import basaltlever.lab.world.SimulatedCluster;
import basaltlever.lab.world.TimeSeries;
import com.github.mustachejava.DefaultMustacheFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramIterationValue;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYSeries.XYSeriesRenderStyle;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * HTML page that summarizes a run: responses over time with the faults marked, response times, and
 * executions by server.
 */
public final class HtmlReport {
  private static final int CHART_WIDTH = 1_000;
  private static final int CHART_HEIGHT = 340;

  private HtmlReport() {}

  /** Writes the report of a run to the folder and returns its path. */
  public static Path write(
      Path folder, String title, Map<String, Object> figures, SimulatedCluster cluster)
      throws IOException {
    Files.createDirectories(folder);
    Map<String, Object> model = new HashMap<>();
    model.put("title", title);
    model.put("seed", figures.get("seed"));
    List<?> broken = (List<?>) figures.get("broken");
    model.put("held", broken.isEmpty());
    model.put("broken", broken);
    model.put("told", figures.get("told"));
    List<Map<String, Object>> rows = new ArrayList<>();
    figures.forEach(
        (name, value) -> {
          if (value instanceof Number number) {
            rows.add(
                Map.of(
                    "name",
                    name,
                    "value",
                    number instanceof Double
                        ? String.format(java.util.Locale.ROOT, "%.2f", number.doubleValue())
                        : number.toString()));
          }
        });
    model.put("figures", rows);
    List<Map<String, Object>> marks = new ArrayList<>();
    cluster
        .timeSeries()
        .marks()
        .forEach(
            (seconds, description) ->
                marks.add(
                    Map.of(
                        "at",
                        String.format(java.util.Locale.ROOT, "%.2f", seconds),
                        "what",
                        description)));
    model.put("marks", marks);
    model.put(
        "charts",
        List.of(
            toSvg(outcomesChart(cluster.timeSeries())),
            toSvg(latencyChart(cluster.checker.latencies())),
            toSvg(executionsChart(cluster.timeSeries().executionCounts()))));
    Path file = folder.resolve("report.html");
    try (Writer out = Files.newBufferedWriter(file)) {
      new DefaultMustacheFactory("report").compile("report.mustache").execute(out, model);
    }
    return file;
  }

  private static XYChart outcomesChart(TimeSeries series) {
    XYChart chart = new XYChart(CHART_WIDTH, CHART_HEIGHT);
    chart.setTitle(
        "Responses per second and open statements over time; vertical lines mark faults");
    chart.setXAxisTitle("seconds");
    List<int[]> steps = series.steps();
    double[] seconds = new double[steps.size()];
    double[][] values = new double[4][steps.size()];
    double maxValue = 1;
    for (int i = 0; i < steps.size(); i++) {
      seconds[i] = i * TimeSeries.stepSeconds();
      for (int k = 0; k < 4; k++) {
        values[k][i] = steps.get(i)[k] / (k < 3 ? TimeSeries.stepSeconds() : 1);
        maxValue = Math.max(maxValue, values[k][i]);
      }
    }
    String[] names = {"completed", "rejected", "aborted or unanswered", "open"};
    for (int k = 0; k < 4; k++) {
      chart.addSeries(names[k], seconds, values[k]).setMarker(SeriesMarkers.NONE);
    }
    int markCount = 0;
    for (double mark : series.marks().keySet()) {
      if (markCount++ < 200) {
        var line =
            chart.addSeries("m" + markCount, new double[] {mark, mark}, new double[] {0, maxValue});
        line.setMarker(SeriesMarkers.NONE).setShowInLegend(false);
        line.setLineColor(new java.awt.Color(0xcc, 0x44, 0x44, 70)).setLineWidth(1);
      }
    }
    chart.getStyler().setDefaultSeriesRenderStyle(XYSeriesRenderStyle.Line);
    return chart;
  }

  private static XYChart latencyChart(Histogram histogram) {
    XYChart chart = new XYChart(CHART_WIDTH, CHART_HEIGHT);
    chart.setTitle("Response time by percentile, measured from the scheduled send time");
    chart.setXAxisTitle("1 / (1 - percentile): 10 is p90, 1000 is p99.9");
    chart.setYAxisTitle("ms");
    List<Double> inverseTails = new ArrayList<>();
    List<Double> millis = new ArrayList<>();
    for (HistogramIterationValue value : histogram.percentiles(5)) {
      if (value.getPercentileLevelIteratedTo() < 99.999) {
        inverseTails.add(1 / (1 - value.getPercentileLevelIteratedTo() / 100));
        millis.add(Math.max(0.01, value.getValueIteratedTo() / 1e3));
      }
    }
    if (inverseTails.isEmpty()) {
      inverseTails.add(1.0);
      millis.add(0.01);
    }
    chart.addSeries("all completed", inverseTails, millis).setMarker(SeriesMarkers.NONE);
    chart.getStyler().setXAxisLogarithmic(true);
    chart.getStyler().setYAxisLogarithmic(true);
    return chart;
  }

  private static CategoryChart executionsChart(Map<String, Integer> counts) {
    CategoryChart chart = new CategoryChart(CHART_WIDTH, CHART_HEIGHT);
    chart.setTitle("Executions by server");
    List<String> names = counts.isEmpty() ? List.of("none") : List.copyOf(counts.keySet());
    chart.addSeries(
        "executions", names, names.stream().map(name -> counts.getOrDefault(name, 0)).toList());
    chart.getStyler().setXAxisLabelRotation(60);
    chart.getStyler().setLegendVisible(false);
    return chart;
  }

  private static String toSvg(Chart<?, ?> chart) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    VectorGraphicsEncoder.saveVectorGraphic(chart, out, VectorGraphicsFormat.SVG);
    String text = out.toString(StandardCharsets.UTF_8);
    // Without the XML prolog, to embed the chart in the page and keep the report a single file.
    return text.substring(text.indexOf("<svg"));
  }
}
