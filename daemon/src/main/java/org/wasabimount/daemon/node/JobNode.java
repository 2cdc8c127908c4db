package org.wasabimount.daemon.node;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;

import org.wasabimount.core.Clock;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.VmId;
import org.wasabimount.core.dispatch.AdviceOutcome;
import org.wasabimount.core.dispatch.AdviceResult;
import org.wasabimount.core.dispatch.DispatchAction;
import org.wasabimount.core.log.MembershipPlan;
import org.wasabimount.core.log.ReplicaIdentity;
import org.wasabimount.core.log.ReplicaSettings;
import org.wasabimount.daemon.ProcessEnd;
import org.wasabimount.daemon.Wasabimount;
import org.wasabimount.daemon.job.AdviceCalls;
import org.wasabimount.daemon.job.JobGroup;
import org.wasabimount.daemon.job.WorkerCalls;
import org.wasabimount.daemon.log.DataFolder;
import org.wasabimount.daemon.log.GroupThread;
import org.wasabimount.daemon.metrics.NodeMetrics;
import org.wasabimount.daemon.peer.OperationGateway;
import org.wasabimount.daemon.peer.PeerNetwork;
import org.wasabimount.protocol.cell.Operation;
import org.wasabimount.protocol.cell.Reply;
import org.wasabimount.protocol.job.JobOperation;
import org.wasabimount.protocol.log.LogMessage;
import org.wasabimount.protocol.log.LogSnapshot;
import org.wasabimount.protocol.log.Membership;
import org.wasabimount.protocol.peer.AdviceReply;
import org.wasabimount.protocol.peer.AdviceRequest;
import org.wasabimount.protocol.peer.Envelope;
import org.wasabimount.protocol.peer.Presence;

/**
 * A node of a deployment that runs jobs.
 *
 * <p>With a data folder the node holds a replica of the jobs' group; without one it is an entry node that forwards
 * operations to the leader.
 */
public final class JobNode {

    private static final System.Logger LOG = System.getLogger("wasabimount.node");

    /** Minimum election timeout, in milliseconds: the time of forty syncs on the slowest disk. */
    private static final long ELECTION_TIMEOUT_MILLIS = 400;

    /**
     * Silence after which a voter is replaced by a replica that has caught up, in milliseconds; a second voter may be
     * lost meanwhile.
     */
    private static final long REPLACE_VOTER_MILLIS = 2_000;

    /** Time without a leader after which operations are refused at once, in milliseconds; longer than an election. */
    private static final long MAX_LEADERLESS_MILLIS = 800;

    private static final long MIN_RETRY_AFTER_MILLIS = 1_000;

    /** Longest retry delay while there is no leader, in milliseconds; a leader may be elected at any moment. */
    private static final long MAX_RETRY_AFTER_MILLIS = 3_000;

    private static final long LEADER_KNOWN = -1;

    private static final long LEADERSHIP_TRANSFER_TIMEOUT_MILLIS = 1_500;
    private static final long POLL_INTERVAL_MILLIS = 20;

    private final NodeSettings settings;
    private final AdviceCalls advice;
    private final Clock clock = Clock.monotonic();
    private final NodeMetrics metrics = new NodeMetrics();
    private final ScheduledExecutorService timers = OperationGateway.newTimers();
    private final PeerNetwork network;
    private final Peers peers;
    private final OperationGateway gateway;
    private final Optional<ReplicaIdentity> identity;
    private final Optional<JobGroup> group;
    private volatile boolean draining;
    /** Since when no leader is known, {@link #LEADER_KNOWN} while one is. */
    private volatile long leaderlessSinceMillis;

    private final AtomicReference<String> lastSeenLeader = new AtomicReference<>("");

    /**
     * Creates a node; {@link #start} starts it.
     *
     * @param settings the settings
     * @param workers the calls to workers, used only while this node leads
     * @param advice the calls to the advice service
     * @throws IOException if the durable state cannot be read
     */
    public JobNode(NodeSettings settings, WorkerCalls workers, AdviceCalls advice) throws IOException {
        this.settings = settings;
        this.advice = advice;
        this.leaderlessSinceMillis = clock.millis();
        this.network = new PeerNetwork(settings.vm(), null);
        Optional<DataFolder> folder = settings.dataFolder().map(DataFolder::new);
        this.identity = folder.isPresent()
                ? Optional.of(StorageRetry.untilAvailable(() -> identity(folder.get())))
                : Optional.empty();
        this.group = folder.isPresent()
                ? Optional.of(StorageRetry.untilAvailable(() -> createGroup(folder.get(), workers)))
                : Optional.empty();
        this.peers = new Peers(settings, network, new PeersSelf(), clock);
        this.gateway = new OperationGateway(
                network, this::executeLocally, name -> leader(), name -> peers.replicas(), peers::alive, timers, clock);
        peers.setReplicaListener(this::replicaAnnounced);
        peers.setLeaderListener(this::followLeader);
        network.setLinkListener(peers::linkOpened);
        group.map(JobGroup::thread).ifPresent(thread -> thread.setLeaderListener(this::followLeader));
        gateway.setRetryListener(metrics::operationRetried);
        registerGauges();
    }

