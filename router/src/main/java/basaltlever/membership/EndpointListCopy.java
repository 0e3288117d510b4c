package basaltlever.membership;

import basaltlever.gateway.EndpointLifecycle;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** One endpoint list as a router received it, and how it agrees with the other routers' lists. */
final class EndpointListCopy {
  /** A list that names less than this share of the ready endpoints is suspected to be wrong. */
  private static final double MIN_REMAINING_SHARE = 0.5;

  private final SortedMap<String, ListedEndpoint> entries;
  private final ListVersion version;
  private final long digest;
  private final Moment receivedAt;
  private ListAgreement agreement = ListAgreement.UNTOLD;

  /** Since when most routers have held this very list. */
  private Moment heldByMajoritySince = Moment.NEVER;

  EndpointListCopy(
      SortedMap<String, ListedEndpoint> entries, ListVersion version, Moment receivedAt) {
    this.entries = entries;
    this.version = version;
    this.receivedAt = receivedAt;
    digest = digestOf(entries, version.generation());
  }

  private EndpointListCopy() {
    entries = new TreeMap<>();
    version = ListVersion.NONE;
    receivedAt = Moment.LONG_AGO;
    digest = 0;
  }

  /** The list of a router that has received none. */
  static EndpointListCopy none() {
    return new EndpointListCopy();
  }

  SortedMap<String, ListedEndpoint> entries() {
    return entries;
  }

  ListVersion version() {
    return version;
  }

  /** Never 0, which stands for no list. */
  long digest() {
    return digest;
  }

  ListAgreement agreement() {
    return agreement;
  }

  /**
   * Takes in the leader's judgement. A dispute ends only when most routers hold or held this list,
   * because a new leader may not know of the dispute yet.
   */
  void updateAgreement(Moment now, ListAgreement newAgreement) {
    boolean isAgreed = newAgreement == ListAgreement.SEEN || newAgreement == ListAgreement.PASSED;
    if (agreement != ListAgreement.DISPUTED || isAgreed) {
      agreement = newAgreement;
    }
    heldByMajoritySince =
        agreement == ListAgreement.SEEN ? heldByMajoritySince.earlier(now) : Moment.NEVER;
  }

  boolean isHeldByMajorityLongerThan(Span span, Moment now) {
    return now.since(heldByMajoritySince).isLongerThan(span);
  }

  /** Whether most routers hold or held this list. */
  boolean isAgreed() {
    return agreement == ListAgreement.SEEN || agreement == ListAgreement.PASSED;
  }

  /** Whether it is newer than what most routers hold, and uncontested for longer than the span. */
  boolean isUncontestedLongerThan(Span span, Moment now) {
    return agreement == ListAgreement.AHEAD && now.since(receivedAt).isLongerThan(span);
  }

  /** Whether it lacks suspiciously many endpoints, compared with the list in use. */
  ListAnomaly anomalyComparedWith(EndpointListCopy current) {
    if (entries.values().stream().allMatch(entry -> entry.lifecycle() == EndpointLifecycle.GONE)) {
      return ListAnomaly.EMPTY;
    }
    long ready = 0;
    long remaining = 0;
    for (Map.Entry<String, ListedEndpoint> entry : current.entries.entrySet()) {
      if (entry.getValue().lifecycle() == EndpointLifecycle.READY) {
        ready++;
        remaining += entries.containsKey(entry.getKey()) ? 1 : 0;
      }
    }
    return remaining < MIN_REMAINING_SHARE * ready ? ListAnomaly.SHRUNK : ListAnomaly.NONE;
  }

  /** Without addresses, which may differ between the routers' networks. */
  private static long digestOf(SortedMap<String, ListedEndpoint> entries, long generation) {
    MessageDigest sha256 = newSha256();
    entries.forEach(
        (endpoint, entry) -> {
          if (entry.lifecycle() != EndpointLifecycle.GONE) {
            String line = endpoint + '\0' + entry.lifecycle() + '\0' + entry.group() + '\n';
            sha256.update(line.getBytes(StandardCharsets.UTF_8));
          }
        });
    sha256.update(ByteBuffer.allocate(Long.BYTES).putLong(generation).array());
    long digest = ByteBuffer.wrap(sha256.digest()).getLong();
    return digest == 0 ? 1 : digest;
  }

  private static MessageDigest newSha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException(impossible);
    }
  }
}
