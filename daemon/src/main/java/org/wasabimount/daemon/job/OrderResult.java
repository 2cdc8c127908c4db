package org.wasabimount.daemon.job;

import java.util.OptionalLong;

import org.wasabimount.core.dispatch.OrderOutcome;

/**
 * What a call to a worker brought.
 *
 * @param orderOutcome what became of the order
 * @param clockMillis the worker's steady clock in milliseconds, if the answer told it
 */
public record OrderResult(OrderOutcome orderOutcome, OptionalLong clockMillis) {

    /**
     * Makes the result of a call whose answer told no clock.
     *
     * @param orderOutcome what became of the order
     * @return the result
     */
    public static OrderResult of(OrderOutcome orderOutcome) {
        return new OrderResult(orderOutcome, OptionalLong.empty());
    }
}
