package org.wasabimount.daemon.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;

import org.wasabimount.core.Clock;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.VmId;
import org.wasabimount.core.log.ReplicaIdentity;
import org.wasabimount.protocol.cell.Operation;
import org.wasabimount.protocol.cell.Reply;
import org.wasabimount.protocol.peer.Envelope;
import org.wasabimount.protocol.peer.OperationReply;
import org.wasabimount.protocol.peer.OperationRequest;

/**
 * Executes operations at the leader of their group, whether it is in this process or on another VM.
 *
 * <p>Every operation may be sent more than once, because writes carry a request id or an attempt id that makes them
 * idempotent.
 */
public final class OperationGateway {

    private static final long RETRY_DELAY_MILLIS = 40;
    private static final long ATTEMPT_TIMEOUT_MILLIS = 1_500;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final PeerNetwork network;
    private final Function<Operation, Optional<CompletableFuture<Reply>>> executeLocally;
    private final Function<String, String> knownLeader;
    private final Function<String, List<VmId>> voters;
    private final Predicate<VmId> recentlySeen;
    private final ScheduledExecutorService timers;
    private final Clock clock;
    private final Map<Long, Forwarded> pendingForwards = new ConcurrentHashMap<>();
    private final Map<String, VmId> leaderHints = new ConcurrentHashMap<>();
    private final AtomicLong nextId = new AtomicLong();

    private volatile Consumer<ResultCode> retryListener = reason -> {};

    private record Forwarded(VmId to, CompletableFuture<Reply> reply) {}

    /**
     * Creates a gateway.
     *
     * @param network the network that connects this daemon to the others
     * @param executeLocally executes an operation at the local replica of its group; returns an empty result if this
     *     process hosts no replica of the group
     * @param knownLeader returns the identity of a group's leader as known to the local replica, or an empty string
     * @param voters returns the VMs that may lead a group
     * @param recentlySeen returns whether a message from a VM was received within the last seconds; operations are
     *     forwarded to such VMs only, so that a network partition leads to a refusal instead of an unknown outcome
     * @param timers schedules retries and timeouts; should remove cancelled tasks, as a timeout is cancelled for each
     *     reply
     * @param clock the monotonic clock
     */
    public OperationGateway(
            PeerNetwork network,
            Function<Operation, Optional<CompletableFuture<Reply>>> executeLocally,
            Function<String, String> knownLeader,
            Function<String, List<VmId>> voters,
            Predicate<VmId> recentlySeen,
            ScheduledExecutorService timers,
            Clock clock) {
        this.network = network;
        this.executeLocally = executeLocally;
        this.knownLeader = knownLeader;
        this.voters = voters;
        this.recentlySeen = recentlySeen;
        this.timers = timers;
        this.clock = clock;
    }

