package basaltlever.fleet;

import basaltlever.log.Event;
import basaltlever.settings.SettingsVersion;
import basaltlever.settings.VersionRegister;
import basaltlever.settings.VersionRegister.HistoryEntry;
import java.io.ByteArrayInputStream;
import java.io.DataInput;
import java.io.DataOutput;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
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
 * One voter: JGroups with its Raft (docs/agreement.md says why). Term, vote and log stand in the
 * folder; the register is what the log comes to. Commands come from the engine's own threads, one
 * after the other; who reads the register meanwhile holds its lock.
 */
final class RaftNode implements StateMachine, AutoCloseable {
  private static final String STACK =
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

  /** Ports that the failure detector listens on lie this far above the voters' own. */
  private static final int DETECTOR = 1_000;

  private static final long JOINS_AGAIN_MILLIS = 300;
  private static final int KEPT_TEXTS = 2;
  private static final Logger LOG = LoggerFactory.getLogger(RaftNode.class);

  /** For readers outside the engine's threads too: hold its lock. */
  final VersionRegister register = new VersionRegister();

  private final JChannel channel;
  private final RaftHandle raft;
  private final Consumer<Boolean> leads;
  private volatile boolean closed;

  /**
   * Joins the others, or waits for them. Members vote at first, this one among them; voters are
   * where they may be met. Suspicion comes after the span; leads is told whenever this voter begins
   * or ceases to lead, on the engine's thread.
   */
  RaftNode(
      String fleet,
      String name,
      Map<String, InetSocketAddress> voters,
      List<String> members,
      Path folder,
      long suspectMillis,
      Consumer<Boolean> leads)
      throws Exception {
    this.leads = leads;
    InetSocketAddress own = voters.get(name);
    String hosts =
        voters.values().stream()
            .map(at -> at.getHostString() + "[" + at.getPort() + "]")
            .collect(Collectors.joining(","));
    String stack =
        STACK.formatted(
            own.getHostString(),
            own.getPort(),
            hosts,
            own.getHostString(),
            DETECTOR,
            suspectMillis,
            Math.max(50, suspectMillis / 4),
            String.join(",", members),
            name,
            folder.toAbsolutePath(),
            name);
    channel = new JChannel(new ByteArrayInputStream(stack.getBytes(StandardCharsets.UTF_8)));
    channel.setName(name);
    raft = new RaftHandle(channel, this).raftId(name);
    raft.addRoleListener(this::role);
    Thread joins = new Thread(() -> join(fleet), "joins");
    joins.setDaemon(true);
    joins.start();
  }

  /**
   * A voter that was ended and is back at once is turned away for as long as the others have not
   * noticed that it was gone: it asks again, and its router serves meanwhile.
   */
  private void join(String fleet) {
    while (!closed) {
      try {
        channel.connect(fleet);
        return;
      } catch (Exception turnedAway) {
        Event.FLEET_JOINS.log(LOG, Level.WARN, "asks again", turnedAway);
      }
      try {
        Thread.sleep(JOINS_AGAIN_MILLIS);
      } catch (InterruptedException ended) {
        return;
      }
    }
  }

  private void role(Role role) {
    leads.accept(role == Role.Leader);
  }

  /** Empty where nobody leads. */
  String leader() {
    Address leader = raft.leader();
    String name = leader == null ? null : NameCache.get(leader);
    return name == null ? "" : name;
  }

  /** Who votes, as far as this one knows. */
  List<String> members() {
    return List.copyOf(raft.raft().members());
  }

  /** Takes a voter in, or out; one change at a time, and only where this one leads. */
  CompletableFuture<byte[]> change(String voter, boolean in) {
    try {
      return in ? raft.raft().addServer(voter) : raft.raft().removeServer(voter);
    } catch (Exception refused) {
      return CompletableFuture.failedFuture(refused);
    }
  }

  /** How far its log has come, for status. */
  String standing() {
    RAFT protocol = raft.raft();
    return protocol.role().toLowerCase(java.util.Locale.ROOT)
        + ", term "
        + raft.currentTerm()
        + ", applied "
        + raft.lastApplied()
        + " of "
        + raft.commitIndex();
  }

  /** The answer of the register once a majority has the command; fails where there is none. */
  CompletableFuture<String> submit(Map<String, Object> command) {
    byte[] bytes = MessageCodec.write(command);
    try {
      return raft.setAsync(bytes, 0, bytes.length, Options.create(false))
          .thenApply(answer -> answer == null ? "" : new String(answer, StandardCharsets.UTF_8));
    } catch (Exception refused) {
      return CompletableFuture.failedFuture(refused);
    }
  }

  // ---- What the engine asks of the register.

