package org.wasabimount.core;

/**
 * Identifies a failure domain.
 *
 * @param name the name given in the settings or announced
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
