package org.hickoryshed.session.directory;

import org.hickoryshed.session.SessionServer;
import org.hickoryshed.session.peer.PeerMessage;

/**
 * Notices that other proxies know a newer directory than this one.
 *
 * <p>A watch whose connection went silent hears nothing until its call times out. The heartbeats of
 * others tell the versions that they know, so that the watch can be renewed at once.
 */
public final class DirectoryFreshness {

  /** The time in which this proxy may learn the news by itself, in milliseconds. */
  private static final long PATIENCE_MILLIS = 500;

  /** The shortest time between two renewals of a watch, in milliseconds. */
  private static final long RENEWAL_PAUSE_MILLIS = 2000;

  /** Nanoseconds in a millisecond. */
  private static final long NANOS_IN_MILLI = 1_000_000;

  /** The server that holds the directory. */
  private final SessionServer server;

  /** What is known of the desired state. */
  private final Subject desiredState;

  /** What is known of the members. */
  private final Subject members;

  /**
   * Creates the watch.
   *
   * @param server The server that holds the directory.
   * @param renewDesiredState Reads the desired state again.
   * @param renewMembers Reads the members again.
   */
  public DirectoryFreshness(
      SessionServer server, Runnable renewDesiredState, Runnable renewMembers) {
    this.server = server;
    desiredState = new Subject(renewDesiredState);
    members = new Subject(renewMembers);
  }

  /**
   * Handles a message of another proxy.
   *
   * @param message The message.
   */
  public void onMessage(PeerMessage message) {
    if (message instanceof PeerMessage.Heartbeat beat) {
      if (beat.desiredVersion() > server.desired().version()) {
        desiredState.expect(beat.desiredVersion());
      }
      if (beat.memberRevision() > server.memberRevision()) {
        members.expect(beat.memberRevision());
      }
    }
  }

  /** One part of the directory. */
  private final class Subject {

    /** Reads this part again. */
    private final Runnable renewal;

    /** The reading of the steady clock until which no renewal is planned. */
    private long busyUntil = System.nanoTime();

    /**
     * Creates a subject.
     *
     * @param renewal Reads this part again.
     */
    private Subject(Runnable renewal) {
      this.renewal = renewal;
    }

    /**
     * Expects a version and renews the watch if it does not come.
     *
     * @param version The version that another proxy knows.
     */
    private void expect(long version) {
      if (busyUntil - server.loop().now() > 0) {
        return;
      }
      busyUntil = server.loop().now() + RENEWAL_PAUSE_MILLIS * NANOS_IN_MILLI;
      server
          .loop()
          .schedule(
              PATIENCE_MILLIS,
              () -> {
                if (version > known()) {
                  renewal.run();
                }
              });
    }

    /**
     * Returns the version that this proxy knows.
     *
     * @return The version.
     */
    private long known() {
      return this == desiredState ? server.desired().version() : server.memberRevision();
    }
  }
}
