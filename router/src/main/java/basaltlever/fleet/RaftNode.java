package basaltlever.fleet;

import basaltlever.log.Event;
import basaltlever.settings.VersionRegister;
import java.io.ByteArrayInputStream;
import java.io.DataInput;
import java.io.DataOutput;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.jgroups.Address;
import org.jgroups.JChannel;
import org.jgroups.protocols.raft.RAFT;
import org.jgroups.protocols.raft.Role;
import org.jgroups.raft.Options;
import org.jgroups.raft.RaftHandle;
import org.jgroups.raft.StateMachine;
import org.jgroups.util.NameCache;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * The Raft node of one voter, implemented with JGroups (docs/agreement.md gives the reasons). Term,
 * vote and log are stored in the log folder; the register is the state machine to which the log's
 * commands are applied. JGroups applies them one after the other on its own threads, so other
 * threads must hold the register's lock while they read it.
 */
final class RaftNode implements StateMachine, AutoCloseable {
  private static final String PROTOCOL_STACK =
      """
        <config xmlns="urn:org:jgroups">
          <TCP bind_addr="%s" bind_port="%d" port_range="0" sock_conn_timeout="300" diag.enabled="false"
               thread_pool.min_threads="1" thread_pool.max_threads="8" thread_pool.keep_alive_time="5000"
               bundler_type="no-bundler"/>
          <TCPPING initial_hosts="%s" port_range="0"/>
          <MERGE3 min_interval="200" max_interval="600" check_interval="1200"/>
          <FD_SOCK2 bind_addr="%s" port_range="0" offset="%d"/>
          <FD_ALL3 timeout="%d" interval="%d"/>
          <VERIFY_SUSPECT2 timeout="300"/>
          <pbcast.NAKACK2 use_mcast_xmit="false" xmit_interval="200"/>
          <UNICAST3 xmit_interval="200"/>
          <pbcast.STABLE desired_avg_gossip="5000" max_bytes="1M"/>
          <raft.NO_DUPES/>
          <pbcast.GMS print_local_addr="false" join_timeout="500" max_join_attempts="2" leave_timeout="300"
                      merge_timeout="800" view_ack_collection_timeout="400"/>
          <FRAG2 frag_size="60K"/>
          <raft.ELECTION2/>
          <raft.RAFT members="%s" raft_id="%s" log_class="org.jgroups.protocols.raft.FileBasedLog"
                     log_dir="%s" log_use_fsync="true" resend_interval="200"
                     max_log_size="1M" log_prefix="%s"/>
          <raft.REDIRECT/>
        </config>
        """;

  /** Offset from a voter's port to the port of its failure detector. */
  private static final int FAILURE_DETECTOR_PORT_OFFSET = 1_000;

  private static final long MIN_FAILURE_CHECK_INTERVAL_MILLIS = 50;
  private static final long JOIN_RETRY_MILLIS = 300;
  private static final Logger LOG = LoggerFactory.getLogger(RaftNode.class);

  private final VersionRegister register = new VersionRegister();
  private final JChannel channel;
  private final RaftHandle raft;
  private final Consumer<Boolean> onLeadershipChanged;
  private volatile boolean closed;

  /**
   * Creates the Raft node and joins the other voters in the background.
   *
   * @param cluster name of the Raft cluster
   * @param name name of this voter
   * @param voterAddresses addresses of all configured voters, by name
   * @param initialVoters voters of a new log, including this one
   * @param logFolder folder of the log
   * @param suspectTimeoutMillis time without a message after which another voter is suspected to
   *     have failed
   * @param onLeadershipChanged called on a JGroups thread when this voter becomes the leader or
   *     loses the leadership
   */
  RaftNode(
      String cluster,
      String name,
      Map<String, InetSocketAddress> voterAddresses,
      List<String> initialVoters,
      Path logFolder,
      long suspectTimeoutMillis,
      Consumer<Boolean> onLeadershipChanged)
      throws Exception {
    this.onLeadershipChanged = onLeadershipChanged;
    InetSocketAddress ownAddress = voterAddresses.get(name);
    String initialHosts =
        voterAddresses.values().stream()
            .map(address -> address.getHostString() + "[" + address.getPort() + "]")
            .collect(Collectors.joining(","));
    String stack =
        PROTOCOL_STACK.formatted(
            ownAddress.getHostString(),
            ownAddress.getPort(),
            initialHosts,
            ownAddress.getHostString(),
            FAILURE_DETECTOR_PORT_OFFSET,
            suspectTimeoutMillis,
            Math.max(MIN_FAILURE_CHECK_INTERVAL_MILLIS, suspectTimeoutMillis / 4),
            String.join(",", initialVoters),
            name,
            logFolder.toAbsolutePath(),
            name);
    channel = new JChannel(new ByteArrayInputStream(stack.getBytes(StandardCharsets.UTF_8)));
    channel.setName(name);
    raft = new RaftHandle(channel, this).raftId(name);
    raft.addRoleListener(this::onRoleChanged);
    Thread joinThread = new Thread(() -> join(cluster), "raft-join");
    joinThread.setDaemon(true);
    joinThread.start();
  }

