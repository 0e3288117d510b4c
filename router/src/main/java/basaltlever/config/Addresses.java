package basaltlever.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses and formats ADDRESS:PORT without resolving host names. */
public final class Addresses {
  private static final int MAX_PORT = 65_535;

  private Addresses() {}

  /** Returns the canonical text of an address. */
  public static String text(InetSocketAddress address) {
    String host = address.getAddress().getHostAddress();
    return (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + address.getPort();
  }

  /** Returns the address, or null if the text is not an address. */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : text.substring(0, colon);
    boolean ipv6 = host.startsWith("[") && host.endsWith("]");
    // InetAddress would resolve any text that may be a host name, and block meanwhile.
    if (!(ipv6
        ? host.matches("\\[[0-9a-fA-F:.]+]")
        : host.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}"))) {
      return null;
    }
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      return port < 0 || port > MAX_PORT
          ? null
          : new InetSocketAddress(InetAddress.getByName(host), port);
    } catch (NumberFormatException | UnknownHostException noAddress) {
      return null;
    }
  }
}
