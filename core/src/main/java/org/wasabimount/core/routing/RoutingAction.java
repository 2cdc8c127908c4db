package org.wasabimount.core.routing;

import org.wasabimount.core.BackendServerId;
import org.wasabimount.core.Refusal;

/** What the host does for a request. */
public sealed interface RoutingAction {

    /**
     * Returns the request that the action is for.
     *
     * @return the request
     */
    RoutedRequest request();

    /**
     * Sends the request to a server and reports how that ended.
     *
     * @param request the request
     * @param attempt the attempt's number, unique on this entry VM
     * @param server the server's id
     * @param address the server's host and port
     * @param timeoutMillis after how long the attempt ends as {@link AttemptResult#TIMED_OUT}
     */
    record Dispatch(RoutedRequest request, long attempt, BackendServerId server, String address, long timeoutMillis)
            implements RoutingAction {}

    /**
     * Hands the answer of the attempt that just ended to the caller.
     *
     * @param request the request
     */
    record Deliver(RoutedRequest request) implements RoutingAction {}

    /**
     * Gives the request up.
     *
     * @param request the request
     * @param refusal why, for the caller
     */
    record GiveUp(RoutedRequest request, Refusal refusal) implements RoutingAction {}
}
