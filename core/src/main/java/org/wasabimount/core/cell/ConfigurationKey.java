package org.wasabimount.core.cell;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;

/** The settings of the whole cell, which operators change while it runs. */
public enum ConfigurationKey {
    /** Most requests of one organisation that wait on one entry VM. */
    QUEUE_LIMIT("routing.queue-limit", 200, 1, 100_000, "requests"),
    /** Share of an organisation's first tries that it may add as retries. */
    RETRY_BUDGET("routing.retry-budget-percent", 10, 0, 100, "percent"),
    /** How long a request may take when its caller names no deadline. */
    DEFAULT_DEADLINE("routing.default-deadline-millis", 10_000, 10, 600_000, "milliseconds"),
    /** How long a backend server is known without being announced again. */
    ANNOUNCEMENT_TERM("routing.announcement-term-millis", 3_000, 500, 3_000, "milliseconds"),
    /** How long a worker runs its tasks without hearing from the cell. */
    WORKER_LEASE("placement.worker-lease-millis", 6_000, 1_000, 60_000, "milliseconds");

    private final String text;
    private final long defaultValue;
    private final long min;
    private final long max;
    private final String unit;

    ConfigurationKey(String text, long defaultValue, long min, long max, String unit) {
        this.text = text;
        this.defaultValue = defaultValue;
        this.min = min;
        this.max = max;
        this.unit = unit;
    }

    /**
     * Returns the key with a text.
     *
     * @param text the key's text
     * @return the key, or nothing if there is none
     */
    public static Optional<ConfigurationKey> of(String text) {
        return Arrays.stream(values()).filter(key -> key.text.equals(text)).findFirst();
    }

    /**
     * Returns the key as operators write it.
     *
     * @return the text
     */
    public String text() {
        return text;
    }

    /**
     * Returns the value used where the configuration names none.
     *
     * @return the default in the key's unit
     */
    public long defaultValue() {
        return defaultValue;
    }

    /**
     * Returns the least value.
     *
     * @return the least value in the key's unit
     */
    public long min() {
        return min;
    }

    /**
     * Returns the greatest value.
     *
     * @return the greatest value in the key's unit
     */
    public long max() {
        return max;
    }

    /**
     * Returns the unit.
     *
     * @return the unit's name
     */
    public String unit() {
        return unit;
    }

    /**
     * Reads the key's value.
     *
     * @param values the configuration's values, already checked
     * @return the value, or the default if it is missing
     */
    public long read(Map<String, String> values) {
        String value = values.get(text);
        return value == null ? defaultValue : Long.parseLong(value);
    }

    /**
     * Checks a value as an operator wrote it.
     *
     * @param value the value
     * @return what is wrong, or nothing
     */
    public Optional<String> check(String value) {
        try {
            long number = Long.parseLong(value);
            return number >= min && number <= max
                    ? Optional.empty()
                    : Optional.of(text + " must be from " + min + " to " + max + " " + unit + ", not " + number);
        } catch (NumberFormatException e) {
            return Optional.of(text + " must be a whole number of " + unit + ", not \"" + value + "\"");
        }
    }
}
