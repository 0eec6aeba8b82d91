package org.hickoryshed.session.directory;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.hickoryshed.session.net.EventLoop;
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

  /** The loop that owns this watch. */
  private final EventLoop loop;

  /** The desired state. */
  private final Subject desiredState;

  /** The members. */
  private final Subject members;

  /**
   * Creates the watch.
   *
   * @param loop The loop that owns the watch.
   * @param desiredState The desired state.
   * @param members The members.
   */
  public DirectoryFreshness(EventLoop loop, Subject desiredState, Subject members) {
    this.loop = loop;
    this.desiredState = desiredState;
    this.members = members;
  }

  /**
   * Handles a message of another proxy.
   *
   * @param message The message.
   */
  public void onMessage(PeerMessage message) {
    if (message instanceof PeerMessage.Heartbeat beat) {
      expect(desiredState, beat.desiredVersion());
      expect(members, beat.memberRevision());
    }
  }

  /**
   * Expects a version and renews the watch if it does not come.
   *
   * @param subject The part of the directory.
   * @param version The version that another proxy knows.
   */
  private void expect(Subject subject, long version) {
    boolean waiting = subject.waitUntil.isPresent() && subject.waitUntil.get() - loop.now() > 0;
    if (waiting || version <= subject.known.getAsLong()) {
      return;
    }
    subject.waitUntil = Optional.of(loop.now() + RENEWAL_PAUSE_MILLIS * NANOS_IN_MILLI);
    loop.schedule(
        PATIENCE_MILLIS,
        () -> {
          if (version > subject.known.getAsLong()) {
            subject.renewal.run();
          }
        });
  }

  /** One part of the directory. */
  public static final class Subject {

    /** The source of the version that this proxy knows. */
    private final LongSupplier known;

    /** Reads this part again. */
    private final Runnable renewal;

    /** The reading of the steady clock until which no renewal is planned, in nanoseconds. */
    private Optional<Long> waitUntil = Optional.empty();

    /**
     * Creates a subject.
     *
     * @param known The source of the version that this proxy knows.
     * @param renewal Reads this part again.
     */
    public Subject(LongSupplier known, Runnable renewal) {
      this.known = known;
      this.renewal = renewal;
    }
  }
}
