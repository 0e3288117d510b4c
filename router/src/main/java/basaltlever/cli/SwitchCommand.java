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
 * Announces planned switchovers in the table that routers poll, shows them and cancels them. The
 * endpoints are those that discovery lists now. Their responses decide which one is the primary and
 * which announcement is open, not the arguments of the command.
 */
final class SwitchCommand {
  private static final int TIMEOUT_MILLIS = 3_000;
  private static final int MAX_LIST_BYTES = 1 << 24;

  /** An announcement stays open for this long after the announced time. */
  private static final long OPEN_MILLIS = 10_000;

  private static class GroupOptions {
    @Parameter(names = "--file", description = "start file of a router; default: $GW_CONFIG")
    String file = System.getenv("GW_CONFIG");

    @Parameter(names = "--group", description = "number of the replica group", required = true)
    int group;

    @Parameter(
        names = "--table",
        description = "table of announcements, as [change] table in the operator's file")
    String table = "basaltlever_change";
  }

  @Parameters(commandDescription = "Announces a switchover")
  private static final class Announce extends GroupOptions {
    @Parameter(
        names = "--target",
        description = "endpoint that becomes the primary",
        required = true)
    private String target;

    @Parameter(
        names = "--in-ms",
        description = "time until the switchover begins, in milliseconds: 4000 to 86400000")
    private long inMillis = 5_000;
  }

  @Parameters(
      commandDescription = "Shows the role and the latest announcement of each endpoint of a group")
  private static final class Status extends GroupOptions {}

  @Parameters(commandDescription = "Cancels the latest announcement")
  private static final class Cancel extends GroupOptions {}

  private record ListedEndpoint(String id, InetSocketAddress address, String lifecycle) {}

  private record EndpointReport(
      ListedEndpoint endpoint, String role, SwitchoverAnnouncement announcement) {}

  /** Thrown if the command can't be executed for a reason that the user can resolve. */
  private static final class SwitchRefusedException extends Exception {
    private static final long serialVersionUID = 1L;

    SwitchRefusedException(String message) {
      super(message);
    }
  }

  private final Announce announce = new Announce();
  private final Status status = new Status();
  private final Cancel cancel = new Cancel();
  private JCommander parser;

  void addTo(JCommander main) {
    parser = main.getCommands().get("switch");
    parser.addCommand("announce", announce);
    parser.addCommand("status", status);
    parser.addCommand("cancel", cancel);
  }

  /** Runs the selected subcommand; returns the exit code. */
  int run(PrintStream out, PrintStream err) {
    String command = parser.getParsedCommand();
    GroupOptions options =
        "announce".equals(command) ? announce : "status".equals(command) ? status : cancel;
    if (command == null || options.file == null) {
      err.println("basaltlever: switch takes announce, status or cancel, and a start file");
      return ExitCode.MISUSED;
    }
    try {
      List<EndpointReport> reports = queryEndpoints(options);
      if (options == announce) {
        out.println(
            writeAnnouncement(options, reports, newAnnouncement(reports), announce.inMillis));
      } else if (options == cancel) {
        SwitchoverAnnouncement open = openAnnouncement(reports);
        if (open == null) {
          throw new SwitchRefusedException(
              "no announcement of group " + options.group + " is open");
        }
        out.println(
            writeAnnouncement(
                options,
                reports,
                new SwitchoverAnnouncement(open.number(), open.target(), open.atMillis(), true),
                0));
      } else {
        reports.forEach(
            report ->
                out.printf(
                    "%-20s %-21s %-11s %-8s %s%n",
                    report.endpoint.id,
                    Addresses.text(report.endpoint.address),
                    report.endpoint.lifecycle,
                    report.role,
                    report.announcement == null ? "-" : report.announcement.toText()));
      }
      return ExitCode.OK;
    } catch (InvalidSettingsException | SwitchRefusedException fault) {
      err.println("basaltlever: " + fault.getMessage());
      return fault instanceof SwitchRefusedException ? ExitCode.REFUSED : ExitCode.MISUSED;
    } catch (IOException fault) {
      err.println("basaltlever: " + fault);
      return ExitCode.REFUSED;
    }
  }

