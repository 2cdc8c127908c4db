package org.wasabimount.core.log;

import java.util.List;

import org.wasabimount.protocol.log.HardState;
import org.wasabimount.protocol.log.LogEntry;
import org.wasabimount.protocol.log.LogSnapshot;

/**
 * The persistent state of a replica, as recovered at its start.
 *
 * @param hardState the last term and vote
 * @param snapshot the last snapshot; a new group starts from one at index zero that contains the initial voters
 * @param entries the retained entries; the first ones may precede the snapshot's index
 */
public record PersistedLog(HardState hardState, LogSnapshot snapshot, List<LogEntry> entries) {}
