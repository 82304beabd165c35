package gorseladder.config;

import inet.ipaddr.AddressStringException;
import inet.ipaddr.IPAddress;
import inet.ipaddr.IPAddressString;
import java.net.InetSocketAddress;

/**
 * Reads and prints socket addresses such as {@code 127.0.0.1:80} and {@code [::1]:80}. Only numeric addresses are
 * allowed, so that the result does not depend on a name service.
 */
public final class Address {
  private Address() {}

  /**
   * Parses an address; port 0 is allowed.
   *
   * @throws IllegalArgumentException if the text is not a numeric address with a port
   */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    String port = text.substring(colon + 1);
    String host = text.substring(0, Math.max(0, colon));
    boolean bracketed = host.startsWith("[") && host.endsWith("]");
    host = bracketed ? host.substring(1, host.length() - 1) : host;
    try {
      IPAddress address = new IPAddressString(host).toAddress();
      if (address != null
          && !host.isEmpty()
          && !address.isMultiple()
          && address.isIPv6() == bracketed
          && port.matches("[0-9]{1,5}")
          && Integer.parseInt(port) <= 65_535) {
        return new InetSocketAddress(address.toInetAddress(), Integer.parseInt(port));
      }
    } catch (AddressStringException | inet.ipaddr.IncompatibleAddressException e) {
      throw new IllegalArgumentException("not a numeric address with a port", e);
    }
    throw new IllegalArgumentException("not a numeric address with a port");
  }

  /** Returns the form that {@link #parse} reads. */
  public static String print(InetSocketAddress address) {
    String host = address.getAddress().getHostAddress();
    return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
  }
}
