package org.wasabimount.core;

/**
 * Identifies an entry VM of the system.
 *
 * @param name the name from the settings or from an announcement
 */
public record VmId(String name) implements Comparable<VmId> {

    /**
     * Creates the id.
     *
     * @throws IllegalArgumentException if the name is empty
     */
    public VmId {
        Validate.notEmpty(name, "name");
    }

    @Override
    public int compareTo(VmId other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
