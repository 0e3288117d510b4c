package basaltlever.cli;

import basaltlever.config.InvalidSettingsException;
import basaltlever.net.Router;
import basaltlever.pg.MessageEncoder;
import basaltlever.pg.ProtocolCodes;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * Starts a router, has it answer one statement and stops it. The build runs it to record the
 * classes that serving loads; an operator can run it to see whether a start file serves.
 */
final class Rehearsal {
  private static final int PATIENCE_MILLIS = 5_000;

  private Rehearsal() {}

  /** The code or letter of the answer to a statement of the named workload. */
  static String run(Path file, String workload)
      throws InvalidSettingsException, IOException, InterruptedException {
    Router router = new Router();
    router.start(file, null);
    try (Socket socket = new Socket(router.address().getAddress(), router.address().getPort())) {
      socket.setSoTimeout(PATIENCE_MILLIS);
      ByteBuf out = Unpooled.buffer();
      MessageEncoder.startup(out, "app", "shop");
      MessageEncoder.query(
          out,
          "/* id=1,c="
              + workload
              + ",d=400,cluster=0 */ SELECT doc FROM items"
              + " WHERE id = 'a'");
      socket.getOutputStream().write(ByteBufUtil.getBytes(out));
      DataInputStream in = new DataInputStream(socket.getInputStream());
      upToReady(in);
      return upToReady(in);
    } finally {
      router.drain();
      router.awaitStop();
    }
  }

  private static String upToReady(DataInputStream in) throws IOException {
    String told = "";
    for (byte type = in.readByte(); type != ProtocolCodes.READY; type = in.readByte()) {
      byte[] body = new byte[in.readInt() - 4];
      in.readFully(body);
      told =
          type == ProtocolCodes.ERROR
              ? new String(body, StandardCharsets.UTF_8).replace('\0', ' ')
              : "" + (char) type;
    }
    in.readFully(new byte[in.readInt() - 4]);
    return told;
  }
}
