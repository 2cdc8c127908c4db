package org.wasabimount.daemon.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
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
 * Has operations carried out by their group's leader, wherever it is.
 *
 * <p>Every operation may be sent again: writes carry a request id or an attempt id that makes them idempotent.
 */
public final class OperationGateway {

    private static final long RETRY_MILLIS = 40;
    private static final long TRY_MILLIS = 1_500;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final PeerNetwork network;
    private final Function<Operation, Optional<CompletableFuture<Reply>>> local;
    private final Function<String, String> knownLeader;
    private final Function<String, List<VmId>> voters;
    private final Predicate<VmId> heardLately;
    private final ScheduledExecutorService timers;
    private final Clock clock;
    private final Map<Long, Forwarded> open = new ConcurrentHashMap<>();
    private final Map<String, VmId> leaderHints = new ConcurrentHashMap<>();
    private final AtomicLong nextId = new AtomicLong();

    private volatile Consumer<ResultCode> retried = reason -> {};

    private record Forwarded(VmId to, CompletableFuture<Reply> reply) {}

    /**
     * Creates a gateway.
     *
     * @param network the links to other daemons
     * @param local carries an operation out here, or returns nothing if the group has no replica here
     * @param knownLeader the leader's identity of a group that has a replica here, or an empty string
     * @param voters the VMs that may lead a group
     * @param heardLately tells whether a VM was heard within the last seconds; nothing is passed on to any other, so that
     *     a silent cut gives a refusal instead of an unknown outcome
     * @param timers runs retries and timeouts
     * @param clock monotonic time
     */
    public OperationGateway(
            PeerNetwork network,
            Function<Operation, Optional<CompletableFuture<Reply>>> local,
            Function<String, String> knownLeader,
            Function<String, List<VmId>> voters,
            Predicate<VmId> heardLately,
            ScheduledExecutorService timers,
            Clock clock) {
        this.network = network;
        this.local = local;
        this.knownLeader = knownLeader;
        this.voters = voters;
        this.heardLately = heardLately;
        this.timers = timers;
        this.clock = clock;
    }

    /**
     * Sets who is told of each retry.
     *
     * @param listener takes what became of the try before
     */
    public void setRetryListener(Consumer<ResultCode> listener) {
        retried = listener;
    }

    /**
     * Carries an operation out, trying again until a leader answers or the time is up.
     *
     * @param operation the operation
     * @param timeoutMillis how long to try
     * @return completed with the leader's reply or with a refusal, never exceptionally
     */
    public CompletableFuture<Reply> execute(Operation operation, long timeoutMillis) {
        Call call = new Call(operation, clock.millis() + timeoutMillis);
        call.attempt();
        return call.result;
    }

    /**
     * Takes an operation that another daemon passed on.
     *
     * @param from the other VM
     * @param request the operation
     */
    public void receive(VmId from, OperationRequest request) {
        local.apply(request.getOperation())
                .orElseGet(() -> CompletableFuture.completedFuture(refusal(ResultCode.NOT_LEADER, "")))
                .thenAccept(reply -> network.send(
                        from,
                        Envelope.newBuilder()
                                .setReply(OperationReply.newBuilder()
                                        .setId(request.getId())
                                        .setReply(reply))));
    }

    /**
     * Takes the reply to an operation that was passed on; a late one is dropped.
     *
     * @param reply the reply
     */
    public void receive(OperationReply reply) {
        Forwarded waiting = open.remove(reply.getId());
        if (waiting != null) {
            waiting.reply.complete(reply.getReply());
        }
    }

    /**
     * Gives up waiting for other VMs than the new leader; what was passed on to them is tried again.
     *
     * @param leader the VM that leads now
     */
    public void leaderChanged(VmId leader) {
        open.forEach((id, forwarded) -> {
            if (!forwarded.to.equals(leader) && open.remove(id, forwarded)) {
                forwarded.reply.complete(refusal(ResultCode.COMMIT_UNKNOWN, "another VM leads since"));
            }
        });
    }

