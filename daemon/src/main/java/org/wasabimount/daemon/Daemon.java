package org.wasabimount.daemon;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.wasabimount.client.HttpClient;
import org.wasabimount.core.Clock;
import org.wasabimount.core.VmId;
import org.wasabimount.core.routing.RequestRouter;
import org.wasabimount.daemon.http.HttpApi;
import org.wasabimount.daemon.metrics.DaemonMetrics;
import org.wasabimount.daemon.peer.OperationGateway;
import org.wasabimount.daemon.peer.PeerNetwork;
import org.wasabimount.daemon.peer.PeerTls;
import org.wasabimount.daemon.routing.RoutingThread;
import org.wasabimount.daemon.routing.UnrepeatableCalls;
import org.wasabimount.daemon.settings.DaemonSettings;
import org.wasabimount.protocol.log.LogMessage;
import org.wasabimount.protocol.peer.Envelope;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** A running daemon, which owns its threads, sockets and files. */
public final class Daemon {

    private static final System.Logger LOG = System.getLogger("wasabimount.daemon");
    private static final long TICK_PERIOD_MILLIS = 50;
    private static final long GOSSIP_PERIOD_MILLIS = 500;
    private static final long IDLE_CHECK_PERIOD_MILLIS = 1_000;
    private static final long BALANCER_GRACE_MILLIS = 1_500;
    private static final long MAX_DRAIN_MILLIS = 30_000;
    private static final long LEADERSHIP_TRANSFER_TIMEOUT_MILLIS = 2_000;
    private static final long RESPONSE_GRACE_MILLIS = 200;
    private static final long POLL_PERIOD_MILLIS = 20;
    private static final int IO_THREADS = 2;

    private final DaemonSettings settings;
    private final Clock clock = Clock.monotonic();
    private final DaemonMetrics metrics = new DaemonMetrics();
    private final ScheduledExecutorService timers = OperationGateway.newTimers();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final PeerNetwork network;
    private final DaemonGroups groups;
    private final RoutingThread routing;
    private final OperationGateway gateway;
    private final GossipService gossipService;
    private final XnioWorker ioThreads;
    private final HttpApi http;
    private volatile boolean draining;
    private volatile boolean refusingRequests;
    private volatile boolean failed;

