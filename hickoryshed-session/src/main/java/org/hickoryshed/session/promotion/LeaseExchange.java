package org.hickoryshed.session.promotion;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import java.util.function.Supplier;
import org.hickoryshed.decision.freshness.ClockReading;
import org.hickoryshed.decision.promotion.LeaseElectors;
import org.hickoryshed.decision.promotion.LeaseParticipant;
import org.hickoryshed.decision.promotion.PrimaryLease;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.member.MemberConnectionPool;
import org.hickoryshed.session.member.MemberContext;
import org.hickoryshed.session.peer.PeerMessage;
import org.hickoryshed.session.peer.PeerNetwork;
import org.tinylog.Logger;

/**
 * Collects the evidence that the primaries were not replaced, where the platform does not fence a
 * replaced primary: from the other proxies, and from the records of promotions if too few of them
 * answer.
 *
 * <p>A proxy that has fresh evidence also tells its age, so that one answer can be enough.
 *
 * <p>All methods run on the event loop; the records are read on a thread of their own.
 */
public final class LeaseExchange {

  /** The interval at which the rights are checked, in milliseconds. */
  private static final long CHECK_INTERVAL_MILLIS = 50;

  /** The interval at which the settings are read while the platform fences, in milliseconds. */
  private static final long FENCED_INTERVAL_MILLIS = 1000;

  /** The interval of the rounds while all rights are held, in milliseconds. */
  private static final long ROUND_INTERVAL_MILLIS = 250;

  /** The age of evidence from which the records are read as well, in milliseconds. */
  private static final long READ_AGE_MILLIS = 500;

  /** The least time between two reads of the records, in milliseconds. */
  private static final long READ_INTERVAL_MILLIS = 250;

  /** The time for which an unchanged record must be known to count as without effect. */
  private static final long SETTLED_MILLIS = 4000;

  /** The number of electors that a proxy asks which is none of them. */
  private static final int ASKED_ELECTORS = 2;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final MemberContext context;

  private final PeerNetwork peers;

  private final PromotionRecordReader reader;

  private final Supplier<List<String>> pools;

  private final Function<String, Optional<Database>> databases;

  private final Runnable onEvidence;

  /** The rights of this proxy by the names of the pools that it knows. */
  private final Map<String, PrimaryLease> leases = new HashMap<>();

  private final LeaseParticipant participant;

  /** The last records that were read, with when each was first seen, by the name of the pool. */
  private final Map<String, SeenRecord> seenRecords = new HashMap<>();

  /** The pools whose primary this proxy may use, for the log. */
  private final Set<String> heldPools = new HashSet<>();

  private long lastRoundNanos;

  private long lastReadNanos;

  private boolean reading;

  /**
   * Creates an exchange that is not yet started.
   *
   * @param context The dependencies that the connection pools of all members share.
   * @param peers The network of the other proxies.
   * @param reader Reads the records of promotions.
   * @param pools The source of the names of all pools.
   * @param databases Finds a database by the name of its pool.
   * @param onEvidence Called on the event loop when there is new evidence.
   */
  public LeaseExchange(
      MemberContext context,
      PeerNetwork peers,
      PromotionRecordReader reader,
      Supplier<List<String>> pools,
      Function<String, Optional<Database>> databases,
      Runnable onEvidence) {
    this.context = context;
    this.peers = peers;
    this.reader = reader;
    this.pools = pools;
    this.databases = databases;
    this.onEvidence = onEvidence;
    // A late answer to an earlier run of this proxy must not count.
    long firstRound = ThreadLocalRandom.current().nextLong() >>> 16;
    participant = new LeaseParticipant(context.processName(), firstRound, leases);
    lastRoundNanos = context.loop().now() - ROUND_INTERVAL_MILLIS * NANOS_PER_MILLI;
    lastReadNanos = context.loop().now() - READ_INTERVAL_MILLIS * NANOS_PER_MILLI;
  }

  /** Starts to collect evidence periodically, as long as the platform does not fence. */
  public void start() {
    boolean fenced = context.fencedByPlatform().getAsBoolean();
    context.loop().schedule(fenced ? FENCED_INTERVAL_MILLIS : CHECK_INTERVAL_MILLIS, this::start);
    if (!fenced) {
      check();
    }
  }

  /**
   * Handles a request or response of another proxy; ignores other messages.
   *
   * @param from The name of the sending proxy.
   * @param message The message.
   */
  public void onMessage(String from, PeerMessage message) {
    switch (message) {
      case PeerMessage.LeaseRequest request -> respond(from, request);
      case PeerMessage.LeaseResponse response -> onResponse(from, response);
      default -> {
        // Other messages do not concern leases.
      }
    }
  }

