package org.hickoryshed.decision.memory;

import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The memory that a process may hold for its connections, with one account for each.
 *
 * <p>A part of the capacity is a reserve: only accounts that stay within an ordinary size may use
 * it, so that those with much data can't take it from the others. The sum of all accounts never
 * exceeds the capacity: an account grows only by {@link Account#resize}, which may refuse.
 *
 * <p>Not thread-safe; see {@link #usage} for what other threads may read.
 */
public final class MemoryBudget {

  private final long capacityBytes;

  /** What accounts of more than the ordinary size may use together with all others. */
  private final long sharedBytes;

  private final long ordinaryBytes;

  private final Set<Account> accounts = new LinkedHashSet<>();

  /** The bytes that are charged, by kind. */
  private final Map<MemoryKind, Long> used = new EnumMap<>(MemoryKind.class);

  private long total;

  /** How often an account was refused. */
  private long refusals;

  /** True if bytes were released since the last call of {@link #takeReleased}. */
  private boolean released;

  /**
   * Creates a budget without accounts.
   *
   * @param capacityBytes The largest sum of all accounts.
   * @param reserveBytes The part of it that only accounts of ordinary size may use.
   * @param ordinaryBytes The largest account that may use the reserve.
   */
  public MemoryBudget(long capacityBytes, long reserveBytes, long ordinaryBytes) {
    if (reserveBytes < 0 || reserveBytes > capacityBytes) {
      throw new IllegalArgumentException("the reserve is not a part of the capacity");
    }
    this.capacityBytes = capacityBytes;
    this.ordinaryBytes = ordinaryBytes;
    sharedBytes = capacityBytes - reserveBytes;
  }

  /** Opens an account that holds nothing. */
  public Account open() {
    Account account = new Account();
    accounts.add(account);
    return account;
  }

  /** Returns the largest sum of all accounts in bytes. */
  public long capacityBytes() {
    return capacityBytes;
  }

  /** Returns what is charged now, as a copy that other threads may read. */
  public MemoryUsage usage() {
    return new MemoryUsage(capacityBytes, used, refusals);
  }

  /** Checks if bytes were released since the last call. */
  public boolean takeReleased() {
    boolean result = released;
    released = false;
    return result;
  }

  /**
   * Finds the account of more than the ordinary size that holds most.
   *
   * @param eligible Selects the accounts to choose from.
   * @return The account, empty if none of that size is eligible.
   */
  public Optional<Account> largest(Predicate<Account> eligible) {
    return largestAbove(ordinaryBytes, eligible);
  }

  /**
   * Finds the account that holds most, whatever its size. Many accounts of ordinary size may use up
   * the budget together.
   *
   * @param eligible Selects the accounts to choose from.
   * @return The account, empty if none that holds anything is eligible.
   */
  public Optional<Account> largestOfAnySize(Predicate<Account> eligible) {
    return largestAbove(0, eligible);
  }

  private Optional<Account> largestAbove(long aboveBytes, Predicate<Account> eligible) {
    Account largest = null;
    for (Account account : accounts) {
      boolean larger = account.bytes() > (largest == null ? aboveBytes : largest.bytes());
      if (larger && eligible.test(account)) {
        largest = account;
      }
    }
    return Optional.ofNullable(largest);
  }

  /** What one connection holds. */
  public final class Account {

    private final Map<MemoryKind, Long> held = new EnumMap<>(MemoryKind.class);

    private long bytes;

    private boolean closed;

    private Account() {}

    /** Returns the sum of all kinds in bytes. */
    public long bytes() {
      return bytes;
    }

    /**
     * Sets what this account holds of a kind.
     *
     * @param size The new size in bytes, a smaller one is always granted.
     * @return {@code false} if the budget has no room for it or this account is closed; what it
     *     holds stays as it was.
     */
    public boolean resize(MemoryKind kind, long size) {
      if (size < 0) {
        throw new IllegalArgumentException("negative size");
      }
      long added = size - held.getOrDefault(kind, 0L);
      long limit = bytes + added <= ordinaryBytes ? capacityBytes : sharedBytes;
      if (closed || (added > 0 && total + added > limit)) {
        refusals++;
        return false;
      }
      held.put(kind, size);
      bytes += added;
      total += added;
      used.merge(kind, added, Long::sum);
      released |= added < 0;
      return true;
    }

    /** Releases all that this account holds; it is refused from now on. */
    public void close() {
      for (MemoryKind kind : MemoryKind.values()) {
        if (!closed) {
          resize(kind, 0);
        }
      }
      closed = true;
      accounts.remove(this);
    }
  }
}
