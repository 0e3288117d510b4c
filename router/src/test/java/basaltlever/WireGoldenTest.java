package basaltlever;

import basaltlever.golden.Golden;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.TreeSet;
import net.jqwik.api.Example;

/**
 * The bytes that a router sends to clients and to servers, beside those recorded of an earlier
 * release.
 */
class WireGoldenTest {
  private static final int STARTUP_V3 = 196_608;
  private static final int SSL_REQUEST = 80_877_103;
  private static final int PATIENCE_MS = 8_000;
  private static final int TRIES = 40;
  private static final int PAUSE_MS = 100;
  private static final String FIRST = "first";

  private static byte[] startup() {
    byte[] fields = "user\0app\0database\0shop\0\0".getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(8 + fields.length)
        .putInt(8 + fields.length)
        .putInt(STARTUP_V3)
        .put(fields)
        .array();
  }

  private static byte[] message(char type, String text) {
    byte[] body = (text + "\0").getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(5 + body.length)
        .put((byte) type)
        .putInt(4 + body.length)
        .put(body)
        .array();
  }

  /** All messages up to ReadyForQuery or the end of the connection. */
  private static byte[] answer(InputStream socket) throws IOException {
    DataInputStream in = new DataInputStream(socket);
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (int type = in.read(); type >= 0; type = in.read()) {
      int length = in.readInt();
      byte[] body = new byte[length - 4];
      in.readFully(body);
      boolean key = type == 'K';
      all.write(type);
      all.write(ByteBuffer.allocate(4).putInt(length).array());
      all.write(key ? new byte[body.length] : body);
      if (type == 'Z') {
        break;
      }
    }
    return all.toByteArray();
  }

  private static String shown(byte[] bytes) {
    StringBuilder text = new StringBuilder();
    for (byte one : bytes) {
      boolean printable = one >= ' ' && one < 127 && one != '\\';
      text.append(printable ? String.valueOf((char) one) : String.format("\\x%02x", one));
    }
    return text.toString();
  }

  /** A write is rejected until the router has found the primary. */
  private static void awaitPrimary(Socket client) throws IOException, InterruptedException {
    for (int i = 0; i < TRIES; i++) {
      client
          .getOutputStream()
          .write(message('Q', LoopbackCluster.statement(FIRST + i, "post", 900)));
      if (shown(answer(client.getInputStream())).contains(FIRST)) {
        return;
      }
      Thread.sleep(PAUSE_MS);
    }
    throw new AssertionError("no primary was found");
  }

  @Example
  void clientsAndServersGetTheRecordedBytes() throws Exception {
    StringBuilder told = new StringBuilder();
    TreeSet<String> atServers = new TreeSet<>();
    try (LoopbackCluster world = new LoopbackCluster();
        Socket client = new Socket("127.0.0.1", world.port)) {
      client.setSoTimeout(PATIENCE_MS);
      client.getOutputStream().write(ByteBuffer.allocate(8).putInt(8).putInt(SSL_REQUEST).array());
      told.append("ssl: ").append((char) client.getInputStream().read()).append('\n');
      client.getOutputStream().write(startup());
      told.append("startup: ").append(shown(answer(client.getInputStream()))).append('\n');
      awaitPrimary(client);
      for (String query :
          new String[] {
            "",
            "SELECT 1",
            "/* id=nonsense */ SELECT 1",
            LoopbackCluster.statement("g1", "post", 900),
            LoopbackCluster.statement("g2", "view", 900),
            LoopbackCluster.statement("g3", "unheard", 900)
          }) {
        client.getOutputStream().write(message('Q', query));
        told.append(query).append(": ").append(shown(answer(client.getInputStream()))).append('\n');
      }
      world.servers.get(0).responseMode = LoopbackCluster.ResponseMode.ERROR;
      client.getOutputStream().write(message('Q', LoopbackCluster.statement("g4", "post", 900)));
      told.append("error: ").append(shown(answer(client.getInputStream()))).append('\n');
      client.getOutputStream().write(message('P', "unsupported"));
      client.getOutputStream().write(ByteBuffer.allocate(5).put((byte) 'S').putInt(4).array());
      told.append("extended: ").append(shown(answer(client.getInputStream()))).append('\n');
      world.receivedQueries.stream()
          .filter(query -> !query.contains("id=" + FIRST))
          .forEach(query -> atServers.add("query: " + query));
      world.servers.forEach(
          node -> node.startupMessages.forEach(start -> atServers.add("startup: " + shown(start))));
    }
    atServers.forEach(line -> told.append(line.replaceAll("d=\\d+", "d=N")).append('\n'));
    Golden.check("wire.txt", told.toString());
  }
}
