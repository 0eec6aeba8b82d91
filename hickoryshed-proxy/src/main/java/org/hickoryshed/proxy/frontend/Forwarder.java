package org.hickoryshed.proxy.frontend;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.hickoryshed.decision.configuration.Member;
import org.hickoryshed.decision.membership.RendezvousHashing;
import org.hickoryshed.decision.membership.Vm;
import org.hickoryshed.decision.membership.VmList;
import org.hickoryshed.kernel.metric.Metrics;
import org.hickoryshed.kernel.result.Result;
import org.hickoryshed.protocol.message.Message;
import org.hickoryshed.protocol.peer.PeerFailure;
import org.hickoryshed.protocol.peer.PeerTransport;
import org.hickoryshed.protocol.statement.Outcome;
import org.hickoryshed.protocol.statement.Reason;
import org.hickoryshed.proxy.ProxySettings;
import org.hickoryshed.proxy.document.ActiveDocuments;
import org.hickoryshed.proxy.pooler.PoolerService;

/**
 * Forwards requests to the pooler of a member, on another VM or in this process.
 *
 * <p>The VMs of the member's failure domain are tried in rendezvous order, so that all proxies
 * prefer the same pooler. A VM that fails is skipped for a while. If no other VM can be reached,
 * this process serves as pooler itself.
 */
final class Forwarder {

  /** Milliseconds for which a VM is skipped after a request could not be sent to it. */
  private static final long SKIP_AFTER_REFUSAL_MILLIS = 500;

  /** Milliseconds for which a VM is skipped after it did not respond or was shutting down. */
  private static final long SKIP_AFTER_SILENCE_MILLIS = 5_000;

  /** The time by which a response may arrive after the deadline of its request. */
  private static final Duration RESPONSE_GRACE = Duration.ofMillis(400);

  private final ProxySettings settings;
  private final ActiveDocuments documents;
  private final PeerTransport peers;

  /** The poolers of this process. */
  private final PoolerService poolers;

  private final Metrics metrics;

  /** The order of VMs under the latest VM list. */
  private volatile Preferences cachedPreferences =
      new Preferences(VmList.EMPTY, new ConcurrentHashMap<>());

  /** The epoch milliseconds until which VMs are skipped, by VM name. */
  private final Map<String, Long> skippedUntil = new ConcurrentHashMap<>();

  Forwarder(
      ProxySettings settings,
      ActiveDocuments documents,
      PeerTransport peers,
      PoolerService poolers,
      Metrics metrics) {
    this.settings = settings;
    this.documents = documents;
    this.peers = peers;
    this.poolers = poolers;
    this.metrics = metrics;
  }

  /**
   * Runs a request at the pooler of a member. Blocks until the outcome is known or the request
   * times out. Goes on to the next VM only if the request definitely did not reach the one before.
   *
   * @return The outcome, and the latest status of the member if it is known.
   */
  Message.Executed execute(Member member, Message.Execute request) {
    Duration timeout = Duration.ofMillis(request.timeoutMillis()).plus(RESPONSE_GRACE);
    for (Vm vm : candidates(member)) {
      if (isSelf(vm)) {
        return poolers.execute(request);
      }
      Result<Message, PeerFailure> response = peers.call(vm.peerAddress(), request, timeout);
      Optional<Message.Executed> executed = classify(vm, response);
      if (executed.isPresent()) {
        return executed.get();
      }
    }
    return poolers.execute(request);
  }

  /**
   * Runs a request of an open transaction at the pooler that holds its connection, which no other
   * can replace.
   *
   * @param vmName The name of the VM of the pooler.
   * @return The outcome, and the latest status of the member if it is known.
   */
  Message.Executed executeOnVm(String vmName, Message.Execute request) {
    if (vmName.equals(settings.name())) {
      return poolers.execute(request);
    }
    Duration timeout = Duration.ofMillis(request.timeoutMillis()).plus(RESPONSE_GRACE);
    Optional<Vm> vm =
        documents.vmList().entries().stream()
            .filter(candidate -> candidate.name().equals(vmName))
            .findFirst();
    return vm.flatMap(found -> classify(found, peers.call(found.peerAddress(), request, timeout)))
        .orElseGet(
            () ->
                new Message.Executed(
                    new Outcome.NotRun(
                        Reason.NO_TRANSACTION, "the pooler of the transaction can't be reached"),
                    Optional.empty()));
  }