  /** Starts a round if one is due or a right is missing, and reads the records if need be. */
  private void check() {
    Map<String, String> claimed = claimedPrimaries();
    Map<String, String> primaries = withoutPromised(claimed);
    ClockReading now = context.loop().readClocks();
    boolean missing = false;
    boolean old = false;
    for (Map.Entry<String, String> entry : primaries.entrySet()) {
      OptionalLong age = lease(entry.getKey()).ageMillis(entry.getValue(), now);
      boolean held = age.orElse(PrimaryLease.VALID_MILLIS) < PrimaryLease.VALID_MILLIS;
      logChange(entry.getKey(), entry.getValue(), held);
      missing |= !held;
      old |= age.orElse(READ_AGE_MILLIS) >= READ_AGE_MILLIS || !lease(entry.getKey()).isConfirmed();
    }
    if (missing || isOver(lastRoundNanos, ROUND_INTERVAL_MILLIS)) {
      lastRoundNanos = context.loop().now();
      // A promised primary is asked about as well, since an answer may name its successor.
      startRound(claimed);
    }
    if (old && !reading && isOver(lastReadNanos, READ_INTERVAL_MILLIS)) {
      lastReadNanos = context.loop().now();
      readRecords(primaries);
    }
  }

  /** Returns the primary of each pool as this proxy knows it. */
  private Map<String, String> claimedPrimaries() {
    Map<String, String> primaries = new HashMap<>();
    for (String pool : pools.get()) {
      Optional<Database> database = databases.apply(pool);
      database.ifPresent(known -> leases.put(pool, known.rights().lease()));
      database
          .flatMap(Database::claimedPrimary)
          .ifPresent(primary -> primaries.put(pool, primary.entry().id()));
    }
    return primaries;
  }

  /** Returns those of the primaries that this proxy has not promised to a promotion. */
  private Map<String, String> withoutPromised(Map<String, String> primaries) {
    Map<String, String> wanted = new HashMap<>(primaries);
    ClockReading now = context.loop().readClocks();
    wanted
        .entrySet()
        .removeIf(entry -> leases.get(entry.getKey()).isPromisedAway(entry.getValue(), now));
    return wanted;
  }

  private void startRound(Map<String, String> primaries) {
    if (primaries.isEmpty()) {
      return;
    }
    updateFleet();
    long id = participant.startRound(context.loop().readClocks(), primaries);
    List<Integer> hashes =
        participant.primariesOf(id).entrySet().stream()
            .map(entry -> PeerMessage.LeaseRequest.hash(entry.getKey(), entry.getValue()))
            .toList();
    PeerMessage request = new PeerMessage.LeaseRequest(id, hashes);
    List<String> asked = askedProxies(participant.electors(), id);
    asked.forEach(proxy -> peers.send(proxy, request));
    context
        .metrics()
        .counter("lease_rounds", "asked", asked.size() > ASKED_ELECTORS ? "all" : "few")
        .inc();
    onEvidence.run();
  }

  private void updateFleet() {
    Set<String> fleet = new HashSet<>(peers.knownPeers());
    fleet.add(context.processName());
    participant.updateFleet(fleet, context.loop().readClocks());
  }

  /** Chooses the proxies that a round asks: an elector asks all others, any other proxy a few. */
  private List<String> askedProxies(LeaseElectors electors, long round) {
    List<String> others = new ArrayList<>(electors.names());
    if (others.remove(context.processName())) {
      return others;
    }
    others.sort(null);
    List<String> asked = new ArrayList<>();
    for (int index = 0; index < ASKED_ELECTORS; index++) {
      asked.add(others.get(Math.floorMod(round + index, others.size())));
    }
    return asked;
  }

  private void respond(String from, PeerMessage.LeaseRequest request) {
    updateFleet();
    Map<Integer, String> poolsByHash = new HashMap<>();
    Map<String, String> asked = new HashMap<>();
    for (String pool : pools.get()) {
      for (MemberConnectionPool member : databases.apply(pool).orElseThrow().connectionPools()) {
        int hash = PeerMessage.LeaseRequest.hash(pool, member.entry().id());
        if (request.primaries().contains(hash)) {
          poolsByHash.put(hash, pool);
          asked.put(pool, member.entry().id());
        }
      }
    }
    Map<String, String> own = withoutPromised(claimedPrimaries());
    asked.forEach((pool, member) -> correct(from, pool, member));
    LeaseParticipant.Answer answer = participant.answer(asked, own, context.loop().readClocks());
    List<LeaseParticipant.Status> statuses =
        request.primaries().stream()
            .map(hash -> statusOf(Optional.ofNullable(poolsByHash.get(hash)), answer))
            .toList();
    peers.send(from, new PeerMessage.LeaseResponse(request.round(), answer.ageMillis(), statuses));
  }

  /** Returns the status of a pool; a primary that is not known here is refused. */
  private static LeaseParticipant.Status statusOf(
      Optional<String> pool, LeaseParticipant.Answer answer) {
    return pool.map(answer.statuses()::get).orElse(LeaseParticipant.Status.REFUSED);
  }

