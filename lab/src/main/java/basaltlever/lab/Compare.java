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
final class Compare {
  @Parameter(description = "A.json B.json", required = true)
  private List<String> files = new ArrayList<>();

  int run() throws IOException {
    if (files.size() != 2) {
      System.err.println("basaltlever-lab: compare takes two files");
      return 2;
    }
    try {
      Map<Long, Map<?, ?>> a = runs(files.get(0));
      Map<Long, Map<?, ?>> b = runs(files.get(1));
      a.keySet().retainAll(b.keySet());
      if (a.isEmpty()) {
        System.err.println("basaltlever-lab: the files have no seed in common");
        return 2;
      }
      System.out.printf(
          "%-22s %12s %12s %12s %10s   %d seeds%n", "figure", "A", "B", "B - A", "noise", a.size());
      for (Object name : a.values().iterator().next().keySet()) {
        tell(String.valueOf(name), a, b);
      }
      return 0;
    } catch (InvalidJsonException fault) {
      System.err.println("basaltlever-lab: " + fault.getMessage());
      return 2;
    }
  }

  private static void tell(String name, Map<Long, Map<?, ?>> a, Map<Long, Map<?, ?>> b) {
    Pairs pairs = new Pairs();
    for (Long seed : a.keySet()) {
      if (a.get(seed).get(name) instanceof BigDecimal one
          && b.get(seed).get(name) instanceof BigDecimal other) {
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
          pairs.difference(),
          pairs.noise());
    }
  }

  private static Map<Long, Map<?, ?>> runs(String file) throws IOException, InvalidJsonException {
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
