package org.wasabimount.daemon.node;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.wasabimount.core.Clock;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.VmId;
import org.wasabimount.core.dispatch.AdviceResult;
import org.wasabimount.core.dispatch.DispatchAction;
import org.wasabimount.core.log.MembershipPlan;
import org.wasabimount.core.log.ReplicaIdentity;
import org.wasabimount.core.log.ReplicaSettings;
import org.wasabimount.daemon.LogSetup;
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
import org.wasabimount.protocol.peer.Ticket;

/** One node of a deployment that runs jobs. */
public final class JobNode {

    private static final System.Logger LOG = System.getLogger("wasabimount.node");

    private static final long TICK_MILLIS = 20;
    private static final long PRESENCE_MILLIS = 250;

    /** Shortest silence of a leader before an election, in milliseconds; forty syncs of the slowest disk. */
    private static final long ELECTION_TIMEOUT_MILLIS = 400;

    /** Silence after which a replica that has caught up takes a voter's place, in milliseconds; a second loss may follow. */
    private static final long REPLACE_VOTER_MILLIS = 2_000;

    /** Time without a leader after which operations are refused at once, in milliseconds; longer than an election. */
    private static final long LEADERLESS_MILLIS = 800;

    private static final long MIN_RETRY_MILLIS = 1_000;

    /** Longest time to come back while there is no leader, in milliseconds: all may be well a moment later. */
    private static final long MAX_RETRY_MILLIS = 3_000;

    private static final long TRANSFER_MILLIS = 1_500;
    private static final long POLL_MILLIS = 20;