  /** Tells a proxy that asks about a replaced primary which member is the primary now. */
  private void correct(String proxy, String pool, String member) {
    Database database = databases.apply(pool).orElseThrow();
    database
        .claimedPrimary()
        .map(primary -> primary.entry().id())
        .filter(primary -> !primary.equals(member) && database.provenTerm().isPresent())
        .ifPresent(
            primary ->
                peers.send(
                    proxy,
                    new PeerMessage.PrimaryProven(
                        pool, primary, database.provenTerm().getAsLong())));
  }

  private void onResponse(String from, PeerMessage.LeaseResponse response) {
    List<String> asked = List.copyOf(participant.primariesOf(response.round()).keySet());
    Map<String, LeaseParticipant.Status> statuses = new HashMap<>();
    for (int index = 0; index < Math.min(asked.size(), response.statuses().size()); index++) {
      statuses.put(asked.get(index), response.statuses().get(index));
    }
    participant.onAnswer(
        from, response.round(), new LeaseParticipant.Answer(response.ageMillis(), statuses));
    onEvidence.run();
  }

  /** Records evidence unless this proxy has another primary by now. */
  private void recordEvidence(String pool, String member, ClockReading askedAt) {
    databases
        .apply(pool)
        .filter(database -> database.claimedPrimary().filter(p -> isMember(p, member)).isPresent())
        .ifPresent(
            database -> {
              database.rights().lease().recordEvidence(member, askedAt);
              onEvidence.run();
            });
  }

  private static boolean isMember(MemberConnectionPool pool, String member) {
    return pool.entry().id().equals(member);
  }

  /** Reads the records on a thread of its own, as the store blocks. */
  private void readRecords(Map<String, String> primaries) {
    reading = true;
    ClockReading askedAt = context.loop().readClocks();
    Map<String, SeenRecord> settled = new HashMap<>(seenRecords);
    settled.values().removeIf(seen -> askedAt.millisSince(seen.firstSeen) < SETTLED_MILLIS);
    Thread.ofPlatform()
        .daemon()
        .name("promotion-records")
        .start(
            () -> {
              Optional<Map<String, PromotionRecord>> records = readRecordsOrNone();
              Set<String> proven = new HashSet<>();
              records.ifPresent(
                  read ->
                      primaries.forEach(
                          (pool, member) -> {
                            if (provesPrimary(read.get(pool), member, settled.get(pool))) {
                              proven.add(pool);
                            }
                          }));
              context.loop().submit(() -> onRecords(primaries, askedAt, records, proven));
            });
  }

  /** Reads the records; what can't be read or decoded counts as a store that does not answer. */
  private Optional<Map<String, PromotionRecord>> readRecordsOrNone() {
    try {
      return reader.readRecords();
    } catch (RuntimeException exception) {
      Logger.warn("reading the records of promotions failed: {}", exception.toString());
      return Optional.empty();
    }
  }

  /**
   * Checks if a record shows that a member was not replaced. A record that names another member may
   * be of a promotion that had no effect: if it is old and that member does not lead.
   */
  private boolean provesPrimary(PromotionRecord record, String member, SeenRecord settled) {
    if (record == null || record.member().equals(member)) {
      return true;
    }
    return settled != null
        && settled.record.equals(record)
        && !reader.isRegisteredAsPrimary(record.member()).orElse(true);
  }

  private void onRecords(
      Map<String, String> primaries,
      ClockReading askedAt,
      Optional<Map<String, PromotionRecord>> records,
      Set<String> proven) {
    reading = false;
    records.ifPresent(
        read ->
            read.forEach(
                (pool, record) -> {
                  SeenRecord seen = seenRecords.get(pool);
                  if (seen == null || !seen.record.equals(record)) {
                    seenRecords.put(pool, new SeenRecord(record, context.loop().readClocks()));
                  }
                }));
    proven.forEach(pool -> recordEvidence(pool, primaries.get(pool), askedAt));
    String outcome = records.isPresent() ? "ok" : "failed";
    context.metrics().counter("promotion_record_reads", "outcome", outcome).inc();
  }

  private PrimaryLease lease(String pool) {
    return databases.apply(pool).orElseThrow().rights().lease();
  }

  private boolean isOver(long sinceNanos, long millis) {
    return context.loop().now() - sinceNanos >= millis * NANOS_PER_MILLI;
  }

  private void logChange(String pool, String member, boolean held) {
    if (held ? heldPools.add(pool) : heldPools.remove(pool)) {
      context
          .log()
          .event(held ? "primary-right-held" : "primary-right-lost")
          .with("pool", pool)
          .with("member", member)
          .write();
    }
  }

  /**
   * A record as this proxy knows it.
   *
   * @param record The record.
   * @param firstSeen When it was first read.
   */
  private record SeenRecord(PromotionRecord record, ClockReading firstSeen) {}
}
