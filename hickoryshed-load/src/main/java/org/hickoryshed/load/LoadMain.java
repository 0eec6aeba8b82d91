package org.hickoryshed.load;

import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import org.hickoryshed.client.http.HttpCaller;
import org.hickoryshed.kernel.command.Daemon;
import org.hickoryshed.load.demonstration.Demonstration;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** The binary {@code hickoryshed-load}. */
public final class LoadMain {

  /** The name of the binary. */
  private static final String NAME = "hickoryshed-load";

  /** The number of proxies that the demonstration needs. */
  private static final int PROXIES = 3;

  /** The addresses of proxies for callers. */
  @Option(name = "--proxy", metaVar = "IP:PORT", usage = "a proxy for callers; repeatable")
  private List<String> proxies = new ArrayList<>();

  /** The address of the platform's store. */
  @Option(name = "--store", metaVar = "IP:PORT", usage = "the address of the platform's store")
  private String store = "127.0.0.1:7000";

  /** True if the usage is to be printed. */
  @Option(name = "--help", help = true, usage = "print this page and exit")
  private boolean help;

  /** The command. */
  @Argument(index = 0, metaVar = "COMMAND", usage = "demonstrate")
  private String command = "";

  /** This class is instantiated by its main method only. */
  private LoadMain() {}

  /**
   * Runs a command.
   *
   * @param arguments The arguments of the command line.
   */
  public static void main(String[] arguments) {
    LoadMain main = new LoadMain();
    CmdLineParser parser = new CmdLineParser(main);
    try {
      parser.parseArgument(arguments);
    } catch (CmdLineException exception) {
      System.err.println(NAME + ": " + exception.getMessage());
      System.exit(Daemon.EXIT_USAGE);
    }
    if (main.help || !main.command.equals("demonstrate") || main.proxies.size() != PROXIES) {
      System.out.println("usage: " + NAME + " demonstrate --store IP:PORT --proxy IP:PORT (x3)");
      parser.printUsage(System.out);
      System.exit(main.help ? 0 : Daemon.EXIT_USAGE);
    }
    HttpCaller http = new HttpCaller(InetAddress.getLoopbackAddress());
    System.exit(new Demonstration(http, main.proxies, main.store).run() == 0 ? 0 : 1);
  }
}
