package org.wasabimount.core.cell;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;

/** The settings of the whole cell, which operators can change while it runs. */
public enum ConfigurationKey {
    /** Maximum number of requests of one organisation that wait on one entry VM. */
    QUEUE_LIMIT("routing.queue-limit", 200, 1, 100_000, "requests"),
    /** Retries that an organisation may add, as a share of its first attempts. */
    RETRY_BUDGET("routing.retry-budget-percent", 10, 0, 100, "percent"),
    /** How long a request may take when its caller sets no deadline. */
    DEFAULT_DEADLINE("routing.default-deadline-millis", 10_000, 10, 600_000, "milliseconds"),
    /** How long a backend server stays registered without being announced again. */
    ANNOUNCEMENT_TERM("routing.announcement-term-millis", 3_000, 500, 3_000, "milliseconds"),
    /** How long a worker keeps running its tasks without a response from the cell. */
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
     * @return the key, or empty if there is none
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
     * Returns the value used where the configuration sets none.
     *
     * @return the default in the key's unit
     */
    public long defaultValue() {
        return defaultValue;
    }

    /**
     * Returns the minimum value.
     *
     * @return the minimum in the key's unit
     */
    public long min() {
        return min;
    }

    /**
     * Returns the maximum value.
     *
     * @return the maximum in the key's unit
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
     * @return a description of the problem, or empty if the value is valid
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
