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
 * @param beforeSync messages that may leave before anything is synced
 * @param installed a snapshot from the leader that replaces state and log
 * @param hardState the term and vote to write
 * @param appended entries to write; the first one replaces any entry of its index and all after it
 * @param afterSync messages that may leave only once all of the above is synced
 * @param committed entries to apply to the state machine
 */
public record ReplicaOutput(
        List<LogMessage> beforeSync,
        Optional<LogSnapshot> installed,
        Optional<HardState> hardState,
        List<LogEntry> appended,
        List<LogMessage> afterSync,
        List<LogEntry> committed) {

    /**
     * Tells whether something must be written and synced.
     *
     * @return true if a snapshot, a hard state or entries are present
     */
    public boolean needsSync() {
        return installed.isPresent() || hardState.isPresent() || !appended.isEmpty();
    }
}
