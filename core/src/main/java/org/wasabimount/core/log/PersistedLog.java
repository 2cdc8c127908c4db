package org.wasabimount.core.log;

import java.util.List;

import org.wasabimount.protocol.log.HardState;
import org.wasabimount.protocol.log.LogEntry;
import org.wasabimount.protocol.log.LogSnapshot;

/**
 * What a replica had synced before it started.
 *
 * @param hardState the last term and vote
 * @param snapshot the last snapshot; a new group starts from one with index zero that names the first voters
 * @param entries the entries held, which may begin before the snapshot's index
 */
public record PersistedLog(HardState hardState, LogSnapshot snapshot, List<LogEntry> entries) {}
