package org.wasabimount.daemon.job;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.wasabimount.core.dispatch.AdviceResult;

/** Calls the advice service. */
@FunctionalInterface
public interface AdviceCalls {

    /**
     * Asks which workers may run a step.
     *
     * @param step the step's id as text
     * @param workers the ids of the workers
     * @param timeoutMillis how long to wait
     * @return the answer; never completes exceptionally
     */
    CompletableFuture<AdviceResult> requestAdvice(String step, List<String> workers, long timeoutMillis);
}
