package org.wasabimount.core.dispatch;

import java.util.Map;

/**
 * What the advice service answered.
 *
 * @param answered false if no answer came or the service was busy
 * @param tickets the workers that may run the step, with the ticket that a start there carries
 * @param validMillis how long the tickets are valid
 */
public record AdviceResult(boolean answered, Map<String, String> tickets, long validMillis) {

    /** The answer of a call that failed. */
    public static final AdviceResult NONE = new AdviceResult(false, Map.of(), 0);
}
