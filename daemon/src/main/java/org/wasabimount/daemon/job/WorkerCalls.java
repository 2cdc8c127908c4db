package org.wasabimount.daemon.job;

import java.util.concurrent.CompletableFuture;

import org.wasabimount.core.dispatch.DispatchAction;
import org.wasabimount.core.dispatch.LeaseRenewalResult;

/** Calls workers. No call blocks, and no future completes exceptionally. */
public interface WorkerCalls {

    /**
     * Tells a worker to start a run.
     *
     * @param order the order
     * @return what became of it
     */
    CompletableFuture<OrderResult> start(DispatchAction.Start order);

    /**
     * Tells a worker to stop a run.
     *
     * @param order the order
     * @return what became of it
     */
    CompletableFuture<OrderResult> stop(DispatchAction.Stop order);

    /**
     * Renews a worker's lease and asks what it runs.
     *
     * @param order the order
     * @return the worker's lists
     */
    CompletableFuture<LeaseRenewalResult> renewLease(DispatchAction.RenewLease order);
}
