package org.wasabimount.core.routing;

import org.wasabimount.core.BackendServerId;
import org.wasabimount.core.Refusal;

/** An action that the code driving the router must carry out for a request. */
public sealed interface RoutingAction {

    /**
     * Returns the request that the action applies to.
     *
     * @return the request
     */
    RoutedRequest request();

    /**
     * Sends the request to a server and reports the result to {@link RequestRouter#attemptFinished}.
     *
     * @param request the request
     * @param attempt the attempt's number, unique on this entry VM
     * @param server the server's id
     * @param address the server's host and port
     * @param timeoutMillis time in milliseconds after which the attempt ends as {@link AttemptResult#TIMED_OUT}
     */
    record Dispatch(RoutedRequest request, long attempt, BackendServerId server, String address, long timeoutMillis)
            implements RoutingAction {}

    /**
     * Returns the response of the attempt that has just ended to the caller.
     *
     * @param request the request
     */
    record Deliver(RoutedRequest request) implements RoutingAction {}

    /**
     * Ends the request without a response.
     *
     * @param request the request
     * @param refusal the reason to report to the caller
     */
    record GiveUp(RoutedRequest request, Refusal refusal) implements RoutingAction {}
}
