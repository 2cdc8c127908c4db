package org.wasabimount.daemon.job;

import java.util.Optional;
import java.util.function.Supplier;

import org.wasabimount.core.Refusal;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.job.Job;
import org.wasabimount.core.job.JobTable;
import org.wasabimount.protocol.job.JobQuery;
import org.wasabimount.protocol.job.Queue;
import org.wasabimount.protocol.job.QueueAddress;

import com.google.protobuf.ByteString;

import io.vavr.control.Either;

/**
 * Decides for which organisation an operation is carried out, and which jobs it may see.
 *
 * <p>The answer is taken from the table that the leader holds at that moment: a secret that the newest table lacks is
 * refused, whichever node has passed the operation on, and however long it was on its way.
 */
final class CallerCheck {

    private final Supplier<JobTable> table;

    /**
     * The organisation for which an operation is carried out.
     *
     * @param queue the queue at the operation's address, or that of its job if there is none any more
     * @param organisation the organisation's name, empty if the queue requires no secret
     */
    record Caller(Queue queue, String organisation) {

        /** Returns whether the caller may see and cancel a job: its own, and at an open queue every one. */
        boolean mayAccess(Job job) {
            return !queue.getSecretRequired()
                    || job.organisation().isEmpty()
                    || job.organisation().equals(organisation);
        }

        /** Returns whether another submission comes from the same organisation to the same queue. */
        boolean sameAs(Caller other) {
            return queue.getName().equals(other.queue.getName()) && organisation.equals(other.organisation);
        }
    }

    CallerCheck(Supplier<JobTable> table) {
        this.table = table;
    }

    /** Returns the caller of an operation on a queue, or the refusal if there is no such queue or the secret is unknown. */
    Either<Refusal, Caller> callerAt(QueueAddress at, ByteString secretHash) {
        return caller(at, queueAt(at), secretHash);
    }

    /**
     * Returns the caller of an operation on a job. A job outlives its queue: it can be queried where it was submitted, also
     * when the queue is no longer there.
     */
    Either<Refusal, Caller> callerFor(JobQuery query, ByteString secretHash) {
        Optional<Queue> queue = queueAt(query.getAt())
                .or(() -> table.get()
                        .job(query.getJob())
                        .filter(job -> submittedAt(job, query.getAt()))
                        .map(Job::queue));
        return caller(query.getAt(), queue, secretHash);
    }

    /** Returns the job that a query is for, empty if there is none or the caller may not see it. */
    Optional<Job> job(JobQuery query, Caller caller) {
        return table.get().job(query.getJob()).filter(job -> submittedAt(job, query.getAt()) && caller.mayAccess(job));
    }

    /** Returns whether a request is for a job: the queue that accepted the job serves the request's address. */
    static boolean submittedAt(Job job, QueueAddress at) {
        return job.queue().getHost().equals(at.getHost())
                && at.getPath().startsWith(job.queue().getPathPrefix());
    }

    private Either<Refusal, Caller> caller(QueueAddress at, Optional<Queue> queue, ByteString secretHash) {
        if (queue.isEmpty()) {
            return Either.left(noQueue(at));
        }
        if (!queue.get().getSecretRequired()) {
            return Either.right(new Caller(queue.get(), ""));
        }
        return table.get()
                .organisations()
                .bySecret(secretHash)
                .<Either<Refusal, Caller>>map(account ->
                        Either.right(new Caller(queue.get(), account.id().name())))
                .orElseGet(() -> Either.left(
                        Refusal.of(ResultCode.UNAUTHENTICATED, "the secret is missing or belongs to no organisation")));
    }

    private Optional<Queue> queueAt(QueueAddress at) {
        return table.get().queueAt(at.getHost(), at.getPath());
    }

    private Refusal noQueue(QueueAddress at) {
        return table.get().queues().getVersion() == 0
                ? Refusal.of(ResultCode.NOT_READY, "no queues were put yet")
                : Refusal.of(
                        ResultCode.NO_SUCH_ROUTE,
                        "there is no queue at host " + at.getHost() + ", path " + at.getPath());
    }
}
