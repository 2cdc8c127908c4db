package org.wasabimount.core.dispatch;

import java.util.List;

import org.wasabimount.core.job.RunId;
import org.wasabimount.core.job.StepId;
import org.wasabimount.core.job.WorkerEntry;
import org.wasabimount.protocol.job.JobCommand;

/** Something that the dispatcher wants done. */
public sealed interface DispatchAction {

    /**
     * Append a command to the log.
     *
     * @param command the command, without its time
     */
    record Propose(JobCommand command) implements DispatchAction {}

    /**
     * Tell a worker to start a run.
     *
     * @param run the run
     * @param worker the worker
     * @param payload what the task runs
     * @param leaseUntilMillis the end of the lease on the worker's clock
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
     * Tell a worker to stop a run.
     *
     * @param run the run
     * @param worker the worker
     * @param fence the leader's term
     */
    record Stop(RunId run, WorkerEntry worker, long fence) implements DispatchAction {}

    /**
     * Renew a worker's lease and ask what it runs.
     *
     * @param worker the worker
     * @param leaseUntilMillis the end of the lease on the worker's clock, zero if that clock is not known yet
     * @param fence the leader's term
     * @param offset the last end that was taken note of
     * @param waitMillis how long the worker may wait for an end before it answers
     */
    record RenewLease(WorkerEntry worker, long leaseUntilMillis, long fence, long offset, long waitMillis)
            implements DispatchAction {}

    /**
     * Have a VM call the advice service.
     *
     * @param id the number of the call
     * @param caller the VM that calls
     * @param step the step
     * @param workers the ids of the workers to ask about
     * @param timeoutMillis how long to wait
     */
    record RequestAdvice(long id, String caller, StepId step, List<String> workers, long timeoutMillis)
            implements DispatchAction {}
}
