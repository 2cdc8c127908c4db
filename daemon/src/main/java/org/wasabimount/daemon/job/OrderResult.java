package org.wasabimount.daemon.job;

import java.util.OptionalLong;

import org.wasabimount.core.dispatch.OrderOutcome;

/**
 * The result of an order to a worker.
 *
 * @param orderOutcome the outcome of the order
 * @param clockMillis the worker's monotonic clock in milliseconds, if the response carried it
 */
public record OrderResult(OrderOutcome orderOutcome, OptionalLong clockMillis) {

    /**
     * Creates the result of a call whose response did not carry the worker's clock.
     *
     * @param orderOutcome the outcome of the order
     * @return the result
     */
    public static OrderResult of(OrderOutcome orderOutcome) {
        return new OrderResult(orderOutcome, OptionalLong.empty());
    }
}
