package org.wasabimount.core;

/**
 * Identifies a failure domain.
 *
 * @param name the name from the settings or from an announcement
 */
public record FailureDomainId(String name) implements Comparable<FailureDomainId> {

    /**
     * Creates the id.
     *
     * @throws IllegalArgumentException if the name is empty
     */
    public FailureDomainId {
        Validate.notEmpty(name, "name");
    }

    @Override
    public int compareTo(FailureDomainId other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