    Daemon(DaemonSettings settings) throws IOException {
        this.settings = settings;
        PeerTls tls = settings.tls().isEmpty() ? null : tls(settings.tls().get());
        this.network = new PeerNetwork(settings.vm(), tls);
        this.groups = new DaemonGroups(settings, clock, Clock.wall(), this::send, this::fail);
        this.ioThreads = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, IO_THREADS)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.TCP_NODELAY, true)
                        .getMap());
        HttpClient client = new HttpClient(ioThreads, settings.limits().maxAnswerBytes());
        RequestRouter router = new RequestRouter(
                settings.vm(),
                settings.domain(),
                settings.routingPolicy(),
                settings.vm().hashCode());
        this.routing = new RoutingThread(router, client, clock, metrics);
        this.gateway = new OperationGateway(
                network, groups::execute, groups::knownLeader, groups::votersOf, this::recentlySeen, timers, clock);
        this.gossipService = new GossipService(settings, groups, network, routing, () -> draining, clock);
        UnrepeatableCalls unrepeatableCalls =
                new UnrepeatableCalls(routing, gateway, settings.domains(), clock, Clock.wall());
        this.http = new HttpApi(
                new HttpApi.Dependencies(
                        settings,
                        gateway,
                        routing,
                        unrepeatableCalls,
                        groups.directory(),
                        this::ready,
                        () -> refusingRequests,
                        this::status,
                        this::drainInBackground,
                        clock,
                        metrics),
                ioThreads);
        registerGauges();
        schedule(routing::tick, TICK_PERIOD_MILLIS);
        schedule(gossipService::round, GOSSIP_PERIOD_MILLIS);
        schedule(client::closeIdleConnections, IDLE_CHECK_PERIOD_MILLIS);
    }

    /** Starts the threads and then opens the ports. */
    void start() throws IOException {
        routing.start();
        groups.setDirectoryListener(routing::configure);
        groups.start();
        network.listen(settings.peerAddress(), this::receive);
        settings.peers().forEach(peer -> network.connect(peer.vm(), peer.address()));
        try {
            http.start();
        } catch (RuntimeException e) {
            throw new IOException("cannot bind " + settings.httpAddress(), e);
        }
        LOG.log(
                System.Logger.Level.INFO,
                "DAEMON {0} serves on {1} as {2}",
                settings.vm(),
                settings.httpAddress(),
                groups.identity());
    }

    /**
     * Stops without interrupting requests: reports to the load balancer that this VM is not ready, waits for open
     * requests to end, and transfers leaderships to other VMs.
     */
    public void drain() {
        synchronized (stopped) {
            if (stopped.getCount() == 0) {
                return;
            }
            LOG.log(System.Logger.Level.INFO, "DAEMON drain started");
            draining = true;
            pause(BALANCER_GRACE_MILLIS);
            refusingRequests = true;
            long deadlineMillis = clock.millis() + MAX_DRAIN_MILLIS;
            while (routing.openCalls() > 0 && clock.millis() < deadlineMillis && !failed) {
                pause(POLL_PERIOD_MILLIS);
            }
            awaitLeadershipTransfer();
            pause(RESPONSE_GRACE_MILLIS);
            close();
            LOG.log(System.Logger.Level.INFO, "DAEMON drain ended with {0} open calls", routing.openCalls());
        }
    }

    /**
     * Waits until the daemon has stopped.
     *
     * @return true after a requested stop, false after a failure
     * @throws InterruptedException if the wait is interrupted
     */
    public boolean awaitEnd() throws InterruptedException {
        stopped.await();
        return !failed;
    }

    private void awaitLeadershipTransfer() {
        long deadlineMillis = clock.millis() + LEADERSHIP_TRANSFER_TIMEOUT_MILLIS;
        while (groups.leadsAny() && clock.millis() < deadlineMillis && !failed) {
            groups.transferLeaderships();
            pause(POLL_PERIOD_MILLIS);
        }
    }

    private void close() {
        http.stop();
        timers.shutdownNow();
        network.close();
        groups.stop();
        routing.stop();
        ioThreads.shutdown();
        stopped.countDown();
    }

    /** Ends the process at once if the log can't be written: an unsynced write must never be acknowledged. */
    private void fail(IOException cause) {
        if (!failed) {
            failed = true;
            ProcessEnd.halt(Wasabimount.EXIT_LOG_FAILED, "DAEMON stops: its replicated log can't be written", cause);
        }
    }

    private void drainInBackground() {
        new Thread(this::drain, "drain").start();
    }

    private boolean ready() {
        return groups.caughtUp() && !draining;
    }

    private void send(LogMessage message) {
        String to = message.getTo();
        VmId vm = new VmId(to.substring(0, to.indexOf('/')));
        network.send(vm, Envelope.newBuilder().setLog(message));
    }

    private void receive(Envelope envelope) {
        VmId from = new VmId(envelope.getFromVm());
        switch (envelope.getBodyCase()) {
            case LOG -> groups.receive(envelope.getLog());
            case GOSSIP -> gossipService.receive(from, envelope.getGossip());
            case REQUEST -> gateway.receive(from, envelope.getRequest());
            case REPLY -> gateway.receive(envelope.getReply());
            default -> LOG.log(System.Logger.Level.WARNING, "DAEMON received an unexpected frame from {0}", from);
        }
    }

    private boolean recentlySeen(VmId vm) {
        return gossipService.recentlySeen(vm);
    }

    private ObjectNode status() {
        ObjectNode json = new ObjectMapper().createObjectNode();
        json.put("vm", settings.vm().name());
        json.put("domain", settings.domain().name());
        json.put("replica", groups.identity().toString());
        json.put(
                "configurationVersion", groups.directory().get().configuration().getVersion());
        json.put("draining", draining);
        json.put("openCalls", routing.openCalls());
        json.put("links", network.connectedLinks() + "/" + network.peers().size());
        ObjectNode groupStatus = json.putObject("groups");
        groups.all()
                .forEach((name, group) -> groupStatus
                        .putObject(name)
                        .put("leader", group.leader())
                        .put("commitIndex", group.commitIndex())
                        .put("voters", String.join(" ", group.membership().getVotersList()))
                        .put("learners", String.join(" ", group.membership().getLearnersList())));
        json.putPOJO(
                "entryVms",
                gossipService.alive().keySet().stream().map(VmId::name).toList());
        return json;
    }

    private void registerGauges() {
        metrics.gauge("wasabimount_open_calls", "Calls that wait or run", routing::openCalls);
        metrics.gauge("wasabimount_peer_sent_bytes", "Bytes of frames sent to other daemons", network::sentBytes);
        metrics.gauge(
                "wasabimount_peer_received_bytes", "Bytes of frames taken from other daemons", network::receivedBytes);
        metrics.gauge("wasabimount_http_received_bytes", "Bytes that HTTP clients sent", http::receivedBytes);
        metrics.gauge("wasabimount_http_sent_bytes", "Bytes that HTTP clients were sent", http::sentBytes);
        metrics.gauge("wasabimount_peer_links", "Links to other daemons that are up", network::connectedLinks);
        metrics.gauge(
                "wasabimount_placed_tasks",
                "Tasks that this VM placed while it led the cell",
                () -> groups.cellLeader().placedTasks());
        metrics.gauge(
                "wasabimount_preempted_tasks",
                "Tasks that this VM stopped for urgent work while it led the cell",
                () -> groups.cellLeader().preemptedTasks());
        metrics.gauge("wasabimount_ready", "1 if the balancer may send requests here", () -> ready() ? 1 : 0);
        groups.all().forEach((name, group) -> {
            String suffix = name.replace('-', '_').replace('.', '_');
            metrics.gauge("wasabimount_leads_" + suffix, "1 if this VM leads the group", () -> group.leading() ? 1 : 0);
            metrics.gauge("wasabimount_syncs_" + suffix, "Batches synced to the group's log", group::syncCount);
        });
    }

    private void schedule(Runnable task, long periodMillis) {
        timers.scheduleAtFixedRate(
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        LOG.log(System.Logger.Level.ERROR, "DAEMON periodic task failed", e);
                    }
                },
                periodMillis,
                periodMillis,
                TimeUnit.MILLISECONDS);
    }

    private static PeerTls tls(DaemonSettings.Tls files) throws IOException {
        return new PeerTls(files.certificateFile(), files.keyFile(), files.authorityFile());
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
