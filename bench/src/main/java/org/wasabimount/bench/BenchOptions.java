package org.wasabimount.bench;

import java.util.HashMap;
import java.util.Map;

/**
 * The numeric options given on the command line of an experiment.
 *
 * @param values the options' values by name
 */
public record BenchOptions(Map<String, Long> values) {

    static BenchOptions parse(String[] arguments) {
        Map<String, Long> values = new HashMap<>();
        for (int index = 0; index + 1 < arguments.length; index += 2) {
            values.put(arguments[index].replaceFirst("^--", ""), Long.parseLong(arguments[index + 1]));
        }
        return new BenchOptions(values);
    }

    /**
     * Returns the value of an option.
     *
     * @param name the option's name
     * @param defaultValue the value if the option was not given
     * @return the value
     */
    public long number(String name, long defaultValue) {
        return values.getOrDefault(name, defaultValue);
    }
}
