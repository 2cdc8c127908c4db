package org.wasabimount.client;

/**
 * The end of an exchange.
 *
 * @param outcome how it ended
 * @param response the response if the outcome is {@link HttpOutcome#ANSWERED}, else null
 */
public record HttpResult(HttpOutcome outcome, HttpResponse response) {

    /**
     * Tells whether an answer with a status came.
     *
     * @param status the HTTP status
     * @return true if it did
     */
    public boolean hasStatus(int status) {
        return outcome == HttpOutcome.ANSWERED && response.status() == status;
    }
}
