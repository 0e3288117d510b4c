package basaltlever.pg;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** Checks the parameters of a startup message. */
public final class StartupMessage {
  private static final String USER = "user";

  private StartupMessage() {}

  /**
   * Checks that the bytes behind the protocol version are pairs of strings, that a zero byte ends
   * them, and that they name a user.
   */
  public static void checkParameters(ByteBuf parameters) throws ProtocolException {
    boolean userFound = false;
    while (true) {
      ByteBuf name = readString(parameters);
      if (!name.isReadable()) {
        break;
      }
      ByteBuf value = readString(parameters);
      userFound |= value.isReadable() && name.toString(StandardCharsets.US_ASCII).equals(USER);
    }
    if (parameters.isReadable() || !userFound) {
      throw malformed();
    }
  }

  private static ByteBuf readString(ByteBuf parameters) throws ProtocolException {
    int length = parameters.bytesBefore((byte) 0);
    if (length < 0) {
      throw malformed();
    }
    ByteBuf string = parameters.readSlice(length);
    parameters.skipBytes(1);
    return string;
  }

  private static ProtocolException malformed() {
    return ProtocolException.violation("a startup message is malformed");
  }
}