    private final NodeSettings settings;
    private final AdviceCalls advice;
    private final Clock clock = Clock.monotonic();
    private final NodeMetrics metrics = new NodeMetrics();
    private final ScheduledExecutorService timers =
            Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "timer"));
    private final PeerNetwork network;
    private final Peers peers;
    private final OperationGateway gateway;
    private final Optional<ReplicaIdentity> identity;
    private final Optional<JobGroup> group;
    private volatile boolean draining;
    private volatile long leaderSeenMillis;
    private String toldLeader = "";

    /**
     * Creates a node; {@link #start} starts it.
     *
     * @param settings the settings
     * @param workers calls workers, used by the leader only
     * @param advice calls the advice service
     * @throws IOException if the durable state can't be read
     */
    public JobNode(NodeSettings settings, WorkerCalls workers, AdviceCalls advice) throws IOException {
        this.settings = settings;
        this.advice = advice;
        this.leaderSeenMillis = clock.millis();
        this.network = new PeerNetwork(settings.vm(), null);
        Optional<DataFolder> folder = settings.dataFolder().map(DataFolder::new);
        this.identity = folder.isPresent() ? Optional.of(identity(folder.get())) : Optional.empty();
        this.group = folder.isPresent() ? Optional.of(host(folder.get(), workers)) : Optional.empty();
        this.peers = new Peers(settings, network, this::presence, clock);
        this.gateway = new OperationGateway(
                network, this::executeHere, name -> leader(), name -> peers.replicas(), peers::alive, timers, clock);
        peers.onReplica(this::replicaHeard);
        gateway.setRetryListener(metrics::operationRetried);
        gauges();
    }

    private void gauges() {
        metrics.gauge(
                "wasabimount_ready",
                "1 if requests can be passed on to a leader and the node is not draining",
                () -> ready() ? 1 : 0);
        metrics.gauge(
                "wasabimount_peers",
                "Nodes that were heard lately and are not draining",
                () -> peers.present().size());
        metrics.gauge("wasabimount_peer_sent_bytes", "Bytes of frames sent to other nodes", network::sentBytes);
        metrics.gauge(
                "wasabimount_peer_received_bytes", "Bytes of frames received from other nodes", network::receivedBytes);
        group.map(JobGroup::thread).ifPresent(thread -> {
            metrics.gauge("wasabimount_leads", "1 if this node leads", () -> thread.leading() ? 1 : 0);
            metrics.gauge("wasabimount_syncs", "Batches synced to the log", thread::syncCount);
            metrics.gauge("wasabimount_commit_index", "Last index of the log on a majority", thread::commitIndex);
        });
    }

    /**
     * Returns the node's metrics.
     *
     * @return the metrics, kept up to date by the node
     */
    public NodeMetrics metrics() {
        return metrics;
    }

    private ReplicaIdentity identity(DataFolder folder) throws IOException {
        if (folder.formatted()) {
            return folder.identity(settings.vm());
        }
        boolean founder = settings.firstStart() && settings.seeds().contains(settings.vm());
        return folder.format(settings.vm(), founder);
    }

    private JobGroup host(DataFolder folder, WorkerCalls workers) throws IOException {
        ReplicaIdentity self = identity.orElseThrow();
        ReplicaSettings replica =
                ReplicaSettings.of(JobGroup.NAME, self.toString(), ELECTION_TIMEOUT_MILLIS, self.hashCode());
        return new JobGroup(
                replica,
                first(self),
                folder.store(JobGroup.NAME),
                new JobGroup.Dependencies(
                        workers, this::ask, this::advisers, this::send, this::fail, metrics, clock, Clock.wall()),
                settings.dispatch());
    }

    /** Returns the state before the first entry: the founders vote; who joins later knows of no members. */
    private LogSnapshot first(ReplicaIdentity self) {
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
     * @throws IOException if its port can't be bound
     */
    public void start() throws IOException {
        group.map(JobGroup::thread).ifPresent(GroupThread::start);
        network.listen(settings.peerAddress(settings.vm()), this::receive);
        group.map(JobGroup::thread).ifPresent(thread -> schedule(thread::tick, TICK_MILLIS));
        schedule(peers::round, PRESENCE_MILLIS);
        schedule(this::followLeader, TICK_MILLIS);
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
     * Has the leader carry out an operation.
     *
     * @param operation the operation
     * @param timeoutMillis how long to try
     * @return the reply, or a refusal that says whether the operation may have been carried out
     */
    public CompletableFuture<Reply> execute(JobOperation operation, long timeoutMillis) {
        long arrivedMillis = clock.millis();
        long leaderlessMillis = arrivedMillis - leaderSeenMillis;
        CompletableFuture<Reply> result = leaderlessMillis > LEADERLESS_MILLIS
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

    /** Returns the refusal while no leader is known: the longer that lasts, the later it is worth coming back. */
    private static Reply noLeader(long leaderlessMillis) {
        return Reply.newBuilder()
                .setResultCode(ResultCode.NO_LEADER.number())
                .setDetail("no leader is known for " + leaderlessMillis + " ms")
                .setRetryAfterMillis(Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, leaderlessMillis)))
                .build();
    }

    /**
     * Tells whether requests can be passed on to a leader.
     *
     * @return false while draining, or while no leader is known
     */
    public boolean ready() {
        boolean leads = group.map(hosted -> hosted.thread().leading()).orElse(false);
        return !draining && (leads || !peers.leader().isEmpty());
    }

    /** Tells the others that this node is about to end, and hands leadership over. */
    public void drain() {
        LOG.log(System.Logger.Level.INFO, "NODE drain vm={0}", settings.vm());
        draining = true;
        peers.round();
        long untilMillis = clock.millis() + TRANSFER_MILLIS;
        while (clock.millis() < untilMillis
                && group.map(hosted -> hosted.thread().leading()).orElse(false)) {
            GroupThread thread = group.orElseThrow().thread();
            thread.submit(() -> thread.replica().transferLeadership(clock.millis()));
            pause(POLL_MILLIS);
        }
    }

    /**
     * Takes seeds from settings that changed.
     *
     * @param seeds the new seeds
     */
    public void addSeeds(Collection<VmId> seeds) {
        peers.addSeeds(seeds);
    }

    /** Tells the others at once when this node begins to lead, and asks a new leader what the one before left unanswered. */
    private void followLeader() {
        String leader = leader();
        if (leader.isEmpty()) {
            return;
        }
        leaderSeenMillis = clock.millis();
        if (leader.equals(toldLeader)) {
            return;
        }
        toldLeader = leader;
        if (group.map(hosted -> hosted.thread().leading()).orElse(false)) {
            peers.round();
        }
        gateway.leaderChanged(ReplicaIdentity.parse(leader).vm());
    }

    /** Returns the leader's identity as this node knows it, empty if it knows none. */
    private String leader() {
        return group.map(JobGroup::thread)
                .map(GroupThread::leader)
                .filter(leader -> !leader.isEmpty())
                .orElseGet(peers::leader);
    }

    private Optional<CompletableFuture<Reply>> executeHere(Operation operation) {
        return group.map(hosted -> hosted.execute(operation.getJob()));
    }

    private Presence.Builder presence() {
        Presence.Builder presence = Presence.newBuilder()
                .setReplica(identity.map(ReplicaIdentity::toString).orElse(""))
                .setEntry(group.isEmpty())
                .setLeader(group.map(hosted -> hosted.thread().leader()).orElse(""))
                .setDraining(draining);
        if (group.isPresent()) {
            peers.replicaNames().forEach(presence::addReplicaVms);
        }
        return presence;
    }

    private void replicaHeard(ReplicaIdentity replica) {
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
        peers.heard(from);
        switch (envelope.getBodyCase()) {
            case LOG -> group.ifPresent(hosted -> hosted.thread().receive(envelope.getLog()));
            case PRESENCE -> peers.receive(from, envelope.getPresence());
            case REQUEST -> gateway.receive(from, envelope.getRequest());
            case REPLY -> gateway.receive(envelope.getReply());
            case ADVICE_REQUEST -> adviseFor(from, envelope.getAdviceRequest());
            case ADVICE_REPLY -> advised(envelope.getAdviceReply());
            default -> LOG.log(System.Logger.Level.WARNING, "NODE got an empty frame from {0}", from);
        }
    }

    private void send(LogMessage message) {
        VmId to = ReplicaIdentity.parse(message.getTo()).vm();
        network.send(to, Envelope.newBuilder().setLog(message));
    }

    private Collection<String> advisers() {
        List<String> vms = new ArrayList<>();
        vms.add(settings.vm().name());
        peers.present().stream().map(VmId::name).sorted().forEach(vms::add);
        return vms;
    }

    private void ask(DispatchAction.RequestAdvice ask) {
        if (ask.caller().equals(settings.vm().name())) {
            advice.requestAdvice(ask.step().toString(), ask.workers(), ask.timeoutMillis())
                    .thenAccept(answer -> group.ifPresent(hosted -> hosted.advised(ask.id(), answer)));
            return;
        }
        AdviceRequest request = AdviceRequest.newBuilder()
                .setId(ask.id())
                .setStep(ask.step().toString())
                .addAllWorkers(ask.workers())
                .setTimeoutMillis(ask.timeoutMillis())
                .build();
        boolean sent =
                network.send(new VmId(ask.caller()), Envelope.newBuilder().setAdviceRequest(request));
        if (!sent) {
            group.ifPresent(hosted -> hosted.advised(ask.id(), AdviceResult.NONE));
        }
    }

    private void adviseFor(VmId leader, AdviceRequest request) {
        advice.requestAdvice(request.getStep(), request.getWorkersList(), request.getTimeoutMillis())
                .thenAccept(answer -> {
                    AdviceReply.Builder reply = AdviceReply.newBuilder()
                            .setId(request.getId())
                            .setAnswered(answer.answered())
                            .setValidMillis(answer.validMillis());
                    answer.tickets()
                            .forEach((worker, ticket) -> reply.addTickets(
                                    Ticket.newBuilder().setWorker(worker).setTicket(ticket)));
                    network.send(leader, Envelope.newBuilder().setAdviceReply(reply));
                });
    }

    private void advised(AdviceReply reply) {
        Map<String, String> tickets = new HashMap<>();
        reply.getTicketsList().forEach(ticket -> tickets.put(ticket.getWorker(), ticket.getTicket()));
        AdviceResult answer = new AdviceResult(reply.getAnswered(), tickets, reply.getValidMillis());
        group.ifPresent(hosted -> hosted.advised(reply.getId(), answer));
    }

    private void fail(IOException cause) {
        LOG.log(System.Logger.Level.ERROR, "NODE stops: its log can't be kept", cause);
        LogSetup.flush();
        Runtime.getRuntime().halt(Wasabimount.EXIT_LOG_FAILED);
    }

    private void schedule(Runnable task, long periodMillis) {
        timers.scheduleAtFixedRate(
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        LOG.log(System.Logger.Level.ERROR, "NODE a timer failed", e);
                    }
                },
                periodMillis,
                periodMillis,
                TimeUnit.MILLISECONDS);
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
