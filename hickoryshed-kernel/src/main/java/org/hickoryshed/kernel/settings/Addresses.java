package org.hickoryshed.kernel.settings;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/** Converts addresses of the form {@code IP:PORT} with an IPv4 address. */
public final class Addresses {

  private static final Pattern ADDRESS = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}");

  private static final int MAX_PORT = 65_535;

  private Addresses() {}

  /**
   * Checks whether a text has the form of an address.
   *
   * @param text The text.
   * @return {@code true} if it is four numbers joined by dots, a colon and a port.
   */
  public static boolean isAddress(String text) {
    return ADDRESS.matcher(text).matches()
        && Integer.parseInt(text.substring(text.indexOf(':') + 1)) <= MAX_PORT;
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
