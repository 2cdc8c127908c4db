package org.wasabimount.core.dispatch;

import java.util.Map;

/**
 * The result of a call to the advice service.
 *
 * @param answered false if no response arrived or the service was busy
 * @param tickets the ids of the workers that may run the step, each with the ticket to send with a start on that worker
 * @param validMillis the validity of the tickets, in milliseconds
 */
public record AdviceResult(boolean answered, Map<String, String> tickets, long validMillis) {

    /** The result of a failed call. */
    public static final AdviceResult NONE = new AdviceResult(false, Map.of(), 0);
}
