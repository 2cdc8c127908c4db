package org.wasabimount.core.quota;

import org.wasabimount.core.cell.Capacity;

/** What a waiting step takes from its organisation's quota. */
public interface QuotaDemand {

    /**
     * Returns the organisation.
     *
     * @return its name, empty if the step belongs to none and has no quota
     */
    String organisation();

    /**
     * Returns the least capacity that the step can start with; it stays the same while the step waits.
     *
     * @return the size of a task, or of all tasks of a gang
     */
    Capacity unit();

    /**
     * Returns how many times the step could take its {@link #unit}.
     *
     * @return the number of waiting tasks, 1 for a gang
     */
    int units();
}
