package basaltlever.fleet;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;

/** A command's question to one instance: one message there, one back. */
public final class AdminClient {
  private static final int PATIENCE_MILLIS = 5_000;
  private static final int CONNECTS_MILLIS = 1_000;

  private AdminClient() {}

  /** Throws where it can't be reached, or does not answer in 5 s. */
  public static Map<String, Object> ask(InetSocketAddress at, Map<String, Object> message)
      throws IOException {
    return ask(at, message, PATIENCE_MILLIS);
  }

  /** Throws where it does not answer in so long. */
  static Map<String, Object> ask(
      InetSocketAddress at, Map<String, Object> message, int patienceMillis) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(at, Math.min(CONNECTS_MILLIS, patienceMillis));
      socket.setSoTimeout(patienceMillis);
      byte[] bytes = MessageCodec.write(message);
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.writeInt(bytes.length);
      out.write(bytes);
      out.flush();
      DataInputStream in = new DataInputStream(socket.getInputStream());
      int length = in.readInt();
      if (length < 1 || length > MessageCodec.LARGEST) {
        throw new IOException("an answer of " + length + " bytes");
      }
      byte[] answer = new byte[length];
      in.readFully(answer);
      return MessageCodec.read(answer, 0, length);
    }
  }
}
