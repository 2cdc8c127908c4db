package org.wasabimount.daemon.log;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

import org.wasabimount.core.log.PersistedLog;
import org.wasabimount.protocol.log.HardState;
import org.wasabimount.protocol.log.LogEntry;
import org.wasabimount.protocol.log.LogSnapshot;

/** Stores one group's log. */
public interface LogStore {

    /**
     * Reads the synced log.
     *
     * @param initialState the state of a group whose log was never written
     * @return the synced log, or the initial state if there is none
     * @throws IOException if the files cannot be read or are corrupt
     */
    PersistedLog recover(LogSnapshot initialState) throws IOException;

    /**
     * Writes and syncs one batch.
     *
     * @param hardState the new term and vote, if they changed
     * @param entries the new entries
     * @throws IOException if it is not certain that all data was synced; the caller must write the data again before
     *     anything else
     */
    void append(Optional<HardState> hardState, List<LogEntry> entries) throws IOException;

    /**
     * Replaces the log with a snapshot and the entries that follow or overlap it.
     *
     * @param snapshot the snapshot
     * @param hardState the term and vote in force
     * @param retainedEntries the entries to keep
     * @throws IOException if it is not certain that all data was synced; the log before the call stays in force
     */
    void replace(LogSnapshot snapshot, HardState hardState, List<LogEntry> retainedEntries) throws IOException;
}
