package basaltlever.cli;

import basaltlever.pg.MessageEncoder;
import basaltlever.pg.ProtocolCodes;
import basaltlever.pg.ProtocolException;
import basaltlever.pg.QueryResponse;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A connection of a command to one node: one query after the other, each waited for. */
final class ServerQueryClient implements AutoCloseable {
  private static final int PATIENCE_MILLIS = 3_000;
  private static final int LARGEST = 1 << 16;
  private final Socket socket = new Socket();
  private final DataInputStream in;

  ServerQueryClient(InetSocketAddress address) throws IOException {
    try {
      socket.connect(address, PATIENCE_MILLIS);
      socket.setSoTimeout(PATIENCE_MILLIS);
      in = new DataInputStream(socket.getInputStream());
      ByteBuf out = Unpooled.buffer();
      MessageEncoder.writeStartupMessage(out, "app", "shop");
      send(out);
      while (message().getByte(0) != ProtocolCodes.READY_FOR_QUERY) {
        // Parameters and keys mean nothing here.
      }
    } catch (IOException fault) {
      socket.close();
      throw fault;
    }
  }

  QueryResponse ask(String query) throws IOException {
    ByteBuf out = Unpooled.buffer();
    MessageEncoder.writeQuery(out, query);
    send(out);
    try {
      QueryResponse response = new QueryResponse();
      while (!response.add(message())) {
        // Until it is whole.
      }
      return response;
    } catch (ProtocolException fault) {
      throw new IOException(fault.getMessage());
    }
  }

  private void send(ByteBuf out) throws IOException {
    socket.getOutputStream().write(ByteBufUtil.getBytes(out));
  }

  private ByteBuf message() throws IOException {
    byte type = in.readByte();
    int length = in.readInt();
    if (length < 4 || length > LARGEST) {
      throw new IOException("a message states a length of " + length);
    }
    byte[] body = new byte[length - 4];
    in.readFully(body);
    return Unpooled.buffer(length + 1).writeByte(type).writeInt(length).writeBytes(body);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
