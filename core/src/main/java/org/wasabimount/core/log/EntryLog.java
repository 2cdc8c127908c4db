package org.wasabimount.core.log;

import java.util.ArrayList;
import java.util.List;

import org.wasabimount.protocol.log.LogEntry;

/** The log entries that a replica keeps in memory: all that follow the compacted prefix. */
final class EntryLog {

    private final List<LogEntry> entries = new ArrayList<>();
    private long baseIndex;
    private long baseTerm;

    EntryLog(long baseIndex, long baseTerm, List<LogEntry> tail) {
        this.baseIndex = baseIndex;
        this.baseTerm = baseTerm;
        this.entries.addAll(tail);
    }

    /** Returns the last index of the compacted prefix. */
    long baseIndex() {
        return baseIndex;
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return term(lastIndex());
    }

    boolean holds(long index) {
        return index >= baseIndex && index <= lastIndex();
    }

    /** Returns the term at an index, or -1 if the index is before the base index or after the last index. */
    long term(long index) {
        if (index == baseIndex) {
            return baseTerm;
        }
        return holds(index) ? entry(index).getTerm() : -1;
    }

    LogEntry entry(long index) {
        return entries.get(Math.toIntExact(index - baseIndex - 1));
    }

    /** Returns a copy of the entries from one index to another, both inclusive. */
    List<LogEntry> slice(long fromIndex, long toIndex) {
        if (fromIndex > toIndex) {
            return List.of();
        }
        return List.copyOf(
                entries.subList(Math.toIntExact(fromIndex - baseIndex - 1), Math.toIntExact(toIndex - baseIndex)));
    }

    /** Returns entries from an index on, limited by count and by size in bytes, but at least one if there is any. */
    List<LogEntry> slice(long fromIndex, int maxEntries, long maxBytes) {
        List<LogEntry> result = new ArrayList<>();
        long bytes = 0;
        for (long index = fromIndex; index <= lastIndex() && result.size() < maxEntries; index++) {
            LogEntry entry = entry(index);
            bytes += entry.getSerializedSize();
            if (bytes > maxBytes && !result.isEmpty()) {
                break;
            }
            result.add(entry);
        }
        return result;
    }

    /** Returns the index before the longest run of entries up to an index that is within a count and a size in bytes. */
    long indexBefore(long toIndex, long maxEntries, long maxBytes) {
        long index = toIndex;
        long bytes = 0;
        while (index > baseIndex && toIndex - index < maxEntries) {
            bytes += entry(index).getSerializedSize();
            if (bytes > maxBytes) {
                break;
            }
            index--;
        }
        return index;
    }

    void append(LogEntry entry) {
        entries.add(entry);
    }

    void truncateFrom(long index) {
        entries.subList(Math.toIntExact(index - baseIndex - 1), entries.size()).clear();
    }

    /** Discards the entries up to and including an index, which must not be after the end of the log. */
    void compactTo(long index) {
        if (index <= baseIndex) {
            return;
        }
        long term = term(index);
        entries.subList(0, Math.toIntExact(index - baseIndex)).clear();
        baseIndex = index;
        baseTerm = term;
    }

    void resetTo(long index, long term) {
        entries.clear();
        baseIndex = index;
        baseTerm = term;
    }
}