    private void registerGauges() {
        metrics.gauge(
                "wasabimount_ready",
                "1 if requests can be passed on to a leader and the node is not draining",
                () -> ready() ? 1 : 0);
        metrics.gauge(
                "wasabimount_peers",
                "Nodes that were heard lately and are not draining",
                () -> peers.available().size());
        metrics.gauge("wasabimount_peer_sent_bytes", "Bytes of frames sent to other nodes", network::sentBytes);
        metrics.gauge(
                "wasabimount_peer_received_bytes", "Bytes of frames received from other nodes", network::receivedBytes);
        group.map(JobGroup::thread).ifPresent(thread -> {
            metrics.gauge("wasabimount_leads", "1 if this node leads", () -> thread.leading() ? 1 : 0);
            metrics.gauge(
                    "wasabimount_log_write_failures",
                    "Writes to the log that failed since the node started",
                    thread::writeFailureCount);
            metrics.gauge(
                    "wasabimount_log_applied_bytes",
                    "Bytes of the commands applied since the last snapshot",
                    thread::appliedBytes);
            metrics.gauge("wasabimount_syncs", "Batches synced to the log", thread::syncCount);
            metrics.gauge("wasabimount_commit_index", "Last index of the log on a majority", thread::commitIndex);
        });
    }

    /**
     * Returns the node's metrics.
     *
     * @return the metrics, which the node updates
     */
    public NodeMetrics metrics() {
        return metrics;
    }

    private ReplicaIdentity identity(DataFolder folder) throws IOException {
        if (folder.isFormatted()) {
            return folder.identity(settings.vm());
        }
        boolean foundingMember = settings.firstStart() && settings.seeds().contains(settings.vm());
        return folder.format(settings.vm(), foundingMember);
    }

    private JobGroup createGroup(DataFolder folder, WorkerCalls workers) throws IOException {
        ReplicaIdentity self = identity.orElseThrow();
        ReplicaSettings replica =
                ReplicaSettings.of(JobGroup.NAME, self.toString(), ELECTION_TIMEOUT_MILLIS, self.hashCode());
        return new JobGroup(
                replica,
                initialState(self),
                folder.store(JobGroup.NAME),
                new JobGroup.Dependencies(
                        workers,
                        this::sendAdviceRequest,
                        this::adviceCallers,
                        this::send,
                        this::haltOnLogFailure,
                        metrics,
                        clock,
                        Clock.wall()),
                settings.dispatch());
    }

    /**
     * Returns the state before the first log entry: the founding replicas are voters; a replica that joins later starts
     * without members.
     */
    private LogSnapshot initialState(ReplicaIdentity self) {
        if (!self.generation().equals(ReplicaIdentity.FIRST_GENERATION)) {
            return LogSnapshot.getDefaultInstance();
        }
        Membership.Builder membership = Membership.newBuilder();
        settings.seeds()
                .forEach(seed ->
                        membership.addVoters(new ReplicaIdentity(seed, ReplicaIdentity.FIRST_GENERATION).toString()));
        return LogSnapshot.newBuilder().setMembership(membership).build();
    }

    /**
     * Starts the node.
     *
     * @throws IOException if its port cannot be bound
     */
    public void start() throws IOException {
        group.map(JobGroup::thread).ifPresent(GroupThread::start);
        network.listen(settings.peerAddress(settings.vm()), this::receive);
        schedule(this::round, Peers.ROUND_INTERVAL_MILLIS);
        LOG.log(
                System.Logger.Level.INFO,
                "NODE start vm={0} domain={1} replica={2} seeds={3} firstStart={4}",
                settings.vm(),
                settings.domain(),
                identity.map(ReplicaIdentity::toString).orElse("none"),
                settings.seeds(),
                settings.firstStart());
    }

