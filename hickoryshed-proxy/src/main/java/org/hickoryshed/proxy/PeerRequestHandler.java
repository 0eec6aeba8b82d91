package org.hickoryshed.proxy;

import java.util.Optional;
import java.util.function.UnaryOperator;
import org.hickoryshed.decision.configuration.Configuration;
import org.hickoryshed.decision.membership.VmList;
import org.hickoryshed.protocol.message.Message;
import org.hickoryshed.proxy.document.ActiveDocuments;
import org.hickoryshed.proxy.pooler.PoolerService;

/**
 * Handles requests of peers, that is of other processes of this system. Called by one virtual
 * thread for each request, which may block.
 *
 * @param documents The active configuration and VM list.
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
      case Message.AskDocuments request -> documents(request);
      default -> new Message.Unsupported(message.getClass().getSimpleName());
    };
  }

  /** Responds with the documents that are newer than those of the peer. */
  private Message documents(Message.AskDocuments request) {
    Configuration configuration = documents.configuration();
    VmList vmList = documents.vmList();
    return new Message.Documents(
        Optional.of(configuration).filter(active -> active.revision() > request.configuration()),
        Optional.of(vmList).filter(active -> active.revision() > request.vmList()));
  }
}
