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

/** One endpoint list as received by a router, with its agreement with other routers' lists. */
final class ReceivedEndpointList {
  /** A list with less than this share of the formerly ready endpoints is presumed wrong. */
  private static final double MIN_REMAINING_SHARE = 0.5;

  private final SortedMap<String, ListedEndpoint> entries;
  private final ListVersion version;
  private final long digest;
  private final Moment receivedAt;
  private ListAgreement agreement = ListAgreement.UNTOLD;

  /** Time since which most routers have held the same list; NEVER while they do not. */
  private Moment heldByMajoritySince = Moment.NEVER;

  ReceivedEndpointList(
      SortedMap<String, ListedEndpoint> entries, ListVersion version, Moment receivedAt) {
    this.entries = entries;
    this.version = version;
    this.receivedAt = receivedAt;
    digest = digestOf(entries, version.generation());
  }

  private ReceivedEndpointList() {
    entries = new TreeMap<>();
    version = ListVersion.NONE;
    receivedAt = Moment.LONG_AGO;
    digest = 0;
  }

  /** Returns the placeholder of a router that has received no list. */
  static ReceivedEndpointList none() {
    return new ReceivedEndpointList();
  }

  SortedMap<String, ListedEndpoint> entries() {
    return entries;
  }

  ListVersion version() {
    return version;
  }

  /** Returns the digest of the contents; never 0, which denotes the absence of a list. */
  long digest() {
    return digest;
  }

  ListAgreement agreement() {
    return agreement;
  }

  /**
   * Applies the agreement reported by the leader. A dispute ends only when most routers hold or
   * have held this list, because a new leader may not have received the contradicting report yet.
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

  /** Whether most routers hold this list or have held it. */
  boolean isAgreed() {
    return agreement == ListAgreement.SEEN || agreement == ListAgreement.PASSED;
  }

  /** Whether it is newer than the list of most routers and uncontested for longer than the span. */
  boolean isUncontestedLongerThan(Span span, Moment now) {
    return agreement == ListAgreement.AHEAD && now.since(receivedAt).isLongerThan(span);
  }

  /** Returns the anomaly if the list lacks all or most endpoints of the list in use. */
  ListAnomaly anomalyComparedWith(ReceivedEndpointList current) {
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

  /** Computes the digest without addresses, which may differ between the routers' networks. */
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
