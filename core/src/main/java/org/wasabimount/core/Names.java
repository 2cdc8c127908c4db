package org.wasabimount.core;

import java.util.regex.Pattern;

/** Decides which names may be given to organisations, resources, workers and servers. */
public final class Names {

    /** The longest name, in characters. */
    public static final int MAX_NAME_LENGTH = 63;

    private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?");

    private Names() {}

    /**
     * Tells whether a name may be used: lower-case letters, digits, dots and hyphens, 63 characters at most.
     *
     * @param name the name, may be null
     * @return true if the name may be used
     */
    public static boolean valid(String name) {
        return name != null && NAME.matcher(name).matches();
    }
}
