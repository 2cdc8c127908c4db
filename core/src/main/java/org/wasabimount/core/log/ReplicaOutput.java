package org.wasabimount.core.log;

import java.util.List;
import java.util.Optional;

import org.wasabimount.protocol.log.HardState;
import org.wasabimount.protocol.log.LogEntry;
import org.wasabimount.protocol.log.LogMessage;
import org.wasabimount.protocol.log.LogSnapshot;

/**
 * What a host does after it gave events to a replica, in the order of the components.
 *
 * @param messagesBeforeSync messages that may leave before anything is synced
 * @param installedSnapshot a snapshot from the leader that replaces state and log
 * @param hardState the term and vote to write
 * @param appendedEntries entries to write; the first one replaces any entry of its index and all after it
 * @param messagesAfterSync messages that may leave only once all of the above is synced
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
     * Tells whether something must be written and synced.
     *
     * @return true if a snapshot, a hard state or entries are present
     */
    public boolean needsSync() {
        return installedSnapshot.isPresent() || hardState.isPresent() || !appendedEntries.isEmpty();
    }
}
