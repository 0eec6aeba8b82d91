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

/** Forwards requests to the pooler of a member, which may be in this process. */
final class Forwarder {

  /** The time in milliseconds for which a VM that refused a request is passed over. */
  private static final long REFUSED_FOR = 500;

  /** The time in milliseconds for which a VM that is silent or shutting down is passed over. */
  private static final long SILENT_FOR = 5_000;

  /** The time for which a reply may be later than the deadline of its request. */
  private static final Duration REPLY_MARGIN = Duration.ofMillis(400);

  /** The settings. */
  private final ProxySettings settings;

  /** The documents. */
  private final ActiveDocuments documents;

  /** The peers. */
  private final PeerTransport peers;

  /** The poolers of this process. */
  private final PoolerService poolers;

  /** The metrics. */
  private final Metrics metrics;

  /** The preferred poolers under the latest VM list. */
  private volatile Preferences latestPreferences =
      new Preferences(VmList.EMPTY, new ConcurrentHashMap<>());

  /** The times in milliseconds until which VMs are passed over, by name. */
  private final Map<String, Long> unreachableUntil = new ConcurrentHashMap<>();

  /**
   * Creates a new forwarder.
   *
   * @param settings The settings.
   * @param documents The documents.
   * @param peers The peers.
   * @param poolers The poolers of this process.
   * @param metrics The metrics.
   */
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
   * Runs a request at the pooler of a member.
   *
   * @param member The member.
   * @param request The request.
   * @return The outcome and the latest status of the member.
   */
  Message.Executed execute(Member member, Message.Execute request) {
    Duration timeout = Duration.ofMillis(request.timeoutMillis()).plus(REPLY_MARGIN);
    for (Vm vm : candidates(member)) {
      if (isSelf(vm)) {
        return poolers.execute(request);
      }
      Result<Message, PeerFailure> reply = peers.call(vm.peerAddress(), request, timeout);
      Optional<Message.Executed> executed = classify(vm, reply);
      if (executed.isPresent()) {
        return executed.get();
      }
    }
    return poolers.execute(request);
  }

  /**
   * Runs a request of a transaction at the pooler that holds it.
   *
   * @param vmName The name of the VM of the pooler.
   * @param request The request.
   * @return The outcome and the latest status of the member.
   */
  Message.Executed executeOnVm(String vmName, Message.Execute request) {
    if (vmName.equals(settings.name())) {
      return poolers.execute(request);
    }
    Duration timeout = Duration.ofMillis(request.timeoutMillis()).plus(REPLY_MARGIN);
    Optional<Vm> vm =
        documents.vmList().entries().stream()
            .filter(candidate -> candidate.name().equals(vmName))
            .findFirst();
    return vm.flatMap(found -> classify(found, peers.call(found.peerAddress(), request, timeout)))
        .orElseGet(
            () ->
                new Message.Executed(
                    new Outcome.NotRun(
                        Reason.NO_TRANSACTION, "the pooler of the transaction is gone"),
                    Optional.empty()));
  }

  /**
   * Asks the pooler of a member.
   *
   * @param member The member.
   * @param question The question.
   * @param timeout The longest time to wait.
   * @return The reply or an empty optional.
   */
  Optional<Message> query(Member member, Message question, Duration timeout) {
    for (Vm vm : candidates(member)) {
      if (isSelf(vm)) {
        break;
      }
      Result<Message, PeerFailure> reply = peers.call(vm.peerAddress(), question, timeout);
      if (reply instanceof Result.Success<Message, PeerFailure>(Message message)) {
        return Optional.of(message);
      }
      passOver(vm, SILENT_FOR);
    }
    return switch (question) {
      case Message.AskBarrier barrier -> Optional.of(poolers.proveBarrier(barrier));
      case Message.AskStatus status -> Optional.of(poolers.requestMemberStatus(status));
      default -> Optional.empty();
    };
  }

  /**
   * Classifies a reply.
   *
   * @param vm The VM that was asked.
   * @param reply The reply or the reason why there is none.
   * @return The outcome, or an empty optional if the request surely did not reach the VM.
   */
  private Optional<Message.Executed> classify(Vm vm, Result<Message, PeerFailure> reply) {
    return switch (reply) {
      case Result.Success<Message, PeerFailure>(Message.Executed executed)
          when executed.outcome() instanceof Outcome.NotRun notRun
              && notRun.reason() == Reason.NOT_SERVED -> {
        // The VM is shutting down. A request that meets its end would have an unknown outcome.
        passOver(vm, SILENT_FOR);
        yield Optional.empty();
      }
      case Result.Success<Message, PeerFailure>(Message.Executed executed) -> Optional.of(executed);
      case Result.Success<Message, PeerFailure>(Message other) ->
          Optional.of(unknown("unexpected reply " + other.getClass().getSimpleName()));
      case Result.Failed<Message, PeerFailure>(PeerFailure.NotSent ignored) -> {
        passOver(vm, REFUSED_FOR);
        yield Optional.empty();
      }
      case Result.Failed<Message, PeerFailure>(PeerFailure.NoAnswer(String detail)) -> {
        passOver(vm, SILENT_FOR);
        yield Optional.of(unknown(detail));
      }
    };
  }

  /**
   * Passes a VM over for a while.
   *
   * @param vm The VM.
   * @param millis The time in milliseconds.
   */
  private void passOver(Vm vm, long millis) {
    metrics.counter("poolers_passed_over", "vm", vm.name()).inc();
    unreachableUntil.put(vm.name(), System.currentTimeMillis() + millis);
  }

  /**
   * Returns the VMs that may serve as pooler of a member, of any failure domain if this one shuts
   * down and there is no other one of the member's.
   *
   * @param member The member.
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
      if (!refuses && unreachableUntil.getOrDefault(vm.name(), 0L) <= now) {
        reachable.add(vm);
      }
    }
    return reachable;
  }

  /**
   * Returns the VMs that may serve as pooler of a member, whether reachable or not.
   *
   * @param member The member.
   * @return The VMs, most preferred first.
   */
  private List<Vm> preferences(Member member) {
    VmList list = documents.vmList();
    Preferences known = latestPreferences;
    if (known.list() != list) {
      known = new Preferences(list, new ConcurrentHashMap<>());
      latestPreferences = known;
    }
    return known
        .byMember()
        .computeIfAbsent(
            member,
            key ->
                RendezvousHashing.order(key.name(), list.notLeavingOrAll(key.domain()), Vm::name));
  }

  /**
   * Checks if a VM is the own one.
   *
   * @param vm The VM.
   * @return {@code true} if the VM is the own one.
   */
  private boolean isSelf(Vm vm) {
    return vm.name().equals(settings.name());
  }

  /**
   * Answers that a request may have run.
   *
   * @param detail What is known about the request.
   * @return The answer.
   */
  private static Message.Executed unknown(String detail) {
    return new Message.Executed(new Outcome.Unknown(Reason.ANSWER_LOST, detail), Optional.empty());
  }

  /**
   * The preferred poolers under a VM list.
   *
   * @param list The VM list.
   * @param byMember The VMs, most preferred first, by the members.
   */
  private record Preferences(VmList list, Map<Member, List<Vm>> byMember) {}
}
