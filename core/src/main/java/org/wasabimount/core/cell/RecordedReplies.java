package org.wasabimount.core.cell;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wasabimount.protocol.cell.RecordedReply;
import org.wasabimount.protocol.cell.Reply;

/** The replies to the most recent writes of each organisation, returned again when a write is repeated. */
final class RecordedReplies {

    static final int MAX_PER_ORGANISATION = 256;

    private final Map<String, Map<String, Reply>> byOrganisation = new LinkedHashMap<>();

    Optional<Reply> find(String organisation, String requestId) {
        return requestId.isEmpty()
                ? Optional.empty()
                : Optional.ofNullable(
                        byOrganisation.getOrDefault(organisation, Map.of()).get(requestId));
    }

    void record(String organisation, String requestId, Reply reply) {
        if (requestId.isEmpty()) {
            return;
        }
        Map<String, Reply> replies = byOrganisation.computeIfAbsent(organisation, absent -> new LinkedHashMap<>());
        replies.put(requestId, reply);
        if (replies.size() > MAX_PER_ORGANISATION) {
            replies.remove(replies.keySet().iterator().next());
        }
    }

    List<RecordedReply> all() {
        return byOrganisation.entrySet().stream()
                .flatMap(replies -> replies.getValue().entrySet().stream()
                        .map(reply -> RecordedReply.newBuilder()
                                .setOrganisation(replies.getKey())
                                .setRequestId(reply.getKey())
                                .setReply(reply.getValue())
                                .build()))
                .toList();
    }
}
