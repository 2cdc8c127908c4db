package org.wasabimount.daemon.node;

import java.util.HashMap;
import java.util.Map;

import org.wasabimount.core.dispatch.AdviceOutcome;
import org.wasabimount.core.dispatch.AdviceResult;
import org.wasabimount.protocol.peer.AdviceReply;
import org.wasabimount.protocol.peer.Ticket;

/** Converts the results of advice calls to and from messages between VMs. */
final class AdviceMessages {

    private AdviceMessages() {}

    static AdviceReply reply(long callId, AdviceResult result) {
        AdviceReply.Builder reply = AdviceReply.newBuilder()
                .setId(callId)
                .setAnswered(result.answered())
                .setFailure(result.outcome().number())
                .setStatus(result.status())
                .setValidMillis(result.validMillis());
        result.tickets()
                .forEach((worker, ticket) ->
                        reply.addTickets(Ticket.newBuilder().setWorker(worker).setTicket(ticket)));
        return reply.build();
    }

    static AdviceResult result(AdviceReply reply) {
        if (!reply.getAnswered()) {
            return AdviceResult.failed(AdviceOutcome.failure(reply.getFailure()), reply.getStatus());
        }
        Map<String, String> tickets = new HashMap<>();
        reply.getTicketsList().forEach(ticket -> tickets.put(ticket.getWorker(), ticket.getTicket()));
        return AdviceResult.answered(tickets, reply.getValidMillis());
    }
}
