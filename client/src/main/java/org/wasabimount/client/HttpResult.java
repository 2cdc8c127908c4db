package org.wasabimount.client;

/**
 * The end of an exchange.
 *
 * @param outcome how it ended
 * @param answer the answer if the outcome is {@link HttpOutcome#ANSWERED}, else null
 */
public record HttpResult(HttpOutcome outcome, HttpAnswer answer) {

    /**
     * Tells whether an answer with a status came.
     *
     * @param status the HTTP status
     * @return true if it did
     */
    public boolean is(int status) {
        return outcome == HttpOutcome.ANSWERED && answer.status() == status;
    }
}
