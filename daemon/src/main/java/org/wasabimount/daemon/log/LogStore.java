package org.wasabimount.daemon.log;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

import org.wasabimount.core.log.PersistedLog;
import org.wasabimount.protocol.log.HardState;
import org.wasabimount.protocol.log.LogEntry;
import org.wasabimount.protocol.log.LogSnapshot;

/** Keeps one group's log. */
public interface LogStore {

    /**
     * Reads what was synced before.
     *
     * @param initialState the state of a group that has never written
     * @return what was synced, or the first state
     * @throws IOException if the files can't be read or are corrupt
     */
    PersistedLog recover(LogSnapshot initialState) throws IOException;

    /**
     * Writes and syncs one batch.
     *
     * @param hardState the new term and vote, if they changed
     * @param entries the new entries
     * @throws IOException if anything is not surely synced; the store must not be used any more
     */
    void append(Optional<HardState> hardState, List<LogEntry> entries) throws IOException;

    /**
     * Replaces the log by a snapshot and the entries that follow or overlap it.
     *
     * @param snapshot the snapshot
     * @param hardState the term and vote in force
     * @param retainedEntries the entries to keep
     * @throws IOException if anything is not surely synced; the store must not be used any more
     */
    void replace(LogSnapshot snapshot, HardState hardState, List<LogEntry> retainedEntries) throws IOException;
}