  /**
   * Joins the cluster, with retries: the other voters reject a restarted voter until they have
   * detected that its former process has ended. The router serves meanwhile.
   */
  @SuppressWarnings("IllegalCatch") // Top-level handler of its thread; JGroups declares Exception.
  private void join(String cluster) {
    while (!closed) {
      try {
        channel.connect(cluster);
        return;
      } catch (Exception failure) {
        Event.FLEET_JOINS.log(LOG, Level.WARN, "joining the voters failed; retrying", failure);
      }
      try {
        Thread.sleep(JOIN_RETRY_MILLIS);
      } catch (InterruptedException interrupted) {
        return;
      }
    }
  }

  private void onRoleChanged(Role role) {
    onLeadershipChanged.accept(role == Role.Leader);
  }

  /** Returns the register; callers on other threads than JGroups' must hold its lock. */
  VersionRegister register() {
    return register;
  }

  /** Returns the name of the leader; empty if there is none. */
  String leaderName() {
    Address leader = raft.leader();
    String name = leader == null ? null : NameCache.get(leader);
    return name == null ? "" : name;
  }

  /** Returns the voters according to this voter's log. */
  List<String> voters() {
    return List.copyOf(raft.raft().members());
  }

  /** Adds or removes a voter. Only the leader may do so, one change at a time. */
  @SuppressWarnings("IllegalCatch") // JGroups declares Exception.
  CompletableFuture<byte[]> changeVoter(String voter, boolean add) {
    try {
      return add ? raft.raft().addServer(voter) : raft.raft().removeServer(voter);
    } catch (Exception failure) {
      return CompletableFuture.failedFuture(failure);
    }
  }

  /** Describes the role and the progress of the log, for status reports. */
  String statusSummary() {
    RAFT protocol = raft.raft();
    return "%s, term %s, applied %s of %s"
        .formatted(
            protocol.role().toLowerCase(Locale.ROOT),
            raft.currentTerm(),
            raft.lastApplied(),
            raft.commitIndex());
  }

  /**
   * Submits a command to the log. The result completes once a majority has committed the command,
   * with the reason why it has no effect, or an empty text; it fails if there is no majority.
   */
  @SuppressWarnings("IllegalCatch") // JGroups declares Exception.
  CompletableFuture<String> submit(RaftCommand command) {
    byte[] bytes = MessageCodec.write(RaftCommandCodec.encode(command));
    try {
      return raft.setAsync(bytes, 0, bytes.length, Options.create(false))
          .thenApply(answer -> answer == null ? "" : new String(answer, StandardCharsets.UTF_8));
    } catch (Exception failure) {
      return CompletableFuture.failedFuture(failure);
    }
  }

  @Override
  public byte[] apply(byte[] data, int offset, int length, boolean serialize) throws IOException {
    RaftCommand command = RaftCommandCodec.decode(MessageCodec.read(data, offset, length));
    return CommandApplier.apply(command, register).getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public void writeContentTo(DataOutput out) throws IOException {
    byte[] bytes = MessageCodec.write(RaftCommandCodec.encode(RegisterContent.of(register)));
    out.writeInt(bytes.length);
    out.write(bytes);
  }

  @Override
  public void readContentFrom(DataInput in) throws IOException {
    byte[] bytes = new byte[Math.min(Math.max(0, in.readInt()), MessageCodec.MAX_MESSAGE_BYTES)];
    in.readFully(bytes);
    RaftCommandCodec.decodeContent(MessageCodec.read(bytes, 0, bytes.length)).restoreTo(register);
  }

  @Override
  public void close() {
    closed = true;
    channel.close();
  }
}
