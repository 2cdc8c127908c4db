package org.wasabimount.daemon.job;

import java.util.concurrent.CompletableFuture;

import org.wasabimount.core.dispatch.DispatchAction;
import org.wasabimount.core.dispatch.LeaseRenewalResult;

/** Calls to workers. No call blocks, and no returned future completes exceptionally. */
public interface WorkerCalls {

    /**
     * Orders a worker to start a run.
     *
     * <p>The order must reach the incarnation that it names or none: a later one has the same id, and would hold the run to a
     * lease that was granted on another clock. It may be sent only over a connection on which that incarnation has responded.
     *
     * @param order the order
     * @return the outcome of the call
     */
    CompletableFuture<OrderResult> start(DispatchAction.Start order);

    /**
     * Orders a worker to stop a run.
     *
     * @param order the order
     * @return the outcome of the call
     */
    CompletableFuture<OrderResult> stop(DispatchAction.Stop order);

    /**
     * Orders a worker to let a run work at a share of its speed.
     *
     * @param order the order
     * @return the outcome of the call
     */
    CompletableFuture<OrderResult> pace(DispatchAction.Pace order);

    /**
     * Renews a worker's lease and requests the list of its runs.
     *
     * <p>As a start, a call that grants a lease or acknowledges run ends must reach the incarnation that it names or none. If a
     * later one responds instead, the result is that one's list.
     *
     * @param order the order
     * @return the worker's active runs and run ends, or the reason why there are none
     */
    CompletableFuture<LeaseRenewalResult> renewLease(DispatchAction.RenewLease order);
}
