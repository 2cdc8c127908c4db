package org.wasabimount.core;

/** Checks arguments; the message of the exception contains the name of the invalid argument. */
public final class Validate {

    private Validate() {}

    /**
     * Checks that an argument is present.
     *
     * @param value the argument
     * @param name the argument's name
     * @param <T> the argument's type
     * @return the argument
     * @throws IllegalArgumentException if it is null
     */
    public static <T> T notNull(T value, String name) {
        if (value == null) {
            throw new IllegalArgumentException("argument \"" + name + "\" must not be null");
        }
        return value;
    }

    /**
     * Checks that a string argument is present and not empty.
     *
     * @param value the argument
     * @param name the argument's name
     * @return the argument
     * @throws IllegalArgumentException if it is null or empty
     */
    public static String notEmpty(String value, String name) {
        if (notNull(value, name).isEmpty()) {
            throw new IllegalArgumentException("argument \"" + name + "\" must not be empty");
        }
        return value;
    }

    /**
     * Checks that a number is greater than zero.
     *
     * @param value the argument
     * @param name the argument's name
     * @return the argument
     * @throws IllegalArgumentException if it is zero or less
     */
    public static long positive(long value, String name) {
        if (value <= 0) {
            throw new IllegalArgumentException("argument \"" + name + "\" must be greater than 0, not " + value);
        }
        return value;
    }
}
