package org.wasabimount.core.dispatch;

import org.wasabimount.core.job.StepId;

/**
 * A call to the advice service that was answered, failed or became overdue.
 *
 * @param step the step
 * @param caller the name of the VM that made the call
 * @param workerCount the number of workers named in the call
 * @param outcome the outcome of the call
 * @param status the HTTP status of the service's response, zero if there was none
 * @param tookMillis the time since the call was requested, in milliseconds
 */
public record CompletedAdviceCall(
        StepId step, String caller, int workerCount, AdviceOutcome outcome, int status, long tookMillis) {}
