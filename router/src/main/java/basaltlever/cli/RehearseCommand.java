package basaltlever.cli;

import basaltlever.config.InvalidSettingsException;
import basaltlever.net.Router;
import basaltlever.pg.MessageEncoder;
import basaltlever.pg.ProtocolCodes;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * Starts a router, has it answer one statement and stops it. The build runs it to record the
 * classes that serving loads; operators can run it to see whether a start file works.
 */
@Parameters(commandDescription = "Starts a router, has it answer one statement and stops it")
final class RehearseCommand implements Command {
  private static final int TIMEOUT_MILLIS = 5_000;

  @Parameter(description = "FILE", required = true)
  private String file;

  @Parameter(names = "--workload", description = "name of the statement's workload")
  private String workload = "list";

  @Override
  public int run(PrintStream out, PrintStream err) throws InterruptedException {
    RouterProcess.configureRuntime();
    try {
      out.println("answered: " + responseOfRouter());
      return ExitCode.OK;
    } catch (InvalidSettingsException | IOException fault) {
      err.println("basaltlever: " + fault.getMessage());
      return ExitCode.MISUSED;
    }
  }

  /** The error, or the type of the last message, that a statement is answered with. */
  private String responseOfRouter()
      throws InvalidSettingsException, IOException, InterruptedException {
    Router router = new Router();
    router.start(Path.of(file), null);
    try (Socket socket = new Socket(router.address().getAddress(), router.address().getPort())) {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      ByteBuf out = Unpooled.buffer();
      MessageEncoder.writeStartupMessage(out, "app", "shop");
      MessageEncoder.writeQuery(
          out,
          "/* id=1,c="
              + workload
              + ",d=400,cluster=0 */ SELECT doc FROM items"
              + " WHERE id = 'a'");
      socket.getOutputStream().write(ByteBufUtil.getBytes(out));
      DataInputStream in = new DataInputStream(socket.getInputStream());
      readUntilReady(in);
      return readUntilReady(in);
    } finally {
      router.drain();
      router.awaitStop();
    }
  }

  private static String readUntilReady(DataInputStream in) throws IOException {
    String response = "";
    for (byte type = in.readByte(); type != ProtocolCodes.READY_FOR_QUERY; type = in.readByte()) {
      byte[] body = new byte[in.readInt() - Integer.BYTES];
      in.readFully(body);
      response =
          type == ProtocolCodes.ERROR_RESPONSE
              ? new String(body, StandardCharsets.UTF_8).replace('\0', ' ')
              : "" + (char) type;
    }
    in.readFully(new byte[in.readInt() - Integer.BYTES]);
    return response;
  }
}