  private SwitchoverAnnouncement newAnnouncement(List<EndpointReport> reports)
      throws SwitchRefusedException {
    if (announce.inMillis < 4_000 || announce.inMillis > 86_400_000) {
      throw new SwitchRefusedException(
          "--in-ms takes 4000 to 86400000: routers read each table every 3 s");
    }
    SwitchoverAnnouncement open = openAnnouncement(reports);
    if (open != null) {
      throw new SwitchRefusedException(
          "an announcement of this group is open already: " + open.toText());
    }
    EndpointReport target =
        reports.stream()
            .filter(report -> report.endpoint.id.equals(announce.target))
            .findAny()
            .orElse(null);
    if (target == null || !target.endpoint.lifecycle.equals("in_service")) {
      throw new SwitchRefusedException(
          announce.target + " is no member of group " + announce.group + " that is in service");
    }
    if (!target.role.equals("replica")) {
      throw new SwitchRefusedException(
          announce.target
              + (target.role.equals("master") ? " is the primary already" : " does not answer"));
    }
    long last =
        reports.stream()
            .filter(report -> report.announcement != null)
            .mapToLong(report -> report.announcement.number())
            .max()
            .orElse(0);
    return new SwitchoverAnnouncement(
        last + 1, announce.target, System.currentTimeMillis() + announce.inMillis, false);
  }

  private static SwitchoverAnnouncement openAnnouncement(List<EndpointReport> reports) {
    SwitchoverAnnouncement latest = null;
    for (EndpointReport report : reports) {
      if (report.announcement != null
          && (latest == null
              || report.announcement.number() > latest.number()
              || (report.announcement.number() == latest.number()
                  && report.announcement.cancelled()))) {
        latest = report.announcement;
      }
    }
    return latest == null
            || latest.cancelled()
            || latest.atMillis() + OPEN_MILLIS < System.currentTimeMillis()
        ? null
        : latest;
  }

  private String writeAnnouncement(
      GroupOptions options,
      List<EndpointReport> reports,
      SwitchoverAnnouncement announcement,
      long delayMillis)
      throws SwitchRefusedException, IOException {
    EndpointReport primary =
        reports.stream().filter(report -> report.role.equals("master")).findAny().orElse(null);
    if (primary == null) {
      throw new SwitchRefusedException(
          "no member of group " + options.group + " says that it is primary");
    }
    try (ServerQueryClient client = new ServerQueryClient(primary.endpoint.address)) {
      QueryResponse response = client.query(announcement.insertStatement(options.table));
      if (response.sqlState() != null) {
        throw new SwitchRefusedException(
            primary.endpoint.id + " did not take it: " + response.sqlState());
      }
    }
    return (announcement.cancelled() ? "taken back: " : "announced, in " + delayMillis + " ms: ")
        + announcement.toText();
  }

  private static List<EndpointReport> queryEndpoints(GroupOptions options)
      throws InvalidSettingsException, IOException, SwitchRefusedException {
    List<EndpointReport> reports = new ArrayList<>();
    for (ListedEndpoint endpoint :
        listEndpoints(StartFile.read(Path.of(options.file)).discovery(), options.group)) {
      try (ServerQueryClient client = new ServerQueryClient(endpoint.address)) {
        QueryResponse response = client.query(SwitchoverAnnouncement.latestQuery(options.table));
        if (response.sqlState() != null) {
          throw new SwitchRefusedException(
              endpoint.id + " does not tell table " + options.table + ": " + response.sqlState());
        }
        reports.add(
            new EndpointReport(
                endpoint, response.role(), SwitchoverAnnouncement.parse(response.value())));
      } catch (IOException noAnswer) {
        reports.add(new EndpointReport(endpoint, "", null));
      }
    }
    if (reports.isEmpty()) {
      throw new SwitchRefusedException("discovery lists no member of group " + options.group);
    }
    return reports;
  }

  private static List<ListedEndpoint> listEndpoints(InetSocketAddress discovery, int group)
      throws IOException {
    HttpURLConnection connection =
        (HttpURLConnection)
            URI.create("http://" + Addresses.text(discovery) + "/discovery/hosts")
                .toURL()
                .openConnection();
    connection.setConnectTimeout(TIMEOUT_MILLIS);
    connection.setReadTimeout(TIMEOUT_MILLIS);
    List<ListedEndpoint> endpoints = new ArrayList<>();
    try (var in = connection.getInputStream()) {
      Object list = Json.parse(new String(in.readNBytes(MAX_LIST_BYTES), StandardCharsets.UTF_8));
      if (list instanceof Map<?, ?> object && object.get("instances") instanceof List<?> entries) {
        for (Object entry : entries) {
          if (entry instanceof Map<?, ?> member
              && member.get("cell") instanceof BigDecimal cell
              && cell.intValue() == group
              && member.get("hostPort") instanceof String address
              && Addresses.parse(address) != null) {
            endpoints.add(
                new ListedEndpoint(
                    String.valueOf(member.get("instanceId")),
                    Addresses.parse(address),
                    String.valueOf(member.get("lifecycle"))));
          }
        }
      }
    } catch (InvalidJsonException fault) {
      throw new IOException("discovery's list is no JSON: " + fault.getMessage());
    }
    return endpoints;
  }
}
