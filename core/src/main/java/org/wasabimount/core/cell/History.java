package org.wasabimount.core.cell;

import java.util.ArrayList;
import java.util.List;

import org.wasabimount.protocol.cell.Resource;

/** A ring buffer of the most recent changes of resources, one for each revision. */
final class History {

    static final int CAPACITY = 8_192;

    private final Resource[] changes = new Resource[CAPACITY];
    private long oldest = 1;
    private long newest;

    /** Adds the change of the next revision. */
    void add(Resource change) {
        newest = change.getRevision();
        changes[slot(newest)] = change;
        oldest = Math.max(oldest, newest - CAPACITY + 1);
    }

    boolean reachesBackTo(long revision) {
        return revision + 1 >= oldest;
    }

    Resource at(long revision) {
        return changes[slot(revision)];
    }

    List<Resource> all() {
        List<Resource> all = new ArrayList<>();
        for (long revision = oldest; revision <= newest; revision++) {
            all.add(at(revision));
        }
        return all;
    }

    long oldest() {
        return oldest;
    }

    void restore(long oldestRevision, long newestRevision, List<Resource> saved) {
        oldest = oldestRevision;
        newest = newestRevision;
        saved.forEach(change -> changes[slot(change.getRevision())] = change);
    }

    private static int slot(long revision) {
        return (int) (revision % CAPACITY);
    }
}
