package org.hickoryshed.kernel.settings;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/** Converts addresses of the form {@code IP:PORT} with an IPv4 address. */
public final class Addresses {

  /** A number from 0 to 255. */
  private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[0-9]{1,2})";

  private static final Pattern ADDRESS =
      Pattern.compile(OCTET + "(\\." + OCTET + "){3}:[0-9]{1,5}");

  private static final int MAX_PORT = 65_535;

  private Addresses() {}

  /**
   * Checks whether a text has the form of an address.
   *
   * @param text The text.
   * @return {@code true} if it is four numbers up to 255 joined by dots, a colon and a port other
   *     than zero.
   */
  public static boolean isAddress(String text) {
    if (!ADDRESS.matcher(text).matches()) {
      return false;
    }
    int port = Integer.parseInt(text.substring(text.indexOf(':') + 1));
    return port > 0 && port <= MAX_PORT;
  }

  /**
   * Reads an address.
   *
   * @param text The text, for which {@link #isAddress} holds.
   * @return The address.
   */
  public static InetSocketAddress read(String text) {
    int colon = text.indexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /**
   * Writes an address as {@code IP:PORT}.
   *
   * @param address The address, which must be resolved.
   * @return The text.
   */
  public static String write(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
