package basaltlever.fleet;

import basaltlever.config.FleetSettings;
import basaltlever.membership.VoterEligibility.PeerStatus;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Asks the other voters for their status; blocks while it does. */
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

  /** The status of all other voters that answer in time, of the settings file and of the store. */
  List<PeerStatus> pollAll() {
    Set<String> others = new LinkedHashSet<>(settings.voters().keySet());
    others.addAll(store.voters());
    others.retainAll(settings.peers().keySet());
    others.remove(name);
    List<PeerStatus> statuses = new ArrayList<>();
    for (String other : others) {
      StatusReport status = poll(other);
      if (status != null) {
        statuses.add(
            new PeerStatus(
                other,
                status.epoch(),
                status.voters(),
                status.requesterFolderId(),
                status.hasUnusedFolder(),
                status.isLeader()));
      }
    }
    return statuses;
  }

  /** Null where it doesn't answer in time. */
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
