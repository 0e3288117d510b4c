package basaltlever.cli;

import basaltlever.config.Addresses;
import basaltlever.config.InvalidSettingsException;
import basaltlever.config.StartFile;
import basaltlever.json.InvalidJsonException;
import basaltlever.json.Json;
import basaltlever.pg.QueryResponse;
import basaltlever.switchover.SwitchoverAnnouncement;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.math.BigDecimal;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Announces planned changes of primary in the table that routers read, shows them and takes them
 * back. The members are those that discovery lists now; what they answer decides, not what this
 * command was told.
 */
final class SwitchCommand {
  private static final int PATIENCE_MILLIS = 3_000;
  private static final int LARGEST = 1 << 24;

  /** An announcement is open until this long after its time. */
  private static final long OPEN_MILLIS = 10_000;

  private static class Where {
    @Parameter(
        names = "--file",
        description = "start file of a router; $GW_CONFIG where it is not given")
    String file = System.getenv("GW_CONFIG");

    @Parameter(names = "--group", description = "number of the group", required = true)
    int group;

    @Parameter(
        names = "--table",
        description = "the table, as [change] table of the operator's file")
    String table = "basaltlever_change";
  }

  @Parameters(commandDescription = "Announces a change of primary")
  private static final class Announce extends Where {
    @Parameter(
        names = "--target",
        description = "the member that is to be primary",
        required = true)
    private String target;

    @Parameter(names = "--in-ms", description = "how long from now it begins, 4000 to 86400000")
    private long inMillis = 5_000;
  }

  @Parameters(commandDescription = "Shows what each member of a group tells")
  private static final class Status extends Where {}

  @Parameters(commandDescription = "Takes the latest announcement back")
  private static final class Cancel extends Where {}

  private record Member(String id, InetSocketAddress address, String lifecycle) {}

  private record Told(Member member, String role, SwitchoverAnnouncement note) {}

  /** Refused for a reason that the user can do something about. */
  private static final class Refusal extends Exception {
    private static final long serialVersionUID = 1L;

    Refusal(String why) {
      super(why);
    }
  }

  private final Announce announce = new Announce();
  private final Status status = new Status();
  private final Cancel cancel = new Cancel();
  private JCommander line;

  void joins(JCommander main) {
    line = main.getCommands().get("switch");
    line.addCommand("announce", announce);
    line.addCommand("status", status);
    line.addCommand("cancel", cancel);
  }

  /** Runs the sub-command that was named; returns the exit code. */
  int run(PrintStream out, PrintStream err) {
    String command = line.getParsedCommand();
    Where where =
        "announce".equals(command) ? announce : "status".equals(command) ? status : cancel;
    if (command == null || where.file == null) {
      err.println("basaltlever: switch takes announce, status or cancel, and a start file");
      return ExitCode.MISUSED;
    }
    try {
      List<Told> told = ask(where);
      if (where == announce) {
        out.println(write(where, told, announced(told), announce.inMillis));
      } else if (where == cancel) {
        SwitchoverAnnouncement open = open(told);
        if (open == null) {
          throw new Refusal("no announcement of group " + where.group + " is open");
        }
        out.println(
            write(
                where,
                told,
                new SwitchoverAnnouncement(open.number(), open.target(), open.atMillis(), true),
                0));
      } else {
        told.forEach(
            one ->
                out.printf(
                    "%-20s %-21s %-11s %-8s %s%n",
                    one.member.id,
                    Addresses.text(one.member.address),
                    one.member.lifecycle,
                    one.role,
                    one.note == null ? "-" : one.note.toText()));
      }
      return ExitCode.OK;
    } catch (InvalidSettingsException | Refusal fault) {
      err.println("basaltlever: " + fault.getMessage());
      return fault instanceof Refusal ? ExitCode.REFUSED : ExitCode.MISUSED;
    } catch (IOException fault) {
      err.println("basaltlever: " + fault);
      return ExitCode.REFUSED;
    }
  }

