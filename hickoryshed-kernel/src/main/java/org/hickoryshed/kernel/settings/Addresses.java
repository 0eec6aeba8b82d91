package org.hickoryshed.kernel.settings;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/** Addresses as texts: an IP number, a colon and a port. */
public final class Addresses {

  /** An IP number with a port. */
  private static final Pattern ADDRESS = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}");

  /** The largest port. */
  private static final int LARGEST_PORT = 65_535;

  /** This class is not instantiated. */
  private Addresses() {}

  /**
   * Checks an address.
   *
   * @param text The text.
   * @return {@code true} if it is an IP number with a port.
   */
  public static boolean isAddress(String text) {
    return ADDRESS.matcher(text).matches()
        && Integer.parseInt(text.substring(text.indexOf(':') + 1)) <= LARGEST_PORT;
  }

  /**
   * Reads an address.
   *
   * @param text The text.
   * @return The address.
   */
  public static InetSocketAddress read(String text) {
    int colon = text.indexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /**
   * Writes an address.
   *
   * @param address The address.
   * @return The text.
   */
  public static String write(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
