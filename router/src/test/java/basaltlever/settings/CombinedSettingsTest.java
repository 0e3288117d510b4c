package basaltlever.settings;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.config.StartValues;
import basaltlever.gateway.Settings;
import basaltlever.gateway.Workload;
import basaltlever.gateway.Workload.ReadConsistency;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BinaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Whatever a router does while a version is prepared, both versions allow. What they allow is
 * judged from their texts, by what servers, clients and discovery see; for each key that
 * docs/agreement.md calls ordered, a combination that ignores the version in force is found.
 */
class CombinedSettingsTest {
  /** A planted combination must be found within so many seeds. */
  private static final int SEEDS_PER_PLANTED_BUG = 60;

  private static final Pattern QUOTED_NAME = Pattern.compile("`([A-Za-z.]+)`");

  private static List<String> violations(
      VersionText older, VersionText newer, Settings combined, long seed) {
    List<String> violations =
        new ArrayList<>(new VersionChangeWorld(older, newer, seed).play(combined));
    for (VersionText version : List.of(older, newer)) {
      violations.addAll(ColdStartWorld.violations(version, combined, seed));
    }
    return violations;
  }

  private static Settings combine(VersionText older, VersionText newer) {
    return StricterSettings.of(older.startValues().settings(), newer.startValues().settings());
  }

  @Property(tries = 400, seed = "7601", shrinking = ShrinkingMode.OFF)
  void routerDoesOnlyWhatBothVersionsAllow(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    VersionText older = VersionText.draw(random);
    VersionText newer = VersionText.draw(random);
    List<String> violations = violations(older, newer, combine(older, newer), seed);
    check(violations.isEmpty(), seed + " " + violations + "\n" + older + "\n" + newer);
  }

  /** The relation of the versions of each key, as the table of the page states it. */
  private static Map<String, String> statedRelations() throws IOException {
    Path page =
        Files.exists(Path.of("docs"))
            ? Path.of("docs/agreement.md")
            : Path.of("../docs/agreement.md");
    Map<String, String> relations = new TreeMap<>();
    boolean inTable = false;
    for (String line : Files.readAllLines(page)) {
      inTable = line.startsWith("| key |") || (inTable && line.startsWith("|"));
      if (inTable) {
        String[] cells = line.split("\\|");
        Matcher names = QUOTED_NAME.matcher(cells[1]);
        while (names.find()) {
          relations.merge(names.group(1), cells[2].trim(), (one, other) -> one + "; " + other);
        }
      }
    }
    return relations;
  }

  private static String relationOf(String key, Map<String, String> relations) {
    String shortName = key.substring(key.lastIndexOf('.') + 1);
    return relations.getOrDefault(key, relations.getOrDefault(shortName, ""));
  }

  /** A new key needs values in {@link VersionText} and a row in the page's table. */
  @Example
  void eachKeyThatIsReadHasValuesAndAStatedRelation() throws IOException {
    Map<String, String> relations = statedRelations();
    StartValues values =
        VersionText.draw(new SplittableRandom(1)).with("Bounds.RetryAfter", "true").startValues();
    values.zones();
    values.loadReportFormat(0);
    Set<String> keys = new TreeSet<>(values.readKeys());
    check(keys.equals(new TreeSet<>(VersionText.keys())), "keys with values for: " + keys);
    keys.remove("Classes.count");
    for (String key : keys) {
      check(!relationOf(key, relations).isEmpty(), key + " has no row in docs/agreement.md");
    }
  }

  /** Returns in how many of the seeds the combination of versions that differ in a key is found. */
  private static int foundIn(String key, BinaryOperator<VersionText> olderAsCombined) {
    int found = 0;
    for (long seed = 1; seed <= SEEDS_PER_PLANTED_BUG; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      VersionText older = VersionText.draw(random);
      VersionText newer = older.with(key, VersionText.draw(random));
      Settings planted = combine(olderAsCombined.apply(older, newer), newer);
      found += violations(older, newer, planted, seed).isEmpty() ? 0 : 1;
    }
    return found;
  }

  @Example
  void combinationThatIgnoresTheVersionInForceIsFoundForEachOrderedKey() throws IOException {
    Map<String, String> relations = statedRelations();
    Map<String, Integer> foundByKey = new TreeMap<>();
    for (String key : VersionText.keys()) {
      if (relationOf(key, relations).contains("ordered")) {
        foundByKey.put(key, foundIn(key, (older, newer) -> older.with(key, newer)));
      }
    }
    System.out.println("planted, found in seeds of " + SEEDS_PER_PLANTED_BUG + ": " + foundByKey);
    check(foundByKey.size() > 20, "the ordered keys are read from the page: " + foundByKey);
    foundByKey.forEach((key, found) -> check(found > 0, key + " is checked: " + foundByKey));
  }

  /** The order of reads that let the bound of review/9 go, and the opposite order. */
  @Example
  void rankingOfSessionAndBoundedReadsIsFoundInBothOrders() {
    for (ReadConsistency kept : List.of(ReadConsistency.SESSION, ReadConsistency.BOUNDED)) {
      int found = 0;
      for (long seed = 1; seed <= SEEDS_PER_PLANTED_BUG; seed++) {
        SplittableRandom random = new SplittableRandom(seed);
        VersionText older = VersionText.draw(random).with("FamilyInfo.SessionMarks", "carried");
        older = older.with("FamilyInfo.ClassRead", "session,bounded,write");
        VersionText newer = older.with("FamilyInfo.ClassRead", "bounded,session,write");
        Settings planted = withOnly(kept, combine(older, newer));
        found += violations(older, newer, planted, seed).isEmpty() ? 0 : 1;
      }
      System.out.println(
          "planted, only " + kept + " kept: " + found + " of " + SEEDS_PER_PLANTED_BUG);
      check(found > 0, "a combination that keeps only " + kept + " is found");
    }
  }

  private static Settings withOnly(ReadConsistency kept, Settings combined) {
    Workload[] workloads = combined.workloads().clone();
    for (int i = 0; i < workloads.length; i++) {
      if (workloads[i].consistency() == ReadConsistency.SESSION_AND_BOUNDED) {
        workloads[i] = workloads[i].withConsistency(kept);
      }
    }
    return combined.withWorkloads(workloads);
  }
}
