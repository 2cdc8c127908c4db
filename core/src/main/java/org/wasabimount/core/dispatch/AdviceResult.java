package org.wasabimount.core.dispatch;

import java.util.Map;

/**
 * The result of a call to the advice service.
 *
 * @param outcome the outcome of the call
 * @param status the HTTP status of the service's response, zero if there was none
 * @param tickets the ids of the workers that may run the step, each with the ticket to send with a start on that worker
 * @param validMillis the validity of the tickets, in milliseconds
 */
public record AdviceResult(AdviceOutcome outcome, int status, Map<String, String> tickets, long validMillis) {

    private static final int OK_STATUS = 200;

    /**
     * Creates the result of a call that returned advice.
     *
     * @param tickets the ids of the workers that may run the step, each with its ticket
     * @param validMillis the validity of the tickets, in milliseconds
     * @return the result
     */
    public static AdviceResult answered(Map<String, String> tickets, long validMillis) {
        return new AdviceResult(AdviceOutcome.ANSWERED, OK_STATUS, tickets, validMillis);
    }

    /**
     * Creates the result of a call that returned no advice and no response.
     *
     * @param outcome the outcome of the call
     * @return the result, without tickets
     */
    public static AdviceResult failed(AdviceOutcome outcome) {
        return failed(outcome, 0);
    }

    /**
     * Creates the result of a call that returned no advice.
     *
     * @param outcome the outcome of the call
     * @param status the HTTP status of the service's response, zero if there was none
     * @return the result, without tickets
     */
    public static AdviceResult failed(AdviceOutcome outcome, int status) {
        return new AdviceResult(outcome, status, Map.of(), 0);
    }

    /**
     * Returns whether the call returned advice.
     *
     * @return false for every failure
     */
    public boolean answered() {
        return outcome.answered();
    }
}