    private CompletableFuture<Reply> forward(VmId to, Operation operation, long timeoutMillis) {
        long id = nextId.incrementAndGet();
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        open.put(id, new Forwarded(to, reply));
        OperationRequest request = OperationRequest.newBuilder()
                .setId(id)
                .setOperation(operation)
                .setTimeoutMillis(timeoutMillis)
                .build();
        boolean sent = network.send(to, Envelope.newBuilder().setRequest(request));
        if (!sent) {
            open.remove(id);
            reply.complete(refusal(ResultCode.NOT_LEADER, ""));
            return reply;
        }
        timers.schedule(
                () -> {
                    open.remove(id);
                    reply.complete(refusal(ResultCode.COMMIT_UNKNOWN, "the leader did not answer"));
                },
                timeoutMillis,
                TimeUnit.MILLISECONDS);
        return reply;
    }

    private static Reply refusal(ResultCode code, String detail) {
        return Reply.newBuilder()
                .setResultCode(code.number())
                .setDetail(detail)
                .setRetryAfterMillis(RETRY_AFTER_MILLIS)
                .build();
    }

    /** One operation with its tries. */
    private final class Call {

        private final Operation operation;
        private final String group;
        private final long deadlineMillis;
        private final CompletableFuture<Reply> result = new CompletableFuture<>();
        private boolean mayHaveRun;
        private int tries;

        Call(Operation operation, long deadlineMillis) {
            this.operation = operation;
            this.group = operation.getGroup();
            this.deadlineMillis = deadlineMillis;
        }

        void attempt() {
            tries++;
            Optional<CompletableFuture<Reply>> here = local.apply(operation);
            if (here.isPresent()) {
                here.get().thenAccept(this::answeredHere);
            } else {
                passOn("");
            }
        }

        private void answeredHere(Reply reply) {
            if (reply.getResultCode() == ResultCode.NOT_LEADER.number()) {
                passOn(reply.getDetail());
            } else {
                settle(reply);
            }
        }

        private void passOn(String leaderIdentity) {
            Optional<VmId> target = target(leaderIdentity);
            if (target.isEmpty()) {
                tryLater(ResultCode.NO_LEADER);
                return;
            }
            long leftMillis = Math.max(1, deadlineMillis - clock.millis());
            long waitMillis = operation.hasWorkerHeartbeat()
                    ? operation.getWorkerHeartbeat().getWaitMillis()
                    : operation.getCellQuery().getWatch().getWaitMillis();
            forward(target.get(), operation, Math.min(leftMillis, TRY_MILLIS + waitMillis))
                    .thenAccept(reply -> answeredThere(target.get(), reply));
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
            return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(tries % candidates.size()));
        }

        private boolean reachable(VmId vm) {
            return network.peers().contains(vm) && heardLately.test(vm);
        }

        private void answeredThere(VmId from, Reply reply) {
            ResultCode code = ResultCode.of(reply.getResultCode());
            if (code == ResultCode.NOT_LEADER) {
                noteHint(reply.getDetail());
                tryLater(code);
            } else {
                leaderHints.put(group, from);
                settle(reply);
            }
        }

        private void noteHint(String identity) {
            if (identity.isEmpty()) {
                leaderHints.remove(group);
            } else {
                leaderHints.put(group, ReplicaIdentity.parse(identity).vm());
            }
        }

        private void settle(Reply reply) {
            if (ResultCode.of(reply.getResultCode()) == ResultCode.COMMIT_UNKNOWN) {
                mayHaveRun = true;
                leaderHints.remove(group);
                tryLater(ResultCode.COMMIT_UNKNOWN);
            } else {
                result.complete(reply);
            }
        }

        private void tryLater(ResultCode reason) {
            if (clock.millis() + RETRY_MILLIS >= deadlineMillis) {
                result.complete(
                        mayHaveRun
                                ? refusal(ResultCode.COMMIT_UNKNOWN, "the leader was lost before it answered")
                                : refusal(ResultCode.NO_LEADER, "no leader of group " + group + " can be reached"));
            } else {
                retried.accept(reason);
                timers.schedule(this::attempt, RETRY_MILLIS, TimeUnit.MILLISECONDS);
            }
        }
    }
}
