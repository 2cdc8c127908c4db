package org.wasabimount.core;

/**
 * Identifies a backend server.
 *
 * @param name the name from the settings or from an announcement
 */
public record BackendServerId(String name) implements Comparable<BackendServerId> {

    /**
     * Creates the id.
     *
     * @throws IllegalArgumentException if the name is empty
     */
    public BackendServerId {
        Validate.notEmpty(name, "name");
    }

    @Override
    public int compareTo(BackendServerId other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
