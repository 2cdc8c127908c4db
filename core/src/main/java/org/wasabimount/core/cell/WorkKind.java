package org.wasabimount.core.cell;

import java.util.Arrays;
import java.util.Optional;

import org.wasabimount.protocol.cell.ResourceKind;

/** The kinds of work, each with how it reacts when one of its tasks ends. */
public enum WorkKind {
    /** Tasks that run until they are deleted; a task that ends is started again. */
    SERVICE("services", ResourceKind.SERVICE, true, false),
    /** Tasks that run once each, in any order. */
    BATCH("batches", ResourceKind.BATCH, false, false),
    /** Tasks that start together or not at all, and restart together. */
    JOB("jobs", ResourceKind.JOB, false, true);

    private final String segment;
    private final ResourceKind messageKind;
    private final boolean runsForever;
    private final boolean allAtOnce;

    WorkKind(String segment, ResourceKind messageKind, boolean runsForever, boolean allAtOnce) {
        this.segment = segment;
        this.messageKind = messageKind;
        this.runsForever = runsForever;
        this.allAtOnce = allAtOnce;
    }

    /**
     * Returns the kind for a message's kind.
     *
     * @param kind the message's kind
     * @return the kind
     */
    public static WorkKind of(ResourceKind kind) {
        return valueOf(kind.name());
    }

    /**
     * Returns the kind for a segment of a path.
     *
     * @param segment the segment, for example {@code services}
     * @return the kind, or empty if there is none
     */
    public static Optional<WorkKind> ofSegment(String segment) {
        return Arrays.stream(values())
                .filter(kind -> kind.segment.equals(segment))
                .findFirst();
    }

    /**
     * Returns the kind's segment in paths.
     *
     * @return the plural name
     */
    public String segment() {
        return segment;
    }

    /**
     * Returns the kind used in messages.
     *
     * @return the message's kind
     */
    public ResourceKind messageKind() {
        return messageKind;
    }

    /**
     * Returns whether a task that ends is started again without limit.
     *
     * @return true for services
     */
    public boolean runsForever() {
        return runsForever;
    }

    /**
     * Returns whether all tasks start and restart together.
     *
     * @return true for all-at-once jobs
     */
    public boolean allAtOnce() {
        return allAtOnce;
    }
}
