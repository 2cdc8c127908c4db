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

/** Drives the request router on a thread of its own, fed by a bounded ring. */
public final class RoutingThread {

    private static final System.Logger LOG = System.getLogger("wasabimount.routing");
    private static final int RING_SLOTS = 8_192;
    private static final long FULL_RETRY_AFTER_MILLIS = 200;

    private final RequestRouter router;
    private final HttpClient client;
    private final Clock clock;
    private final DaemonMetrics metrics;
    private final TaskRing ring;
    private final Map<Long, OpenCall> calls = new HashMap<>();
    private final Map<String, Heard> heardHere = new LinkedHashMap<>();
    private long nextId;
    private long lateAnswers;
    private volatile long openCalls;

    private record Heard(BackendAnnouncement announcement, long sinceMillis) {}

    /** A call with the answer of its last attempt. */
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
     * Creates the thread; {@link #start} starts it.
     *
     * @param router decides
     * @param client talks to backend servers
     * @param clock monotonic time
     * @param metrics counts
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

    /** Stops the thread after what is in the ring. */
    public void stop() {
        ring.stop();
    }

    /**
     * Routes a request.
     *
     * @param request the request
     * @return completed with the whole answer of a backend server or with the reason why there is none
     */
    public CompletableFuture<Either<Refusal, HttpResponse>> call(CallRequest request) {
        CompletableFuture<Either<Refusal, HttpResponse>> result = new CompletableFuture<>();
        boolean taken = submit(() -> begin(request, result));
        if (!taken) {
            result.complete(Either.left(
                    new Refusal(ResultCode.QUEUE_FULL, "the entry VM is overloaded", FULL_RETRY_AFTER_MILLIS)));
        }
        return result;
    }

    /**
     * Takes an announcement that a backend server made here; it is passed on by {@link #takeLocalAnnouncements}.
     *
     * @param announcement the announcement
     */
    public void localAnnouncementReceived(BackendAnnouncement announcement) {
        submit(() -> {
            heardHere.put(announcement.getServer(), new Heard(announcement, clock.millis()));
            router.announce(announcement, clock.millis());
        });
    }

    /**
     * Takes announcements that were made at another entry VM.
     *
     * @param announcements the announcements with their ages
     */
    public void forwardedAnnouncementsReceived(List<BackendAnnouncement> announcements) {
        submit(() -> announcements.forEach(announcement -> router.announce(announcement, clock.millis())));
    }

    /**
     * Takes the announcements made here since the last call, with their ages.
     *
     * @return completed with the announcements
     */
    public CompletableFuture<List<BackendAnnouncement>> takeLocalAnnouncements() {
        CompletableFuture<List<BackendAnnouncement>> taken = new CompletableFuture<>();
        boolean submitted = submit(() -> {
            List<BackendAnnouncement> announcements = new ArrayList<>();
            heardHere
                    .values()
                    .forEach(heard -> announcements.add(heard.announcement().toBuilder()
                            .setAgeMillis(clock.millis() - heard.sinceMillis())
                            .build()));
            heardHere.clear();
            taken.complete(announcements);
        });
        if (!submitted) {
            taken.complete(List.of());
        }
        return taken;
    }

    /**
     * Takes a new directory of the cell.
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
     * Takes the entry VMs that are alive.
     *
     * @param alive the VMs with their domains, this one included
     */
    public void entryVms(Map<VmId, FailureDomainId> alive) {
        submit(() -> router.entryVms(alive, clock.millis()));
    }

    /** Lets time pass. */
    public void tick() {
        submit(() -> router.tick(clock.millis()));
    }

    /**
     * Returns how many calls wait or run.
     *
     * @return the count as last seen
     */
    public long openCalls() {
        return openCalls;
    }

    private void handle(Runnable task, boolean endOfBatch) {
        try {
            task.run();
            router.takeActions().forEach(this::carryOut);
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "ROUTE an event failed", e);
        }
        openCalls = calls.size();
    }

    private boolean submit(Runnable task) {
        return ring.submit(task);
    }

    private void begin(CallRequest request, CompletableFuture<Either<Refusal, HttpResponse>> result) {
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

    private void carryOut(RoutingAction action) {
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
                .thenAccept(result -> report(dispatch, call, result));
    }

    private void report(RoutingAction.Dispatch dispatch, OpenCall call, HttpResult ended) {
        AttemptResult result = result(ended);
        Runnable task = () -> {
            if (result.failure()) {
                metrics.attemptFailed(result);
            }
            call.response = ended.response();
            router.attemptFinished(dispatch.attempt(), result, clock.millis());
            metrics.lateAnswers(router.lateAnswers() - lateAnswers);
            lateAnswers = router.lateAnswers();
        };
        // The end of an attempt must not be lost, so this waits for a free place.
        ring.submitOrWait(task);
    }

    private static AttemptResult result(HttpResult ended) {
        return switch (ended.outcome()) {
            case ANSWERED ->
                ended.response().status() >= StatusCodes.INTERNAL_SERVER_ERROR
                        ? AttemptResult.SERVER_ERROR
                        : AttemptResult.ANSWERED;
            case NOT_SENT -> AttemptResult.NOT_SENT;
            case CUT_SHORT -> AttemptResult.CUT_SHORT;
            case TIMED_OUT -> AttemptResult.TIMED_OUT;
        };
    }
}