    /**
     * Creates a timer thread that forgets cancelled tasks at once: they neither wake it nor keep their operations in
     * memory.
     *
     * @return the timers
     */
    public static ScheduledExecutorService newTimers() {
        ScheduledThreadPoolExecutor timers = new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "timer"));
        timers.setRemoveOnCancelPolicy(true);
        return timers;
    }

    /**
     * Sets the listener that is called before each retry.
     *
     * @param listener receives the result code of the attempt that failed
     */
    public void setRetryListener(Consumer<ResultCode> listener) {
        retryListener = listener;
    }

    /**
     * Executes an operation, with retries until a leader replies or the timeout has passed.
     *
     * @param operation the operation
     * @param timeoutMillis the timeout for all attempts together, in milliseconds
     * @return a future that completes with the leader's reply or with a refusal, never exceptionally
     */
    public CompletableFuture<Reply> execute(Operation operation, long timeoutMillis) {
        Call call = new Call(operation, clock.millis() + timeoutMillis);
        call.attempt();
        return call.result;
    }

    /**
     * Handles an operation that another daemon forwarded, and sends the reply back.
     *
     * @param from the VM that forwarded it
     * @param request the operation
     */
    public void receive(VmId from, OperationRequest request) {
        executeLocally
                .apply(request.getOperation())
                .orElseGet(() -> CompletableFuture.completedFuture(refusal(ResultCode.NOT_LEADER, "")))
                .thenAccept(reply -> network.send(
                        from,
                        Envelope.newBuilder()
                                .setReply(OperationReply.newBuilder()
                                        .setId(request.getId())
                                        .setReply(reply))));
    }

    /**
     * Handles the reply to a forwarded operation; a reply that arrives after the timeout is dropped.
     *
     * @param reply the reply
     */
    public void receive(OperationReply reply) {
        Forwarded pending = pendingForwards.remove(reply.getId());
        if (pending != null) {
            pending.reply.complete(reply.getReply());
        }
    }

    /**
     * Called when the leader changes: operations that wait for a reply of any other VM are retried at once.
     *
     * @param leader the VM that leads now
     */
    public void leaderChanged(VmId leader) {
        pendingForwards.forEach((id, forwarded) -> {
            if (!forwarded.to.equals(leader) && pendingForwards.remove(id, forwarded)) {
                forwarded.reply.complete(refusal(ResultCode.COMMIT_UNKNOWN, "another VM has become the leader"));
            }
        });
    }

    private CompletableFuture<Reply> forward(VmId to, Operation operation, long timeoutMillis) {
        long id = nextId.incrementAndGet();
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        pendingForwards.put(id, new Forwarded(to, reply));
        OperationRequest request = OperationRequest.newBuilder()
                .setId(id)
                .setOperation(operation)
                .setTimeoutMillis(timeoutMillis)
                .build();
        boolean sent = network.send(to, Envelope.newBuilder().setRequest(request));
        if (!sent) {
            pendingForwards.remove(id);
            reply.complete(refusal(ResultCode.NOT_LEADER, ""));
            return reply;
        }
        ScheduledFuture<?> timeout = timers.schedule(
                () -> {
                    pendingForwards.remove(id);
                    reply.complete(refusal(ResultCode.COMMIT_UNKNOWN, "the leader did not reply"));
                },
                timeoutMillis,
                TimeUnit.MILLISECONDS);
        reply.whenComplete((done, failure) -> timeout.cancel(false));
        return reply;
    }

    private static Reply refusal(ResultCode code, String detail) {
        return Reply.newBuilder()
                .setResultCode(code.number())
                .setDetail(detail)
                .setRetryAfterMillis(RETRY_AFTER_MILLIS)
                .build();
    }

    /** One operation with all of its attempts. */
    private final class Call {

        private final Operation operation;
        private final String group;
        private final long deadlineMillis;
        private final CompletableFuture<Reply> result = new CompletableFuture<>();
        private boolean mayHaveRun;
        private int attempts;

        Call(Operation operation, long deadlineMillis) {
            this.operation = operation;
            this.group = operation.getGroup();
            this.deadlineMillis = deadlineMillis;
        }

        void attempt() {
            attempts++;
            Optional<CompletableFuture<Reply>> localReply = executeLocally.apply(operation);
            if (localReply.isPresent()) {
                localReply.get().thenAccept(this::handleLocalReply);
            } else {
                forwardToLeader("");
            }
        }

        private void handleLocalReply(Reply reply) {
            if (reply.getResultCode() == ResultCode.NOT_LEADER.number()) {
                forwardToLeader(reply.getDetail());
            } else {
                completeOrRetry(reply);
            }
        }

        private void forwardToLeader(String leaderIdentity) {
            Optional<VmId> target = target(leaderIdentity);
            if (target.isEmpty()) {
                retryLater(ResultCode.NO_LEADER);
                return;
            }
            long remainingMillis = Math.max(1, deadlineMillis - clock.millis());
            long waitMillis = operation.hasWorkerHeartbeat()
                    ? operation.getWorkerHeartbeat().getWaitMillis()
                    : operation.getCellQuery().getWatch().getWaitMillis();
            forward(target.get(), operation, Math.min(remainingMillis, ATTEMPT_TIMEOUT_MILLIS + waitMillis))
                    .thenAccept(reply -> handleRemoteReply(target.get(), reply));
        }

        private Optional<VmId> target(String leaderIdentity) {
            String identity = leaderIdentity.isEmpty() ? knownLeader.apply(group) : leaderIdentity;
            if (!identity.isEmpty()) {
                return Optional.of(ReplicaIdentity.parse(identity).vm()).filter(this::reachable);
            }
            VmId hint = leaderHints.get(group);
            if (hint != null && reachable(hint)) {
                return Optional.of(hint);
            }
            List<VmId> candidates =
                    voters.apply(group).stream().filter(this::reachable).toList();
            return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(attempts % candidates.size()));
        }

        private boolean reachable(VmId vm) {
            return network.peers().contains(vm) && recentlySeen.test(vm);
        }

        private void handleRemoteReply(VmId from, Reply reply) {
            ResultCode code = ResultCode.of(reply.getResultCode());
            if (code == ResultCode.NOT_LEADER) {
                updateLeaderHint(reply.getDetail());
                retryLater(code);
            } else {
                leaderHints.put(group, from);
                completeOrRetry(reply);
            }
        }

        private void updateLeaderHint(String identity) {
            if (identity.isEmpty()) {
                leaderHints.remove(group);
            } else {
                leaderHints.put(group, ReplicaIdentity.parse(identity).vm());
            }
        }

        private void completeOrRetry(Reply reply) {
            if (ResultCode.of(reply.getResultCode()) == ResultCode.COMMIT_UNKNOWN) {
                mayHaveRun = true;
                leaderHints.remove(group);
                retryLater(ResultCode.COMMIT_UNKNOWN);
            } else {
                result.complete(reply);
            }
        }

        private void retryLater(ResultCode reason) {
            if (clock.millis() + RETRY_DELAY_MILLIS >= deadlineMillis) {
                refuse();
            } else {
                retryListener.accept(reason);
                timers.schedule(this::retry, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        private void retry() {
            // The process may have been suspended since the retry was scheduled; the caller has given up by then.
            if (clock.millis() >= deadlineMillis) {
                refuse();
            } else {
                attempt();
            }
        }

        private void refuse() {
            result.complete(
                    mayHaveRun
                            ? refusal(ResultCode.COMMIT_UNKNOWN, "the leader was lost before it replied")
                            : refusal(ResultCode.NO_LEADER, "no leader of group " + group + " can be reached"));
        }
    }
}
