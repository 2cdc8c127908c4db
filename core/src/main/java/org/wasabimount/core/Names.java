package org.wasabimount.core;

import java.util.regex.Pattern;

/** Validates the names of organisations, resources, workers and servers. */
public final class Names {

    /** Maximum length of a name in characters. */
    public static final int MAX_NAME_LENGTH = 63;

    private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?");

    private Names() {}

    /**
     * Returns whether a name is valid: it consists of at most 63 lower-case letters, digits, dots and hyphens, and
     * begins and ends with a letter or digit.
     *
     * @param name the name, may be null
     * @return true if the name is valid
     */
    public static boolean valid(String name) {
        return name != null && NAME.matcher(name).matches();
    }
}
