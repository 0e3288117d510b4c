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
 * Two files of figures, seed by seed: the mean difference of each figure and how much it moves by
 * chance.
 */
@Parameters(commandDescription = "Compares two files of figures, seed by seed")
final class CompareCommand {
  @Parameter(description = "A.json B.json", required = true)
  private List<String> figureFiles = new ArrayList<>();

  int run() throws IOException {
    if (figureFiles.size() != 2) {
      System.err.println("basaltlever-lab: compare takes two files");
      return 2;
    }
    try {
      Map<Long, Map<?, ?>> runsA = readRunsBySeed(figureFiles.get(0));
      Map<Long, Map<?, ?>> runsB = readRunsBySeed(figureFiles.get(1));
      runsA.keySet().retainAll(runsB.keySet());
      if (runsA.isEmpty()) {
        System.err.println("basaltlever-lab: the files have no seed in common");
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
    PairedSamples pairs = new PairedSamples();
    for (Long seed : runsA.keySet()) {
      if (runsA.get(seed).get(name) instanceof BigDecimal one
          && runsB.get(seed).get(name) instanceof BigDecimal other) {
        pairs.add(one.doubleValue(), other.doubleValue());
      }
    }
    if (pairs.count() > 0 && !name.equals("seed")) {
      System.out.printf(
          java.util.Locale.ROOT,
          "%-22s %12.3f %12.3f %+12.3f %10.3f%n",
          name,
          pairs.meanA(),
          pairs.meanB(),
          pairs.meanDifference(),
          pairs.standardError());
    }
  }

  private static Map<Long, Map<?, ?>> readRunsBySeed(String file)
      throws IOException, InvalidJsonException {
    Map<Long, Map<?, ?>> runs = new TreeMap<>();
    if (Json.parse(Files.readString(Path.of(file))) instanceof Map<?, ?> whole) {
      for (Object run : whole.get("runs") instanceof List<?> all ? all : List.of(whole)) {
        if (run instanceof Map<?, ?> one && one.get("seed") instanceof BigDecimal seed) {
          runs.put(seed.longValue(), one);
        }
      }
    }
    return runs;
  }
}
