package basaltlever.lab;

import basaltlever.json.InvalidJsonException;
import basaltlever.json.Json;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.math.BigDecimal;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Compares two files of figures whose runs are paired by seed. For each figure it prints both
 * means, the mean difference and the standard error of that difference.
 */
@Parameters(commandDescription = "Compares the figures of two files, paired by seed")
final class CompareCommand {
  @Parameter(description = "A.json B.json", required = true)
  private List<String> figureFiles = new ArrayList<>();

  int run() throws IOException {
    if (figureFiles.size() != 2) {
      System.err.println("basaltlever-lab: compare expects exactly two files");
      return 2;
    }
    try {
      Map<Long, Map<?, ?>> runsA = readRunsBySeed(figureFiles.get(0));
      Map<Long, Map<?, ?>> runsB = readRunsBySeed(figureFiles.get(1));
      runsA.keySet().retainAll(runsB.keySet());
      if (runsA.isEmpty()) {
        System.err.println("basaltlever-lab: the two files have no seed in common");
        return 2;
      }
      System.out.printf(
          "%-22s %12s %12s %12s %10s   %d seeds%n",
          "figure", "A", "B", "B - A", "noise", runsA.size());
      for (Object name : runsA.values().iterator().next().keySet()) {
        printDifference(String.valueOf(name), runsA, runsB);
      }
      return 0;
    } catch (InvalidJsonException e) {
      System.err.println("basaltlever-lab: " + e.getMessage());
      return 2;
    }
  }

  private static void printDifference(
      String name, Map<Long, Map<?, ?>> runsA, Map<Long, Map<?, ?>> runsB) {
    PairedSamples samples = new PairedSamples();
    for (Long seed : runsA.keySet()) {
      if (runsA.get(seed).get(name) instanceof BigDecimal valueA
          && runsB.get(seed).get(name) instanceof BigDecimal valueB) {
        samples.add(valueA.doubleValue(), valueB.doubleValue());
      }
    }
    if (samples.count() > 0 && !name.equals("seed")) {
      System.out.printf(
          java.util.Locale.ROOT,
          "%-22s %12.3f %12.3f %+12.3f %10.3f%n",
          name,
          samples.meanA(),
          samples.meanB(),
          samples.meanDifference(),
          samples.standardError());
    }
  }

  private static Map<Long, Map<?, ?>> readRunsBySeed(String file)
      throws IOException, InvalidJsonException {
    Map<Long, Map<?, ?>> runs = new TreeMap<>();
    if (Json.parse(Files.readString(Path.of(file))) instanceof Map<?, ?> content) {
      for (Object run : content.get("runs") instanceof List<?> list ? list : List.of(content)) {
        if (run instanceof Map<?, ?> figures && figures.get("seed") instanceof BigDecimal seed) {
          runs.put(seed.longValue(), figures);
        }
      }
    }
    return runs;
  }
}
