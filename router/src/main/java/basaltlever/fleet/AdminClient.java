package basaltlever.fleet;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;

/** Sends single requests to an instance, each over a separate connection, and reads the reply. */
public final class AdminClient {
  private static final int REPLY_TIMEOUT_MILLIS = 5_000;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  private AdminClient() {}

  /** Throws if the instance can't be reached or doesn't reply within 5 s. */
  public static FleetReply send(InetSocketAddress address, FleetRequest request)
      throws IOException {
    return send(address, request, REPLY_TIMEOUT_MILLIS);
  }

  /** Throws if the instance can't be reached or doesn't reply before the timeout. */
  static FleetReply send(InetSocketAddress address, FleetRequest request, int timeoutMillis)
      throws IOException {
    return ReplyCodec.decode(exchange(address, RequestCodec.encode(request), timeoutMillis));
  }

  /** Like {@link #send}, with the messages given as the fields that are on the wire. */
  public static Map<String, Object> sendFields(
      InetSocketAddress address, Map<String, Object> message) throws IOException {
    return exchange(address, message, REPLY_TIMEOUT_MILLIS);
  }

  private static Map<String, Object> exchange(
      InetSocketAddress address, Map<String, Object> message, int timeoutMillis)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(address, Math.min(CONNECT_TIMEOUT_MILLIS, timeoutMillis));
      socket.setSoTimeout(timeoutMillis);
      byte[] bytes = MessageCodec.write(message);
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.writeInt(bytes.length);
      out.write(bytes);
      out.flush();
      DataInputStream in = new DataInputStream(socket.getInputStream());
      int length = in.readInt();
      if (length < 1 || length > MessageCodec.MAX_MESSAGE_BYTES) {
        throw new IOException("reply length is out of range: " + length + " bytes");
      }
      byte[] reply = new byte[length];
      in.readFully(reply);
      return MessageCodec.read(reply, 0, length);
    }
  }
}
