package basaltlever.fleet;

import basaltlever.config.FleetSettings;
import basaltlever.membership.VoterEligibility.PeerStatus;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Requests the status of the other voters; blocks until they reply or time out. */
final class PeerPoller {
  private static final int REPLY_TIMEOUT_MILLIS = 250;

  private final FleetSettings settings;
  private final String name;
  private final VoterStore store;

  PeerPoller(FleetSettings settings, String name, VoterStore store) {
    this.settings = settings;
    this.name = name;
    this.store = store;
  }

  /**
   * Returns the status of each other voter, named by the settings file or the store, that replies
   * in time.
   */
  List<PeerStatus> pollAll() {
    Set<String> others = new LinkedHashSet<>(settings.voters().keySet());
    others.addAll(store.voters());
    others.retainAll(settings.peers().keySet());
    others.remove(name);
    List<PeerStatus> statuses = new ArrayList<>();
    for (String voter : others) {
      StatusReport status = poll(voter);
      if (status != null) {
        statuses.add(
            new PeerStatus(
                voter,
                status.epoch(),
                status.voters(),
                status.requesterFolderId(),
                status.hasUnusedFolder(),
                status.isLeader()));
      }
    }
    return statuses;
  }

  /** Returns the status of a voter; null if it doesn't reply in time. */
  StatusReport poll(String voter) {
    try {
      FleetReply reply =
          AdminClient.send(
              settings.peers().get(voter),
              new FleetRequest.Status(settings.name(), name),
              REPLY_TIMEOUT_MILLIS);
      return reply instanceof StatusReport status ? status : null;
    } catch (IOException unreachable) {
      return null;
    }
  }
}
