package basaltlever.discovery;

import basaltlever.gateway.EndpointLifecycle;
import basaltlever.log.Event;
import basaltlever.log.RateLimitedLog;
import basaltlever.membership.ListAnomaly;
import basaltlever.membership.ListedEndpoint;
import basaltlever.membership.MembershipView;
import basaltlever.time.Moment;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Tracks the endpoints of a router that belongs to a fleet. The lists are reported to the fleet's
 * membership view, and the view determines the lifecycle and group under which each endpoint is
 * published.
 */
final class AgreedEndpoints {
  /** Uses the logger of {@link EndpointList}, since the events concern the list. */
  private static final Logger LOG = LoggerFactory.getLogger(EndpointList.class);

  private static final long NEVER_PUBLISHED = -1;

  private final MembershipView view;
  private final EndpointPublisher publisher;
  private final RateLimitedLog heldListLog;

  /** The most recently listed entry of each endpoint. */
  private final Map<String, EndpointEntry> latestEntries = new LinkedHashMap<>();

  /** The last published entry of each endpoint. */
  private final Map<String, EndpointEntry> publishedEntries = new HashMap<>();

  /** The last published use of each endpoint. */
  private final Map<String, MembershipView.EndpointUse> publishedUses = new HashMap<>();

  private long publishedRevision = NEVER_PUBLISHED;

  AgreedEndpoints(MembershipView view, EndpointPublisher publisher, Supplier<Moment> clock) {
    this.view = view;
    this.publisher = publisher;
    heldListLog = new RateLimitedLog(LOG, Event.LIST_HELD, clock);
  }

  /** Adds an endpoint from the snapshot of an earlier process, which is published as draining. */
  void addRestored(EndpointEntry entry) {
    latestEntries.put(entry.id(), entry);
    publishedUses.put(
        entry.id(), new MembershipView.EndpointUse(EndpointLifecycle.DRAINING, entry.group()));
  }

  /** Reports an update to the membership view and publishes the resulting changes. */
  void applyUpdate(Moment now, EndpointUpdate update, boolean live) {
    Map<String, ListedEndpoint> listed = new LinkedHashMap<>();
    for (EndpointEntry entry : update.entries()) {
      listed.put(entry.id(), new ListedEndpoint(entry.lifecycle(), entry.group()));
      // The entry of a removed endpoint may lack an address; the previous entry is retained then.
      if (entry.address() != null || !latestEntries.containsKey(entry.id())) {
        latestEntries.put(entry.id(), entry);
      }
    }
    ListAnomaly anomaly = view.receiveList(now, update.full(), update.generation(), listed);
    if (anomaly != ListAnomaly.NONE) {
      heldListLog.log(update.generation(), anomaly.name());
    }
    publish(now, update.generation(), live);
  }

  /** Publishes the changes of the membership view since the last call. */
  void publishChanges(Moment now, long generation) {
    if (view.revision(now) != publishedRevision) {
      publish(now, generation, false);
    }
  }

  private void publish(Moment now, long generation, boolean live) {
    publishedRevision = view.revision(now);
    Set<String> endpointIds = view.endpoints();
    endpointIds.addAll(publishedUses.keySet());
    boolean batchBegun = live;
    boolean drainsUntilFullList = false;
    if (live) {
      publisher.beginBatch();
    }
    for (String id : endpointIds) {
      MembershipView.EndpointUse use = view.determineUse(now, id);
      if (!needsPublishing(id, use)) {
        continue;
      }
      if (!batchBegun) {
        publisher.beginBatch();
        batchBegun = true;
      }
      logMigration(id, use);
      drainsUntilFullList |=
          publisher.publishListed(
              now, latestEntries.get(id), use.lifecycle(), use.group(), generation, live);
      publishedUses.put(id, use);
    }
    if (batchBegun) {
      publisher.endList(now, drainsUntilFullList, live);
    }
    retainOnly(endpointIds);
  }

  /**
   * Returns whether the endpoint has to be published, and records its latest entry. An entry that
   * was read again is published even if it is equal.
   */
  @SuppressWarnings("ReferenceEquality")
  private boolean needsPublishing(String id, MembershipView.EndpointUse use) {
    EndpointEntry entry = latestEntries.get(id);
    boolean entryReplaced = entry != publishedEntries.put(id, entry);
    MembershipView.EndpointUse previousUse = publishedUses.get(id);
    if (entry == null || (previousUse == null && use.lifecycle() == EndpointLifecycle.GONE)) {
      return false;
    }
    return entryReplaced || !use.equals(previousUse);
  }

  private void logMigration(String id, MembershipView.EndpointUse use) {
    MembershipView.EndpointUse previousUse = publishedUses.get(id);
    if (previousUse != null && previousUse.group() != use.group()) {
      Event.MEMBER_MOVES.log(LOG, Level.INFO, "", id, use.group(), use.lifecycle());
    }
  }

  private void retainOnly(Set<String> endpointIds) {
    publishedUses.values().removeIf(use -> use.lifecycle() == EndpointLifecycle.GONE);
    publishedEntries.keySet().retainAll(publishedUses.keySet());
    latestEntries.keySet().retainAll(endpointIds);
  }
}
