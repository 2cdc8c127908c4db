package org.wasabimount.daemon.log;

import java.util.List;
import java.util.Optional;

import org.wasabimount.core.log.PersistedLog;
import org.wasabimount.protocol.log.HardState;
import org.wasabimount.protocol.log.LogEntry;
import org.wasabimount.protocol.log.LogSnapshot;

/** Stores nothing: for a VM without a disk, whose replica is always a learner and never votes. */
public final class MemoryLogStore implements LogStore {

    @Override
    public PersistedLog recover(LogSnapshot initialState) {
        return new PersistedLog(HardState.getDefaultInstance(), initialState, List.of());
    }

    @Override
    public void append(Optional<HardState> hardState, List<LogEntry> entries) {
        // Nothing to store: a learner that restarts receives the whole log again.
    }

    @Override
    public void replace(LogSnapshot snapshot, HardState hardState, List<LogEntry> retainedEntries) {
        // Nothing to store: a learner that restarts receives the whole log again.
    }
}
