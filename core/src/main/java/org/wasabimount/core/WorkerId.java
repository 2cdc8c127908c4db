package org.wasabimount.core;

/**
 * Identifies a worker.
 *
 * @param name the name from the settings or from an announcement
 */
public record WorkerId(String name) implements Comparable<WorkerId> {

    /**
     * Creates the id.
     *
     * @throws IllegalArgumentException if the name is empty
     */
    public WorkerId {
        Validate.notEmpty(name, "name");
    }

    @Override
    public int compareTo(WorkerId other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
