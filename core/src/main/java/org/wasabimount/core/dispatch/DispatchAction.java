package org.wasabimount.core.dispatch;

import java.util.List;

import org.wasabimount.core.job.RunId;
import org.wasabimount.core.job.StepId;
import org.wasabimount.core.job.WorkerEntry;
import org.wasabimount.protocol.job.JobCommand;

/** An action that the dispatcher requests from its caller. */
public sealed interface DispatchAction {

    /**
     * Appends a command to the replicated log.
     *
     * @param command the command, without its time
     */
    record Propose(JobCommand command) implements DispatchAction {}

    /**
     * Orders a worker to start a run.
     *
     * @param run the run
     * @param worker the worker
     * @param payload the definition of the work that the task runs
     * @param leaseUntilMillis the end of the lease on the worker's clock, in milliseconds
     * @param fence the leader's term
     * @param saved the progress to resume from, empty if there is none
     * @param ticket the ticket of the advice service, empty if there is none
     */
    record Start(
            RunId run,
            WorkerEntry worker,
            String payload,
            long leaseUntilMillis,
            long fence,
            String saved,
            String ticket)
            implements DispatchAction {}

    /**
     * Orders a worker to stop a run.
     *
     * @param run the run
     * @param worker the worker
     * @param fence the leader's term
     */
    record Stop(RunId run, WorkerEntry worker, long fence) implements DispatchAction {}

    /**
     * Orders a worker to let a run work at a share of its speed. The order neither starts nor stops anything.
     *
     * @param run the run
     * @param worker the worker
     * @param percent the share, 0 to 100 percent
     * @param fence the leader's term
     */
    record Pace(RunId run, WorkerEntry worker, int percent, long fence) implements DispatchAction {}

    /**
     * Renews a worker's lease and requests the list of its runs.
     *
     * @param worker the worker
     * @param leaseUntilMillis the end of the lease on the worker's clock, in milliseconds; zero if that clock is not
     *     known yet
     * @param fence the leader's term
     * @param offset the sequence number of the last run end that is acknowledged
     * @param waitMillis how long the worker may wait for a run to end before it responds, in milliseconds
     */
    record RenewLease(WorkerEntry worker, long leaseUntilMillis, long fence, long offset, long waitMillis)
            implements DispatchAction {

        /**
         * Returns whether the call only requests a list, so that any incarnation with the worker's id may receive it.
         *
         * @return true if it neither grants a lease nor acknowledges a run end
         */
        public boolean listsOnly() {
            return leaseUntilMillis == 0 && offset == 0;
        }
    }

    /**
     * Requests a call to the advice service from a VM.
     *
     * @param id the number of the call
     * @param caller the name of the VM that makes the call
     * @param step the step
     * @param workers the ids of the workers to query
     * @param timeoutMillis the timeout of the call, in milliseconds
     */
    record RequestAdvice(long id, String caller, StepId step, List<String> workers, long timeoutMillis)
            implements DispatchAction {}
}