    /**
     * Executes an operation on the leader.
     *
     * @param operation the operation
     * @param timeoutMillis the time limit for all attempts, in milliseconds
     * @return the reply, or a refusal whose code tells whether the operation may have been executed
     */
    public CompletableFuture<Reply> execute(JobOperation operation, long timeoutMillis) {
        long arrivedMillis = clock.millis();
        long leaderlessMillis = leaderlessMillis(arrivedMillis);
        CompletableFuture<Reply> result = leaderlessMillis > MAX_LEADERLESS_MILLIS
                ? CompletableFuture.completedFuture(noLeader(leaderlessMillis))
                : gateway.execute(
                        Operation.newBuilder()
                                .setGroup(JobGroup.NAME)
                                .setJob(operation)
                                .build(),
                        timeoutMillis);
        return result.whenComplete((reply, failure) -> {
            if (reply != null) {
                ResultCode code = ResultCode.of(reply.getResultCode());
                metrics.answered(operation.getBodyCase(), code, clock.millis() - arrivedMillis);
            }
        });
    }

    /** Returns the refusal for a time without a known leader; the retry delay grows with the time without a leader. */
    private static Reply noLeader(long leaderlessMillis) {
        return Reply.newBuilder()
                .setResultCode(ResultCode.NO_LEADER.number())
                .setDetail("no leader is known for " + leaderlessMillis + " ms")
                .setRetryAfterMillis(
                        Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, leaderlessMillis)))
                .build();
    }

    /**
     * Returns whether requests can be forwarded to a leader.
     *
     * @return false while the node is draining or no leader is known
     */
    public boolean ready() {
        boolean leads = group.map(hosted -> hosted.thread().leading()).orElse(false);
        return !draining && (leads || !peers.leader().isEmpty());
    }

    /** Announces to the other nodes that this node is about to stop, and transfers leadership. */
    public void drain() {
        LOG.log(System.Logger.Level.INFO, "NODE drain vm={0}", settings.vm());
        draining = true;
        peers.round();
        long untilMillis = clock.millis() + LEADERSHIP_TRANSFER_TIMEOUT_MILLIS;
        while (clock.millis() < untilMillis
                && group.map(hosted -> hosted.thread().leading()).orElse(false)) {
            GroupThread thread = group.orElseThrow().thread();
            thread.submit(() -> thread.replica().transferLeadership(clock.millis()));
            pause(POLL_INTERVAL_MILLIS);
        }
    }

    /**
     * Adds the seeds of changed settings.
     *
     * @param seeds the seeds of the changed settings
     */
    public void addSeeds(Collection<VmId> seeds) {
        peers.addSeeds(seeds);
    }

    private void round() {
        peers.round();
        leaderlessMillis(clock.millis());
        followLeader();
    }

    /**
     * Follows changes of the leader: a new leader announces itself immediately, the other nodes announce themselves to
     * it, and operations that the previous leader left without a reply are sent to the new one.
     *
     * <p>Called on the threads that learn of a leader, so that no change is missed even if it is soon taken back.
     */
    private void followLeader() {
        String leader = leader();
        String previous = lastSeenLeader.getAndSet(leader);
        if (leader.equals(previous)) {
            return;
        }
        timers.execute(logFailure(peers::round));
        if (!leader.isEmpty()) {
            gateway.leaderChanged(ReplicaIdentity.parse(leader).vm());
        }
    }

    /** Returns for how long no leader has been known, zero if one is known. */
    private long leaderlessMillis(long nowMillis) {
        if (!leader().isEmpty()) {
            leaderlessSinceMillis = LEADER_KNOWN;
            return 0;
        }
        long sinceMillis = leaderlessSinceMillis;
        if (sinceMillis == LEADER_KNOWN) {
            leaderlessSinceMillis = nowMillis;
            return 0;
        }
        return nowMillis - sinceMillis;
    }

    /** Returns the identity of the leader known to this node, empty if none is known. */
    private String leader() {
        return group.map(JobGroup::thread)
                .map(GroupThread::leader)
                .filter(leader -> !leader.isEmpty())
                .orElseGet(peers::leader);
    }

    private Optional<CompletableFuture<Reply>> executeLocally(Operation operation) {
        return group.map(hosted -> hosted.execute(operation.getJob()));
    }

    /** This node as its peers see it. */
    private final class PeersSelf implements Peers.Self {

        @Override
        public Presence presence() {
            return Presence.newBuilder()
                    .setReplica(identity.map(ReplicaIdentity::toString).orElse(""))
                    .setEntry(group.isEmpty())
                    .setLeader(group.map(hosted -> hosted.thread().leader()).orElse(""))
                    .setDraining(draining)
                    .build();
        }

        @Override
        public String leader() {
            return JobNode.this.leader();
        }

        @Override
        public Set<VmId> voters() {
            return group.map(hosted -> hosted.thread().membership().getVotersList().stream()
                            .map(voter -> ReplicaIdentity.parse(voter).vm())
                            .collect(Collectors.toSet()))
                    .orElse(Set.of());
        }
    }

    private void replicaAnnounced(ReplicaIdentity replica) {
        group.map(JobGroup::thread)
                .filter(GroupThread::leading)
                .ifPresent(thread -> thread.submit(() -> {
                    MembershipPlan.Target target = new MembershipPlan.Target(
                            settings.voters(),
                            vm -> !vm.equals(settings.vm()) && peers.silentMillis(vm) > REPLACE_VOTER_MILLIS);
                    MembershipPlan.next(thread.replica(), replica, target)
                            .filter(change -> thread.replica().changeMembership(change, clock.millis()) > 0)
                            .ifPresent(change -> LOG.log(
                                    System.Logger.Level.INFO,
                                    "MEMBER voters={0} learners={1}",
                                    change.getVotersList(),
                                    change.getLearnersList()));
                }));
    }

    private void receive(Envelope envelope) {
        VmId from = new VmId(envelope.getFromVm());
        peers.frameReceived(from);
        switch (envelope.getBodyCase()) {
            case LOG -> group.ifPresent(hosted -> hosted.thread().receive(envelope.getLog()));
            case PRESENCE -> peers.receive(from, envelope.getPresence());
            case REQUEST -> gateway.receive(from, envelope.getRequest());
            case REPLY -> gateway.receive(envelope.getReply());
            case ADVICE_REQUEST -> handleAdviceRequest(from, envelope.getAdviceRequest());
            case ADVICE_REPLY -> advised(envelope.getAdviceReply());
            default -> LOG.log(System.Logger.Level.WARNING, "NODE received an empty frame from {0}", from);
        }
    }

    private void send(LogMessage message) {
        VmId to = ReplicaIdentity.parse(message.getTo()).vm();
        network.send(to, Envelope.newBuilder().setLog(message));
    }

    private Collection<String> adviceCallers() {
        List<String> vms = new ArrayList<>();
        vms.add(settings.vm().name());
        peers.available().stream().map(VmId::name).sorted().forEach(vms::add);
        return vms;
    }

    private void sendAdviceRequest(DispatchAction.RequestAdvice call) {
        if (call.caller().equals(settings.vm().name())) {
            advice.requestAdvice(call.step().toString(), call.workers(), call.timeoutMillis())
                    .thenAccept(adviceResult -> group.ifPresent(hosted -> hosted.advised(call.id(), adviceResult)));
            return;
        }
        AdviceRequest request = AdviceRequest.newBuilder()
                .setId(call.id())
                .setStep(call.step().toString())
                .addAllWorkers(call.workers())
                .setTimeoutMillis(call.timeoutMillis())
                .build();
        boolean sent =
                network.send(new VmId(call.caller()), Envelope.newBuilder().setAdviceRequest(request));
        if (!sent) {
            group.ifPresent(hosted -> hosted.advised(call.id(), AdviceResult.failed(AdviceOutcome.NOT_SENT)));
        }
    }

    private void handleAdviceRequest(VmId leader, AdviceRequest request) {
        advice.requestAdvice(request.getStep(), request.getWorkersList(), request.getTimeoutMillis())
                .thenAccept(adviceResult -> network.send(
                        leader,
                        Envelope.newBuilder().setAdviceReply(AdviceMessages.reply(request.getId(), adviceResult))));
    }

    private void advised(AdviceReply reply) {
        group.ifPresent(hosted -> hosted.advised(reply.getId(), AdviceMessages.result(reply)));
    }

    private void haltOnLogFailure(IOException cause) {
        ProcessEnd.halt(Wasabimount.EXIT_LOG_FAILED, "NODE stops: its group cannot continue", cause);
    }

    private void schedule(Runnable task, long periodMillis) {
        timers.scheduleAtFixedRate(logFailure(task), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    }

    private static Runnable logFailure(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                // The executor would drop the task, and the node would no longer send its presence.
                LOG.log(System.Logger.Level.ERROR, "NODE timer task failed", e);
            }
        };
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
