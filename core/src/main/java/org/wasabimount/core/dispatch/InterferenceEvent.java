package org.wasabimount.core.dispatch;

import java.util.Locale;

/** A decision about tasks that slow each other. */
public enum InterferenceEvent {
    /** Tasks of one kind are known to be slowed by another from now on, and are kept apart where there is room. */
    PAIR_LEARNT,
    /** The evidence for a pair has become too weak or too old. */
    PAIR_FORGOTTEN,
    /** A task was placed beside a kind that slows it, or that it slows, because no better worker had room. */
    PLACED_TOGETHER,
    /** The fillers of a worker were slowed, because a task beside them misses its target or is close to it. */
    PACED_DOWN,
    /** The fillers of a worker were let up, because all tasks beside them meet their targets with margin. */
    PACED_UP;

    /**
     * Returns the event's name in metrics.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
