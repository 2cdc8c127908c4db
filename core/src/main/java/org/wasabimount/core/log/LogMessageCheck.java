package org.wasabimount.core.log;

import java.util.Optional;
import java.util.stream.IntStream;

import org.wasabimount.protocol.log.AppendReply;
import org.wasabimount.protocol.log.AppendRequest;
import org.wasabimount.protocol.log.LogEntry;
import org.wasabimount.protocol.log.LogMessage;
import org.wasabimount.protocol.log.LogSnapshot;
import org.wasabimount.protocol.log.Membership;
import org.wasabimount.protocol.log.VoteRequest;

import com.google.protobuf.InvalidProtocolBufferException;

/**
 * Finds messages between replicas that no replica sends, such as those of another version or with damaged bytes.
 *
 * <p>A replica drops such a message. Applied in part, it would leave the replica's state inconsistent.
 */
final class LogMessageCheck {

    private LogMessageCheck() {}

    /**
     * Checks a message on its own.
     *
     * @param message the message
     * @param self the identity of the receiving replica
     * @return what is wrong with the message, empty if a replica may have sent it
     */
    static Optional<String> problem(LogMessage message, String self) {
        if (message.getFrom().isEmpty() || message.getFrom().equals(self)) {
            return Optional.of("its sender is \"" + message.getFrom() + "\"");
        }
        if (message.getTerm() < 0) {
            return Optional.of("its term is " + message.getTerm());
        }
        boolean valid = switch (message.getBodyCase()) {
            case VOTE_REQUEST -> valid(message.getVoteRequest(), message.getTerm());
            case APPEND_REQUEST -> valid(message.getAppendRequest(), message.getTerm());
            case APPEND_REPLY -> valid(message.getAppendReply());
            case SNAPSHOT_REQUEST -> valid(message.getSnapshotRequest().getSnapshot(), message.getTerm());
            case VOTE_REPLY, TIMEOUT_NOW -> true;
            case BODY_NOT_SET -> false;
        };
        return valid ? Optional.empty() : Optional.of("its fields contradict each other");
    }

    private static boolean valid(VoteRequest request, long term) {
        return request.getLastIndex() >= 0 && withinTerm(request.getLastTerm(), term);
    }

    private static boolean valid(AppendReply reply) {
        return reply.getMatchIndex() >= 0 && reply.getRound() >= 0;
    }

    private static boolean valid(AppendRequest request, long term) {
        long previous = request.getPreviousIndex();
        boolean numbersValid = previous >= 0
                && previous <= Long.MAX_VALUE - request.getEntriesCount()
                && withinTerm(request.getPreviousTerm(), term)
                && request.getCommitIndex() >= 0
                && request.getRound() >= 0;
        return numbersValid
                && IntStream.range(0, request.getEntriesCount())
                        .allMatch(number -> valid(request.getEntries(number), previous + 1 + number, term));
    }

    private static boolean valid(LogEntry entry, long index, long term) {
        boolean kindValid = entry.getKind() != LogEntry.Kind.UNRECOGNIZED
                && (entry.getKind() != LogEntry.Kind.MEMBERSHIP || isMembership(entry));
        return entry.getIndex() == index && withinTerm(entry.getTerm(), term) && kindValid;
    }

    private static boolean isMembership(LogEntry entry) {
        try {
            return Membership.parseFrom(entry.getData()).getVotersCount() > 0;
        } catch (InvalidProtocolBufferException e) {
            // The caller logs the message as malformed.
            return false;
        }
    }

    private static boolean valid(LogSnapshot snapshot, long term) {
        return snapshot.getIndex() >= 0
                && withinTerm(snapshot.getTerm(), term)
                && snapshot.getMembership().getVotersCount() > 0;
    }

    private static boolean withinTerm(long value, long term) {
        return value >= 0 && value <= term;
    }
}
