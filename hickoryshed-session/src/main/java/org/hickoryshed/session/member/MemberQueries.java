package org.hickoryshed.session.member;

import java.util.Optional;
import java.util.function.Consumer;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.session.wire.MemberStatusReport;

/** Asks a member on behalf of this proxy, each time within a bound. */
public final class MemberQueries {

  /** What all pools share. */
  private final MemberContext context;

  /** The pool of the member. */
  private final MemberPool pool;

  /**
   * Creates an inquiry.
   *
   * @param context What all pools share.
   * @param pool The pool of the member.
   */
  MemberQueries(MemberContext context, MemberPool pool) {
    this.context = context;
    this.pool = pool;
  }

  /**
   * Finds out whether the member answers this process and leads.
   *
   * @param timeoutMillis The longest time to wait in milliseconds.
   * @param result The receiver of the result.
   */
  public void probe(long timeoutMillis, Consumer<Boolean> result) {
    if (pool.isDirectlyReachable()) {
      askPosition(
          pool::borrowDirectly,
          timeoutMillis,
          answer -> result.accept(answer.filter(MemberQueries::isOfPrimary).isPresent()));
      return;
    }
    pool.tryAgain();
    context.loop().schedule(timeoutMillis, () -> result.accept(pool.isDirectlyReachable()));
  }

  /**
   * Asks the member for the position of its log by an empty transaction that only a primary begins.
   *
   * @param timeoutMillis The longest time to wait in milliseconds.
   * @param result The receiver of the answer, empty if none came in time.
   */
  public void askPosition(long timeoutMillis, Consumer<Optional<MemberResponse>> result) {
    askPosition(pool::borrow, timeoutMillis, result);
  }

  /**
   * Asks the member for the position of its log.
   *
   * @param lender Lends a connection to the member.
   * @param timeoutMillis The longest time to wait in milliseconds.
   * @param result The receiver of the answer, empty if none came in time.
   */
  private void askPosition(
      Consumer<Borrower> lender, long timeoutMillis, Consumer<Optional<MemberResponse>> result) {
    new InternalRequest(
            context.loop(),
            pool,
            lender,
            (connection, receiver) -> connection.begin(false, Optional.empty(), receiver),
            result)
        .start(timeoutMillis);
  }

  /**
   * Asks the member for its status.
   *
   * @param timeoutMillis The longest time to wait in milliseconds.
   * @param result The receiver of the report, empty if the member did not answer.
   */
  public void askStatus(long timeoutMillis, Consumer<Optional<MemberStatusReport>> result) {
    new InternalRequest(
            context.loop(),
            pool,
            pool::borrow,
            MemberConnection::askStatus,
            answer ->
                result.accept(
                    answer
                        .filter(MemberResponse.Done.class::isInstance)
                        .map(MemberResponse.Done.class::cast)
                        .flatMap(done -> done.rows().stream().findFirst())
                        .flatMap(context.format()::parseStatus)))
        .start(timeoutMillis);
  }

  /**
   * Checks if an answer does not deny the lead of the member.
   *
   * @param answer The answer.
   * @return {@code false} if the member stated that it does not lead.
   */
  private static boolean isOfPrimary(MemberResponse answer) {
    return !(answer instanceof MemberResponse.Failed failed
        && failed.kind() == FailureKind.NOT_PRIMARY);
  }
}