  @Override
  public byte[] apply(byte[] data, int offset, int length, boolean serialize) throws IOException {
    Map<String, Object> command = MessageCodec.read(data, offset, length);
    String answer;
    synchronized (register) {
      long number = MessageCodec.number(command, "number");
      answer =
          switch (MessageCodec.text(command, "do")) {
            case "propose" ->
                register.propose(
                    number,
                    MessageCodec.text(command, "text"),
                    (int) Math.max(1, MessageCodec.number(command, "routers")),
                    MessageCodec.text(command, "who"),
                    MessageCodec.text(command, "why"),
                    MessageCodec.number(command, "at"));
            case "force" -> register.bringIntoForce(number) ? "" : "it is not on its way";
            case "withdraw" ->
                register.withdraw(number, MessageCodec.text(command, "why"))
                    ? ""
                    : "it is not on its way";
            case "seat" -> {
              MembershipCodec.seats(command.get("seats"))
                  .forEach(seat -> register.seat(seat.member(), seat.group(), seat.at()));
              yield "";
            }
            case "clear" -> {
              MembershipCodec.seats(command.get("seats"))
                  .forEach(seat -> register.clear(seat.member()));
              yield "";
            }
            case "seal" ->
                register.seal(
                        MessageCodec.text(command, "voter"), MessageCodec.text(command, "folder"))
                    ? ""
                    : "its folder is known";
            case "unseal" -> {
              register.unseal(MessageCodec.text(command, "voter"));
              yield "";
            }
            case "count_anew" -> register.countAnew(number) ? "" : "it is counted anew already";
            case "charter" -> {
              // Once: whoever leads submits it until it has begun.
              if (VersionRegister.charter(MessageCodec.number(command, "changes"))
                  > register.charter()) {
                restore(command);
              }
              yield "";
            }
            // A pulse, or what a later release knows: order is all that matters of it.
            default -> "";
          };
    }
    return answer.getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public void writeContentTo(DataOutput out) throws IOException {
    byte[] bytes = MessageCodec.write(content(register));
    out.writeInt(bytes.length);
    out.write(bytes);
  }

  /** All of a register that a snapshot or a seed holds. */
  static Map<String, Object> content(VersionRegister register) {
    Map<String, Object> all = new LinkedHashMap<>();
    synchronized (register) {
      all.put("force", MessageCodec.of(register.inForce()));
      all.put("prepared", MessageCodec.of(register.prepared()));
      all.put("last", register.last());
      all.put("changes", register.changes());
      all.put("era", register.era());
      all.put("seats_number", register.seatsNumber());
      all.put("seats", register.seats(-1).stream().map(MembershipCodec::of).toList());
      all.put("seals", new LinkedHashMap<>(register.seals()));
      all.put("ended", List.copyOf(register.ended()));
      // The texts of old versions would make a snapshot large: revert needs the latest few only.
      List<HistoryEntry> history = register.history();
      all.put(
          "history",
          history.stream()
              .map(
                  chapter -> {
                    boolean old = history.indexOf(chapter) < history.size() - KEPT_TEXTS;
                    SettingsVersion v = chapter.version();
                    return MessageCodec.of(
                        old
                            ? new HistoryEntry(
                                new SettingsVersion(
                                    v.number(), "", v.routers(), v.who(), v.why(), v.atMillis()),
                                chapter.end(),
                                chapter.reason())
                            : chapter);
                  })
              .toList());
    }
    return all;
  }

  @Override
  public void readContentFrom(DataInput in) throws IOException {
    byte[] bytes = new byte[Math.min(Math.max(0, in.readInt()), MessageCodec.LARGEST)];
    in.readFully(bytes);
    restore(MessageCodec.read(bytes, 0, bytes.length));
  }

  private void restore(Map<String, Object> all) {
    synchronized (register) {
      register.restore(
          MessageCodec.version(all.get("force")),
          MessageCodec.version(all.get("prepared")),
          MessageCodec.number(all, "last"),
          MessageCodec.number(all, "changes"),
          all.get("history") instanceof List<?> lines
              ? lines.stream().map(line -> MessageCodec.chapter((Map<?, ?>) line)).toList()
              : List.of());
      register.restore(
          MessageCodec.number(all, "era"),
          MessageCodec.number(all, "seats_number"),
          MembershipCodec.seats(all.get("seats")));
      Map<String, String> seals = new LinkedHashMap<>();
      if (all.get("seals") instanceof Map<?, ?> told) {
        told.forEach((voter, folder) -> seals.put("" + voter, "" + folder));
      }
      register.restore(seals, MessageCodec.texts(all, "ended"));
    }
  }

  @Override
  public void close() {
    closed = true;
    channel.close();
  }
}