  private SwitchoverAnnouncement announced(List<Told> told) throws Refusal {
    if (announce.inMillis < 4_000 || announce.inMillis > 86_400_000) {
      throw new Refusal("--in-ms takes 4000 to 86400000: routers read each table every 3 s");
    }
    SwitchoverAnnouncement open = open(told);
    if (open != null) {
      throw new Refusal("an announcement of this group is open already: " + open.toText());
    }
    Told target =
        told.stream().filter(one -> one.member.id.equals(announce.target)).findAny().orElse(null);
    if (target == null || !target.member.lifecycle.equals("in_service")) {
      throw new Refusal(
          announce.target + " is no member of group " + announce.group + " that is in service");
    }
    if (!target.role.equals("replica")) {
      throw new Refusal(
          announce.target
              + (target.role.equals("master") ? " is the primary already" : " does not answer"));
    }
    long last =
        told.stream()
            .filter(one -> one.note != null)
            .mapToLong(one -> one.note.number())
            .max()
            .orElse(0);
    return new SwitchoverAnnouncement(
        last + 1, announce.target, System.currentTimeMillis() + announce.inMillis, false);
  }

  private static SwitchoverAnnouncement open(List<Told> told) {
    SwitchoverAnnouncement latest = null;
    for (Told one : told) {
      if (one.note != null
          && (latest == null
              || one.note.number() > latest.number()
              || (one.note.number() == latest.number() && one.note.cancelled()))) {
        latest = one.note;
      }
    }
    return latest == null
            || latest.cancelled()
            || latest.atMillis() + OPEN_MILLIS < System.currentTimeMillis()
        ? null
        : latest;
  }

  private String write(
      Where where, List<Told> told, SwitchoverAnnouncement announcement, long ahead)
      throws Refusal, IOException {
    Told primary = told.stream().filter(one -> one.role.equals("master")).findAny().orElse(null);
    if (primary == null) {
      throw new Refusal("no member of group " + where.group + " says that it is primary");
    }
    try (ServerQueryClient call = new ServerQueryClient(primary.member.address)) {
      QueryResponse response = call.ask(announcement.insertStatement(where.table));
      if (response.sqlState() != null) {
        throw new Refusal(primary.member.id + " did not take it: " + response.sqlState());
      }
    }
    return (announcement.cancelled() ? "taken back: " : "announced, in " + ahead + " ms: ")
        + announcement.toText();
  }

  private static List<Told> ask(Where where) throws InvalidSettingsException, IOException, Refusal {
    List<Told> told = new ArrayList<>();
    for (Member member : members(StartFile.read(Path.of(where.file)).discovery(), where.group)) {
      try (ServerQueryClient call = new ServerQueryClient(member.address)) {
        QueryResponse response = call.ask(SwitchoverAnnouncement.latestQuery(where.table));
        if (response.sqlState() != null) {
          throw new Refusal(
              member.id + " does not tell table " + where.table + ": " + response.sqlState());
        }
        told.add(new Told(member, response.role(), SwitchoverAnnouncement.parse(response.value())));
      } catch (IOException silent) {
        told.add(new Told(member, "", null));
      }
    }
    if (told.isEmpty()) {
      throw new Refusal("discovery lists no member of group " + where.group);
    }
    return told;
  }

  private static List<Member> members(InetSocketAddress discovery, int group) throws IOException {
    HttpURLConnection call =
        (HttpURLConnection)
            URI.create("http://" + Addresses.text(discovery) + "/discovery/hosts")
                .toURL()
                .openConnection();
    call.setConnectTimeout(PATIENCE_MILLIS);
    call.setReadTimeout(PATIENCE_MILLIS);
    List<Member> members = new ArrayList<>();
    try (var in = call.getInputStream()) {
      Object list = Json.read(new String(in.readNBytes(LARGEST), StandardCharsets.UTF_8));
      if (list instanceof Map<?, ?> object && object.get("instances") instanceof List<?> entries) {
        for (Object entry : entries) {
          if (entry instanceof Map<?, ?> member
              && member.get("cell") instanceof BigDecimal cell
              && cell.intValue() == group
              && member.get("hostPort") instanceof String address
              && Addresses.parse(address) != null) {
            members.add(
                new Member(
                    String.valueOf(member.get("instanceId")),
                    Addresses.parse(address),
                    String.valueOf(member.get("lifecycle"))));
          }
        }
      }
    } catch (InvalidJsonException fault) {
      throw new IOException("discovery's list is no JSON: " + fault.getMessage());
    }
    return members;
  }
}
