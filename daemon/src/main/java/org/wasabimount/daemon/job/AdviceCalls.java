package org.wasabimount.daemon.job;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.wasabimount.core.dispatch.AdviceResult;

/** Calls the advice service. */
@FunctionalInterface
public interface AdviceCalls {

    /**
     * Requests the workers that may run a step.
     *
     * @param step the step's id as text
     * @param workers the ids of the workers to query
     * @param timeoutMillis the timeout of the call, in milliseconds
     * @return the result; the future never completes exceptionally
     */
    CompletableFuture<AdviceResult> requestAdvice(String step, List<String> workers, long timeoutMillis);
}
