package org.wasabimount.core.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import org.wasabimount.protocol.log.LogEntry;

/**
 * Test oracle of a replicated log: all replicas must apply the same entry at an index, with the same resulting state,
 * and no acknowledged command may be lost or applied twice.
 */
final class Oracle {

    private final Map<Long, LogEntry> entries = new HashMap<>();
    private final Map<Long, String> states = new HashMap<>();
    private final Set<String> acknowledged = new LinkedHashSet<>();

    void applied(LogEntry entry, String state) {
        LogEntry known = entries.putIfAbsent(entry.getIndex(), entry);
        assertTrue(
                known == null || known.equals(entry),
                "replicas applied different entries at index " + entry.getIndex());
        String knownState = states.putIfAbsent(entry.getIndex(), state);
        assertTrue(
                knownState == null || knownState.equals(state),
                "replicas have different states at index " + entry.getIndex());
    }

    void acknowledged(String command) {
        acknowledged.add(command);
    }

    int acknowledgedCount() {
        return acknowledged.size();
    }

    void checkAcknowledgedKept(String state) {
        for (String command : acknowledged) {
            int first = state.indexOf(command);
            assertTrue(first >= 0, "acknowledged command " + command + " is lost");
            assertEquals(state.indexOf(command, first + 1), -1, "command " + command + " was applied twice");
        }
    }
}
