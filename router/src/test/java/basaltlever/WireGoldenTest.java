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
 * Compares the bytes that a router sends to clients and to servers with those recorded from an
 * earlier release.
 */
class WireGoldenTest {
  private static final int STARTUP_V3 = 196_608;
  private static final int SSL_REQUEST = 80_877_103;
  private static final int SOCKET_TIMEOUT_MS = 8_000;
  private static final int MAX_ATTEMPTS = 40;
  private static final int RETRY_DELAY_MS = 100;
  private static final String PROBE_ID_PREFIX = "first";

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

  /**
   * Reads all messages up to ReadyForQuery or the end of the connection, with the cancellation key
   * zeroed.
   */
  private static byte[] read(InputStream socket) throws IOException {
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

  private static String escape(byte[] bytes) {
    StringBuilder text = new StringBuilder();
    for (byte one : bytes) {
      boolean printable = one >= ' ' && one < 127 && one != '\\';
      text.append(printable ? String.valueOf((char) one) : String.format("\\x%02x", one));
    }
    return text.toString();
  }

  /**
   * Repeats a write until it succeeds: the router rejects writes until it has found the primary.
   */
  private static void awaitPrimary(Socket client) throws IOException, InterruptedException {
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      client
          .getOutputStream()
          .write(message('Q', LoopbackCluster.statement(PROBE_ID_PREFIX + i, "post", 900)));
      if (escape(read(client.getInputStream())).contains(PROBE_ID_PREFIX)) {
        return;
      }
      Thread.sleep(RETRY_DELAY_MS);
    }
    throw new AssertionError("no primary was found");
  }

  @Example
  void clientsAndServersReceiveTheRecordedBytes() throws Exception {
    StringBuilder out = new StringBuilder();
    TreeSet<String> received = new TreeSet<>();
    try (LoopbackCluster world = new LoopbackCluster();
        Socket client = new Socket("127.0.0.1", world.port)) {
      client.setSoTimeout(SOCKET_TIMEOUT_MS);
      client.getOutputStream().write(ByteBuffer.allocate(8).putInt(8).putInt(SSL_REQUEST).array());
      out.append("ssl: ").append((char) client.getInputStream().read()).append('\n');
      client.getOutputStream().write(startup());
      out.append("startup: ").append(escape(read(client.getInputStream()))).append('\n');
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
        out.append(query).append(": ").append(escape(read(client.getInputStream()))).append('\n');
      }
      world.servers.get(0).responseMode = LoopbackCluster.ResponseMode.ERROR;
      client.getOutputStream().write(message('Q', LoopbackCluster.statement("g4", "post", 900)));
      out.append("error: ").append(escape(read(client.getInputStream()))).append('\n');
      client.getOutputStream().write(message('P', "unsupported"));
      client.getOutputStream().write(ByteBuffer.allocate(5).put((byte) 'S').putInt(4).array());
      out.append("extended: ").append(escape(read(client.getInputStream()))).append('\n');
      world.receivedQueries.stream()
          .filter(query -> !query.contains("id=" + PROBE_ID_PREFIX))
          .forEach(query -> received.add("query: " + query));
      world.servers.forEach(
          server ->
              server.startupMessages.forEach(start -> received.add("startup: " + escape(start))));
    }
    received.forEach(line -> out.append(line.replaceAll("d=\\d+", "d=N")).append('\n'));
    Golden.check("wire.txt", out.toString());
  }
}
