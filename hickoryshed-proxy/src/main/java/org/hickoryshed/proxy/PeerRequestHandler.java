package org.hickoryshed.proxy;

import java.util.Optional;
import java.util.function.UnaryOperator;
import org.hickoryshed.decision.configuration.Configuration;
import org.hickoryshed.decision.membership.VmList;
import org.hickoryshed.protocol.message.Message;
import org.hickoryshed.proxy.document.ActiveDocuments;
import org.hickoryshed.proxy.pooler.PoolerService;

/**
 * The handler of the requests of peers.
 *
 * @param documents The documents in force.
 * @param poolers The poolers of this process.
 */
record PeerRequestHandler(ActiveDocuments documents, PoolerService poolers)
    implements UnaryOperator<Message> {

  @Override
  public Message apply(Message message) {
    return switch (message) {
      case Message.Execute execute -> poolers.execute(execute);
      case Message.AskBarrier barrier -> poolers.proveBarrier(barrier);
      case Message.AskStatus status -> poolers.requestMemberStatus(status);
      case Message.AskDocuments question -> documents(question);
      default -> new Message.Unsupported(message.getClass().getSimpleName());
    };
  }

  /**
   * Answers with documents of higher revisions.
   *
   * @param question The question.
   * @return The documents.
   */
  private Message documents(Message.AskDocuments question) {
    Configuration configuration = documents.configuration();
    VmList vmList = documents.vmList();
    return new Message.Documents(
        Optional.of(configuration).filter(held -> held.revision() > question.configuration()),
        Optional.of(vmList).filter(held -> held.revision() > question.vmList()));
  }
}
