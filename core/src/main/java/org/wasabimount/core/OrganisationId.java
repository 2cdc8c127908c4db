package org.wasabimount.core;

/**
 * Identifies an organisation.
 *
 * @param name the name from the settings or from an announcement
 */
public record OrganisationId(String name) implements Comparable<OrganisationId> {

    /**
     * Creates the id.
     *
     * @throws IllegalArgumentException if the name is empty
     */
    public OrganisationId {
        Validate.notEmpty(name, "name");
    }

    @Override
    public int compareTo(OrganisationId other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
