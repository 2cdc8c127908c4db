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

/** This node's replica of the jobs' group, with the duties that it has while it leads. */
public final class JobGroup {

    /** The group's name. */
    public static final String NAME = "jobs";

    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final GroupThread thread;
    private final JobLeader duties;

    /**
     * What the group needs of its node.
     *
     * @param workers calls workers
     * @param advice has a VM ask the advice service
     * @param advisers names the VMs that can ask now
     * @param network takes messages for other replicas
     * @param fatal told when the log can't be kept any more
     * @param metrics takes what is counted
     * @param clock monotonic time
     * @param wallClock the time of day
     */
    public record Dependencies(
            WorkerCalls workers,
            Consumer<DispatchAction.RequestAdvice> advice,
            Supplier<Collection<String>> advisers,
            Consumer<LogMessage> network,
            Consumer<IOException> fatal,
            NodeMetrics metrics,
            Clock clock,
            Clock wallClock) {}

    /**
     * Recovers the replica.
     *
     * @param replica the replica's settings
     * @param first the state before the first entry
     * @param store the group's log
     * @param node what the group needs of its node
     * @param dispatch the dispatcher's parameters
     * @throws IOException if the log can't be recovered
     */
    public JobGroup(
            ReplicaSettings replica, LogSnapshot first, LogStore store, Dependencies node, DispatchSettings dispatch)
            throws IOException {
        JobStateMachine machine = new JobStateMachine();
        this.thread = new GroupThread(replica, first, store, machine, node.network(), node.fatal(), node.clock());
        this.duties = new JobLeader(thread, machine, dispatch, node);
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
     * Carries out an operation on the group's thread.
     *
     * @param operation the operation
     * @return the reply
     */
    public CompletableFuture<Reply> execute(JobOperation operation) {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        boolean taken = thread.submit(() -> duties.execute(operation).thenAccept(reply::complete));
        if (!taken) {
            reply.complete(Reply.newBuilder()
                    .setResultCode(ResultCode.QUEUE_FULL.number())
                    .setDetail("the leader is overloaded")
                    .setRetryAfterMillis(RETRY_AFTER_MILLIS)
                    .build());
        }
        return reply;
    }

    /**
     * Takes the answer of the advice service.
     *
     * @param ask the number of the call
     * @param answer the answer
     */
    public void advised(long ask, AdviceResult answer) {
        thread.submit(() -> duties.advised(ask, answer));
    }
}
