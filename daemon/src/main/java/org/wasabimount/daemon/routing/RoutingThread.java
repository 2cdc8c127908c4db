package org.wasabimount.daemon.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.wasabimount.client.HttpClient;
import org.wasabimount.client.HttpResponse;
import org.wasabimount.client.HttpResult;
import org.wasabimount.core.Clock;
import org.wasabimount.core.FailureDomainId;
import org.wasabimount.core.Refusal;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.VmId;
import org.wasabimount.core.cell.ConfigurationKey;
import org.wasabimount.core.routing.AttemptResult;
import org.wasabimount.core.routing.RequestRouter;
import org.wasabimount.core.routing.RoutedRequest;
import org.wasabimount.core.routing.RoutingAction;
import org.wasabimount.daemon.cell.Directory;
import org.wasabimount.daemon.metrics.DaemonMetrics;
import org.wasabimount.daemon.ring.TaskRing;
import org.wasabimount.protocol.peer.BackendAnnouncement;

import io.undertow.util.StatusCodes;
import io.vavr.control.Either;

/** Runs the request router on a dedicated thread, which takes its tasks from a bounded ring buffer. */
public final class RoutingThread {

    private static final System.Logger LOG = System.getLogger("wasabimount.routing");
    private static final int RING_SLOTS = 8_192;
    private static final long QUEUE_FULL_RETRY_AFTER_MILLIS = 200;

    private final RequestRouter router;
    private final HttpClient client;
    private final Clock clock;
    private final DaemonMetrics metrics;
    private final TaskRing ring;
    private final Map<Long, OpenCall> calls = new HashMap<>();
    private final Map<String, ReceivedAnnouncement> localAnnouncements = new LinkedHashMap<>();
    private long nextId;
    private long lateAnswers;
    private volatile long openCalls;

    private record ReceivedAnnouncement(BackendAnnouncement announcement, long receivedMillis) {}

    /** A call that has not ended, with the response to its last attempt. */
    private static final class OpenCall {
        private final CallRequest request;
        private final CompletableFuture<Either<Refusal, HttpResponse>> result;
        private HttpResponse response;

        OpenCall(CallRequest request, CompletableFuture<Either<Refusal, HttpResponse>> result) {
            this.request = request;
            this.result = result;
        }
    }

    /**
     * Creates the thread without starting it; see {@link #start}.
     *
     * @param router makes the routing decisions
     * @param client sends requests to backend servers
     * @param clock the monotonic clock
     * @param metrics records refusals, retries, failed attempts and waiting times
     */
    public RoutingThread(RequestRouter router, HttpClient client, Clock clock, DaemonMetrics metrics) {
        this.router = router;
        this.client = client;
        this.clock = clock;
        this.metrics = metrics;
        this.ring = new TaskRing("routing", RING_SLOTS, this::handle);
    }

    /** Starts the thread. */
    public void start() {
        ring.start();
    }

    /** Stops the thread after it has run the tasks that are in the ring buffer. */
    public void stop() {
        ring.stop();
    }

    /**
     * Routes a request.
     *
     * @param request the request
     * @return a future that completes with a backend server's complete response, or with the reason of the refusal
     */
    public CompletableFuture<Either<Refusal, HttpResponse>> call(CallRequest request) {
        CompletableFuture<Either<Refusal, HttpResponse>> result = new CompletableFuture<>();
        boolean taken = submit(() -> startRouting(request, result));
        if (!taken) {
            result.complete(Either.left(
                    new Refusal(ResultCode.QUEUE_FULL, "the entry VM is overloaded", QUEUE_FULL_RETRY_AFTER_MILLIS)));
        }
        return result;
    }

    /**
     * Handles an announcement that a backend server sent to this VM; {@link #takeLocalAnnouncements} returns it for the
     * other entry VMs.
     *
     * @param announcement the announcement
     */
    public void localAnnouncementReceived(BackendAnnouncement announcement) {
        submit(() -> {
            localAnnouncements.put(announcement.getServer(), new ReceivedAnnouncement(announcement, clock.millis()));
            router.announce(announcement, clock.millis());
        });
    }

    /**
     * Handles announcements that backend servers sent to another entry VM.
     *
     * @param announcements the announcements, each with its age
     */
    public void forwardedAnnouncementsReceived(List<BackendAnnouncement> announcements) {
        submit(() -> announcements.forEach(announcement -> router.announce(announcement, clock.millis())));
    }

