package org.wasabimount.client;

/**
 * The result of an exchange.
 *
 * @param outcome how the exchange ended
 * @param response the response if the outcome is {@link HttpOutcome#ANSWERED}, that to the check if it is
 *     {@link HttpOutcome#CHECK_FAILED}, else null
 */
public record HttpResult(HttpOutcome outcome, HttpResponse response) {

    /**
     * Returns whether a response with this status was received.
     *
     * @param status the HTTP status
     * @return true if one was received
     */
    public boolean hasStatus(int status) {
        return outcome == HttpOutcome.ANSWERED && response.status() == status;
    }
}
