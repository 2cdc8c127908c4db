package org.wasabimount.daemon.job;

import java.io.IOException;
import java.util.Collection;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.wasabimount.core.Clock;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.dispatch.AdviceResult;
import org.wasabimount.core.dispatch.DispatchAction;
import org.wasabimount.core.dispatch.DispatchSettings;
import org.wasabimount.core.log.ReplicaSettings;
import org.wasabimount.daemon.log.GroupThread;
import org.wasabimount.daemon.log.LogStore;
import org.wasabimount.daemon.metrics.NodeMetrics;
import org.wasabimount.protocol.cell.Reply;
import org.wasabimount.protocol.job.JobOperation;
import org.wasabimount.protocol.log.LogMessage;
import org.wasabimount.protocol.log.LogSnapshot;

/** This node's replica of the jobs' group, and the operations that it serves while it leads. */
public final class JobGroup {

    private static final System.Logger LOG = System.getLogger("wasabimount.job");

    /** The group's name. */
    public static final String NAME = "jobs";

    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final GroupThread thread;
    private final JobLeader jobLeader;

    /**
     * The services of the node that the group uses.
     *
     * @param workers the calls to workers
     * @param advice sends a call to the advice service from the VM that the action names
     * @param adviceCallers supplies the names of the VMs that can currently call the advice service
     * @param network sends messages to other replicas
     * @param fatal called when the log can no longer be written
     * @param metrics the node's metrics
     * @param clock the monotonic clock
     * @param wallClock the wall clock
     */
    public record Dependencies(
            WorkerCalls workers,
            Consumer<DispatchAction.RequestAdvice> advice,
            Supplier<Collection<String>> adviceCallers,
            Consumer<LogMessage> network,
            Consumer<IOException> fatal,
            NodeMetrics metrics,
            Clock clock,
            Clock wallClock) {}

    /**
     * Recovers the replica.
     *
     * @param replica the replica's settings
     * @param initialState the state before the first log entry
     * @param store the group's log
     * @param dependencies the services of the node that the group uses
     * @param dispatch the dispatcher's parameters
     * @throws IOException if the log cannot be recovered
     */
    public JobGroup(
            ReplicaSettings replica,
            LogSnapshot initialState,
            LogStore store,
            Dependencies dependencies,
            DispatchSettings dispatch)
            throws IOException {
        JobStateMachine stateMachine = new JobStateMachine();
        this.thread = new GroupThread(
                replica,
                initialState,
                store,
                stateMachine,
                dependencies.network(),
                dependencies.fatal(),
                dependencies.clock());
        this.jobLeader = new JobLeader(thread, stateMachine, dispatch, dependencies);
    }

    /**
     * Returns the thread that drives the replica.
     *
     * @return the thread
     */
    public GroupThread thread() {
        return thread;
    }

    /**
     * Executes an operation on the group's thread.
     *
     * @param operation the operation
     * @return the reply
     */
    public CompletableFuture<Reply> execute(JobOperation operation) {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        boolean submitted = thread.submit(() -> executeNow(operation).thenAccept(reply::complete));
        if (!submitted) {
            reply.complete(Reply.newBuilder()
                    .setResultCode(ResultCode.QUEUE_FULL.number())
                    .setDetail("the leader is overloaded")
                    .setRetryAfterMillis(RETRY_AFTER_MILLIS)
                    .build());
        }
        return reply;
    }

    /** Executes an operation; an unexpected error fails the operation, not the group. */
    private CompletableFuture<Reply> executeNow(JobOperation operation) {
        try {
            return jobLeader.execute(operation);
        } catch (RuntimeException e) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "JOB operation " + operation.getBodyCase() + " of request " + operation.getRequest() + " failed",
                    e);
            return CompletableFuture.completedFuture(Reply.newBuilder()
                    .setResultCode(ResultCode.INTERNAL.number())
                    .setDetail("the operation failed unexpectedly")
                    .build());
        }
    }

    /**
     * Receives the result of an advice call.
     *
     * @param callId the number of the call
     * @param result the result
     */
    public void advised(long callId, AdviceResult result) {
        thread.submit(() -> jobLeader.advised(callId, result));
    }
}