  /**
   * Sends a query to the pooler of a member.
   *
   * @param query Either {@link Message.AskBarrier} or {@link Message.AskStatus}.
   * @param timeout The longest time to wait for each VM.
   * @return The response, or an empty optional if this process serves as pooler and the query is of
   *     another type.
   */
  Optional<Message> query(Member member, Message query, Duration timeout) {
    for (Vm vm : candidates(member)) {
      if (isSelf(vm)) {
        break;
      }
      Result<Message, PeerFailure> response = peers.call(vm.peerAddress(), query, timeout);
      if (response instanceof Result.Success<Message, PeerFailure>(Message message)) {
        return Optional.of(message);
      }
      skip(vm, SKIP_AFTER_SILENCE_MILLIS);
    }
    return switch (query) {
      case Message.AskBarrier barrier -> Optional.of(poolers.proveBarrier(barrier));
      case Message.AskStatus status -> Optional.of(poolers.requestMemberStatus(status));
      default -> Optional.empty();
    };
  }

  /**
   * Derives the outcome from a response and lets a VM that failed be skipped.
   *
   * @param vm The VM to which the request was sent.
   * @param response The response or the reason why there is none.
   * @return The outcome, or an empty optional if the request did not run and another VM may be
   *     tried.
   */
  private Optional<Message.Executed> classify(Vm vm, Result<Message, PeerFailure> response) {
    return switch (response) {
      case Result.Success<Message, PeerFailure>(Message.Executed executed)
          when executed.outcome() instanceof Outcome.NotRun notRun
              && notRun.reason() == Reason.NOT_SERVED -> {
        // The VM is shutting down: a request still running at its end would have an unknown
        // outcome.
        skip(vm, SKIP_AFTER_SILENCE_MILLIS);
        yield Optional.empty();
      }
      case Result.Success<Message, PeerFailure>(Message.Executed executed) -> Optional.of(executed);
      case Result.Success<Message, PeerFailure>(Message other) ->
          Optional.of(unknown("unexpected response " + other.getClass().getSimpleName()));
      case Result.Failed<Message, PeerFailure>(PeerFailure.NotSent ignored) -> {
        skip(vm, SKIP_AFTER_REFUSAL_MILLIS);
        yield Optional.empty();
      }
      case Result.Failed<Message, PeerFailure>(PeerFailure.NoAnswer(String detail)) -> {
        skip(vm, SKIP_AFTER_SILENCE_MILLIS);
        yield Optional.of(unknown(detail));
      }
    };
  }

  /** Skips a VM for a while. */
  private void skip(Vm vm, long millis) {
    metrics.counter("poolers_passed_over", "vm", vm.name()).inc();
    skippedUntil.put(vm.name(), System.currentTimeMillis() + millis);
  }

  /**
   * Returns the VMs to try as pooler of a member, without those that are skipped. If this VM is
   * draining and no other VM of the member's failure domain is known, VMs of all failure domains
   * are returned.
   *
   * @return The VMs, most preferred first.
   */
  private List<Vm> candidates(Member member) {
    long now = System.currentTimeMillis();
    List<Vm> preferred = preferences(member);
    if (poolers.isDraining() && preferred.stream().allMatch(this::isSelf)) {
      preferred = RendezvousHashing.order(member.name(), documents.vmList().notLeaving(), Vm::name);
    }
    List<Vm> reachable = new ArrayList<>();
    for (Vm vm : preferred) {
      boolean refuses = poolers.isDraining() && isSelf(vm);
      if (!refuses && skippedUntil.getOrDefault(vm.name(), 0L) <= now) {
        reachable.add(vm);
      }
    }
    return reachable;
  }

  /**
   * Returns the VMs that may serve as pooler of a member, including those that are skipped.
   *
   * @return The VMs, most preferred first.
   */
  private List<Vm> preferences(Member member) {
    VmList list = documents.vmList();
    Preferences known = cachedPreferences;
    if (known.list() != list) {
      known = new Preferences(list, new ConcurrentHashMap<>());
      cachedPreferences = known;
    }
    return known
        .byMember()
        .computeIfAbsent(
            member,
            key ->
                RendezvousHashing.order(key.name(), list.notLeavingOrAll(key.domain()), Vm::name));
  }

  /** Checks if a VM is the one that this process runs on. */
  private boolean isSelf(Vm vm) {
    return vm.name().equals(settings.name());
  }

  /**
   * Creates the response to a request that may have run.
   *
   * @param detail What is known about the request.
   */
  private static Message.Executed unknown(String detail) {
    return new Message.Executed(new Outcome.Unknown(Reason.ANSWER_LOST, detail), Optional.empty());
  }

  /**
   * The VMs that may serve as pooler of each member under one VM list.
   *
   * @param list The VM list.
   * @param byMember The VMs by member, most preferred first.
   */
  private record Preferences(VmList list, Map<Member, List<Vm>> byMember) {}
}