    /**
     * Removes and returns the announcements that this VM received since the last call, each with its age.
     *
     * @return a future that completes with the announcements, empty if the ring buffer is full
     */
    public CompletableFuture<List<BackendAnnouncement>> takeLocalAnnouncements() {
        CompletableFuture<List<BackendAnnouncement>> taken = new CompletableFuture<>();
        boolean submitted = submit(() -> {
            List<BackendAnnouncement> announcements = new ArrayList<>();
            localAnnouncements
                    .values()
                    .forEach(received -> announcements.add(received.announcement().toBuilder()
                            .setAgeMillis(clock.millis() - received.receivedMillis())
                            .build()));
            localAnnouncements.clear();
            taken.complete(announcements);
        });
        if (!submitted) {
            taken.complete(List.of());
        }
        return taken;
    }

    /**
     * Applies the weights and limits of the configuration in a new directory of the cell.
     *
     * @param directory the directory
     */
    public void configure(Directory directory) {
        submit(() -> {
            router.setWeights(directory.weights());
            router.configure(new RequestRouter.Limits(
                    Math.toIntExact(directory.read(ConfigurationKey.QUEUE_LIMIT)),
                    directory.read(ConfigurationKey.RETRY_BUDGET),
                    directory.read(ConfigurationKey.ANNOUNCEMENT_TERM)));
        });
    }

    /**
     * Sets the entry VMs that are alive.
     *
     * @param alive the VMs with their failure domains, including this one
     */
    public void entryVms(Map<VmId, FailureDomainId> alive) {
        submit(() -> router.entryVms(alive, clock.millis()));
    }

    /** Performs the time-based work of the router; called periodically. */
    public void tick() {
        submit(() -> router.tick(clock.millis()));
    }

    /**
     * Returns the number of calls that wait or run.
     *
     * @return the count after the last task of the routing thread
     */
    public long openCalls() {
        return openCalls;
    }

    private void handle(Runnable task, boolean endOfBatch) {
        try {
            task.run();
            router.takeActions().forEach(this::execute);
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "ROUTE task failed", e);
        }
        openCalls = calls.size();
    }

    private boolean submit(Runnable task) {
        return ring.submit(task);
    }

    private void startRouting(CallRequest request, CompletableFuture<Either<Refusal, HttpResponse>> result) {
        nextId++;
        calls.put(nextId, new OpenCall(request, result));
        RoutedRequest routed = new RoutedRequest(
                nextId,
                request.organisation(),
                request.service(),
                request.repeatable(),
                clock.millis(),
                request.deadlineMillis());
        router.route(routed, clock.millis());
    }

    private void execute(RoutingAction action) {
        OpenCall call = calls.get(action.request().id());
        if (action instanceof RoutingAction.Dispatch dispatch) {
            dispatch(dispatch, call);
            return;
        }
        calls.remove(action.request().id());
        if (action instanceof RoutingAction.GiveUp giveUp) {
            metrics.requestRefused(giveUp.refusal().code());
            call.result.complete(Either.left(giveUp.refusal()));
        } else {
            call.result.complete(Either.right(call.response));
        }
    }

    private void dispatch(RoutingAction.Dispatch dispatch, OpenCall call) {
        if (dispatch.request().attempts() == 1) {
            metrics.requestWaited(clock.millis() - dispatch.request().arrivedMillis());
        } else {
            metrics.requestRetried();
        }
        CallRequest request = call.request;
        client.send(dispatch.address(), request.toMessage(), dispatch.timeoutMillis(), request.repeatable())
                .thenAccept(result -> reportResult(dispatch, call, result));
    }

    private void reportResult(RoutingAction.Dispatch dispatch, OpenCall call, HttpResult httpResult) {
        AttemptResult result = result(httpResult);
        Runnable task = () -> {
            if (result.failure()) {
                metrics.attemptFailed(result);
            }
            call.response = httpResult.response();
            router.attemptFinished(dispatch.attempt(), result, clock.millis());
            metrics.lateAnswers(router.lateAnswers() - lateAnswers);
            lateAnswers = router.lateAnswers();
        };
        // The result of an attempt must not be lost, so this waits until the ring buffer has a free slot.
        ring.submitOrWait(task);
    }

    private static AttemptResult result(HttpResult httpResult) {
        return switch (httpResult.outcome()) {
            case ANSWERED ->
                httpResult.response().status() >= StatusCodes.INTERNAL_SERVER_ERROR
                        ? AttemptResult.SERVER_ERROR
                        : AttemptResult.ANSWERED;
            case NOT_SENT, CHECK_FAILED -> AttemptResult.NOT_SENT;
            case CUT_SHORT -> AttemptResult.CUT_SHORT;
            case TIMED_OUT -> AttemptResult.TIMED_OUT;
        };
    }
}
