package basaltlever.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Reads ADDRESS:PORT without ever asking a name service. */
public final class Addresses {
  private static final int PORTS = 65_535;

  private Addresses() {}

  /** One text for each address, however the list wrote it. */
  public static String text(InetSocketAddress address) {
    String host = address.getAddress().getHostAddress();
    return (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + address.getPort();
  }

  /** The address, or null where the text is none. */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : text.substring(0, colon);
    boolean six = host.startsWith("[") && host.endsWith("]");
    // Only what can't be a name goes to the library, which would look a name up and wait for the
    // answer.
    if (!(six
        ? host.matches("\\[[0-9a-fA-F:.]+]")
        : host.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}"))) {
      return null;
    }
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      return port < 0 || port > PORTS
          ? null
          : new InetSocketAddress(InetAddress.getByName(host), port);
    } catch (NumberFormatException | UnknownHostException e) {
      return null;
    }
  }
}
