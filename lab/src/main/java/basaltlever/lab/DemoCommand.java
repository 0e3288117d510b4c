package basaltlever.lab;

import basaltlever.lab.scenario.Scenario;
import basaltlever.lab.sockets.SocketRun;
import basaltlever.lab.world.FaultInjector;
import basaltlever.lab.world.ReplicaGroup;
import basaltlever.lab.world.Server;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.Charset;
import java.util.List;

/**
 * Runs simulated servers, discovery and a router on loopback until it is ended, to try the router
 * with psql. Commands on standard input inject faults into the servers.
 */
@Parameters(
    commandDescription = "Starts simulated servers and a router on loopback, for use with psql")
final class DemoCommand {
  @Parameter(names = "--port", description = "port of the router on 127.0.0.1")
  private int port = 15_432;

  int run() throws Exception {
    Scenario scenario =
        Scenario.parse(Scenario.readText("quiet"), List.of("routers=1", "groups=1", "members=3"));
    try (SocketRun run =
        new SocketRun(scenario, 1, null, "[change]\ntable = basaltlever_change\n", port)) {
      System.out.println(
          """
                A simulated primary and two replicas behind a router at 127.0.0.1:%1$d. In another terminal:
                  psql -h 127.0.0.1 -p %1$d -U app shop -c "/* id=r1,c=balance-view,d=1500,cluster=1 */ SELECT doc FROM items WHERE id = 'a'"
                  psql -h 127.0.0.1 -p %1$d -U app shop -c "/* id=w1,c=fare-post,d=1500,cluster=1 */ INSERT INTO items (id, doc) VALUES ('a', 'x') RETURNING doc"
                Each statement needs a new id. Commands here: status, switch, die, hang, commit-hang, demote, drain, quit.
                During a change of the primary the router holds writes; the new primary executes them."""
              .formatted(port));
      BufferedReader input =
          new BufferedReader(new InputStreamReader(System.in, Charset.defaultCharset()));
      for (String line = input.readLine();
          line != null && !line.trim().equals("quit");
          line = input.readLine()) {
        String command = line.trim();
        FaultInjector.Kind kind = FaultInjector.Kind.findByName(command);
        ReplicaGroup group = run.cluster().groups().get(0);
        run.loop()
            .submit(
                () -> {
                  if (kind != null) {
                    run.faults().inject(kind, group);
                  }
                  for (Server server : group.members()) {
                    System.out.printf(
                        "%-6s %-8s %-11s %s%n",
                        server.id,
                        server.claimsPrimary() ? "primary" : "replica",
                        server.listedState(),
                        !server.isUp() ? "down" : server.isHung() ? "hangs" : "up");
                  }
                  if (group.announcement() != null) {
                    System.out.println("table: " + group.announcement().toText());
                  }
                })
            .get();
      }
    }
    return 0;
  }
}
