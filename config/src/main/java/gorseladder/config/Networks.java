package gorseladder.config;

import inet.ipaddr.AddressStringException;
import inet.ipaddr.IPAddress;
import inet.ipaddr.IPAddressString;
import inet.ipaddr.ipv4.IPv4Address;
import inet.ipaddr.ipv4.IPv4AddressTrie;
import inet.ipaddr.ipv6.IPv6Address;
import inet.ipaddr.ipv6.IPv6AddressTrie;
import java.net.InetAddress;
import java.util.List;

/** A set of IPv4 and IPv6 networks. Immutable. */
public final class Networks {
  private final IPv4AddressTrie v4 = new IPv4AddressTrie();
  private final IPv6AddressTrie v6 = new IPv6AddressTrie();
  private final boolean all;

  /**
   * Creates the set of the given networks; an empty list stands for all addresses.
   *
   * @throws IllegalArgumentException if a text is not an address or network; the message contains it
   */
  public Networks(List<String> texts) {
    all = texts.isEmpty();
    for (String text : texts) {
      IPAddress network = network(text);
      if (network.isIPv4()) {
        v4.add((IPv4Address) network);
      } else {
        v6.add((IPv6Address) network);
      }
    }
  }

  private static IPAddress network(String text) {
    try {
      IPAddress network = new IPAddressString(text).toAddress();
      if (network == null || network.isAnyLocal() && !network.isPrefixed()) {
        throw new IllegalArgumentException("not an address or network: " + text);
      }
      return network.isPrefixed() ? network.toPrefixBlock() : network;
    } catch (AddressStringException | inet.ipaddr.IncompatibleAddressException e) {
      throw new IllegalArgumentException("not an address or network: " + text);
    }
  }

  /** Whether the address is in the set; an IPv4 address mapped into IPv6 counts as IPv4. */
  public boolean contains(InetAddress address) {
    if (all) {
      return true;
    }
    IPAddress ip = new inet.ipaddr.IPAddressNetwork.IPAddressGenerator().from(address);
    if (ip.isIPv6() && ip.toIPv6().isIPv4Mapped()) {
      ip = ip.toIPv6().getEmbeddedIPv4Address();
    }
    return ip.isIPv4() ? v4.elementContains(ip.toIPv4()) : v6.elementContains(ip.toIPv6());
  }
}
