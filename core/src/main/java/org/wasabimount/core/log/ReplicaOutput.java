package org.wasabimount.core.log;

import java.util.List;
import java.util.Optional;

import org.wasabimount.protocol.log.HardState;
import org.wasabimount.protocol.log.LogEntry;
import org.wasabimount.protocol.log.LogMessage;
import org.wasabimount.protocol.log.LogSnapshot;

/**
 * The work that a replica has for its host, to be performed in the order of the components.
 *
 * @param messagesBeforeSync messages that may be sent before anything is synced
 * @param installedSnapshot a snapshot from the leader that replaces the state and the log
 * @param hardState the term and vote to write
 * @param appendedEntries entries to write; the first one replaces any stored entry at its index and all that follow
 * @param messagesAfterSync messages that may be sent only when all of the above is synced
 * @param committedEntries entries to apply to the state machine
 */
public record ReplicaOutput(
        List<LogMessage> messagesBeforeSync,
        Optional<LogSnapshot> installedSnapshot,
        Optional<HardState> hardState,
        List<LogEntry> appendedEntries,
        List<LogMessage> messagesAfterSync,
        List<LogEntry> committedEntries) {

    /**
     * Returns whether anything must be written and synced.
     *
     * @return true if a snapshot, a hard state or entries are present
     */
    public boolean needsSync() {
        return installedSnapshot.isPresent() || hardState.isPresent() || !appendedEntries.isEmpty();
    }
}
