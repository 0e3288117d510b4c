package basaltlever;

import basaltlever.LoopbackCluster.Client;
import basaltlever.pg.MessageEncoder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.util.function.IntFunction;

/** A client that writes as fast as the router reads, and reads the answers. */
final class FloodingClient implements AutoCloseable {
  private static final int STATEMENTS_PER_WRITE = 64;

  private final Client client;
  private final Thread writer;
  private final Thread reader;

  FloodingClient(int port, int number, IntFunction<String> text) throws IOException {
    client = new Client(port).sendStartup();
    writer = new Thread(() -> write(number, text), "flood-writer");
    reader = new Thread(this::read, "flood-reader");
    writer.start();
    reader.start();
  }

  private void write(int number, IntFunction<String> text) {
    try {
      for (int sent = 0; ; sent += STATEMENTS_PER_WRITE) {
        ByteBuf out = Unpooled.buffer();
        for (int i = 0; i < STATEMENTS_PER_WRITE; i++) {
          MessageEncoder.writeQuery(out, text.apply(number * 10_000_000 + sent + i));
        }
        client.sendBytes(ByteBufUtil.getBytes(out));
      }
    } catch (IOException closed) {
      // The test has closed the connection, or the router has.
    }
  }

  private void read() {
    try {
      byte[] received = new byte[1 << 16];
      while (client.socket.getInputStream().read(received) >= 0) {
        Thread.onSpinWait();
      }
    } catch (IOException closed) {
      // The test has closed the connection, or the router has.
    }
  }

  @Override
  public void close() throws IOException {
    client.close();
  }
}
