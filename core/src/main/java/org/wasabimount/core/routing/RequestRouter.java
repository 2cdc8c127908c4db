package org.wasabimount.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.wasabimount.core.BackendServerId;
import org.wasabimount.core.FailureDomainId;
import org.wasabimount.core.OrganisationId;
import org.wasabimount.core.Refusal;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.VmId;
import org.wasabimount.protocol.peer.BackendAnnouncement;

/**
 * Routes callers' requests on one entry VM.
 *
 * <p>Every routed request ends in exactly one {@link RoutingAction.Deliver} or {@link RoutingAction.GiveUp}.
 */
public final class RequestRouter {

    private static final int MAX_ATTEMPTS = 3;

    /** Number of servers that may end with a request; a request that has ended two would probably end a third. */
    private static final int MAX_CUT_SHORT = 2;

    private static final long NO_SERVER_RETRY_AFTER_MILLIS = 1_000;
    private static final long REMOVE_AFTER_TERMS = 20;
    private static final long MIN_RETRY_AFTER_MILLIS = 100;

    private final VmId self;
    private final RoutingPolicy policy;
    private final Random random;
    private final Map<BackendServerId, BackendServer> servers = new HashMap<>();
    private final Map<PoolKey, ServicePool> pools = new HashMap<>();
    private final Map<OrganisationId, RetryBudget> budgets = new HashMap<>();
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private List<SlotShare.EntryVm> entryVms;
    private Map<OrganisationId, Integer> weights = Map.of();
    private Limits limits = Limits.DEFAULT;
    private List<RoutingAction> actions = new ArrayList<>();
    private long lastAttemptId;
    private int nextChoiceNumber;
    private long lateAnswers;

    /**
     * The limits that the cell's configuration sets.
     *
     * @param queueLimit maximum number of waiting requests of one organisation in one pool
     * @param retryBudgetPercent retries allowed per hundred first attempts
     * @param announcementTermMillis time in milliseconds for which an announcement is valid
     */
    public record Limits(int queueLimit, long retryBudgetPercent, long announcementTermMillis) {

        /** The limits that apply until the configuration is known. */
        public static final Limits DEFAULT = new Limits(200, 10, 3_000);
    }

    private record Attempt(RoutedRequest request, BackendServer server, ServicePool pool, long startedMillis) {}

    /**
     * Creates a router without servers.
     *
     * @param self this entry VM
     * @param domain this entry VM's failure domain
     * @param policy the policy for choosing a server
     * @param seed the seed for the policy's random choices
     */
    public RequestRouter(VmId self, FailureDomainId domain, RoutingPolicy policy, long seed) {
        this.self = self;
        this.policy = policy;
        this.random = new Random(seed);
        this.entryVms = List.of(new SlotShare.EntryVm(self, domain));
    }

    /**
     * Sets the limits.
     *
     * @param newLimits the new limits
     */
    public void configure(Limits newLimits) {
        limits = newLimits;
    }

    /**
     * Sets the organisations' weights. An organisation that is missing has weight 1.
     *
     * @param newWeights the new weights
     */
    public void setWeights(Map<OrganisationId, Integer> newWeights) {
        weights = Map.copyOf(newWeights);
    }

    /**
     * Sets the live entry VMs, including this one, and reassigns the servers' slots.
     *
     * @param alive each live entry VM with its failure domain
     * @param nowMillis monotonic time
     */
    public void entryVms(Map<VmId, FailureDomainId> alive, long nowMillis) {
        entryVms = alive.entrySet().stream()
                .map(entry -> new SlotShare.EntryVm(entry.getKey(), entry.getValue()))
                .toList();
        pools.values().forEach(pool -> assignSlots(pool, nowMillis, true));
    }

    /**
     * Processes a backend server's announcement, received from the server or from another entry VM.
     *
     * @param announcement the announcement, including its age
     * @param nowMillis monotonic time
     */
    public void announce(BackendAnnouncement announcement, long nowMillis) {
        long announcementMillis = nowMillis - announcement.getAgeMillis();
        BackendServerId id = new BackendServerId(announcement.getServer());
        BackendServer server = servers.get(id);
        if (server == null) {
            server = new BackendServer(announcement, announcementMillis);
            servers.put(id, server);
            pool(server.pool()).servers().add(server);
            assignSlots(pool(server.pool()), nowMillis, true);
        } else {
            PoolKey previousPool = server.pool();
            int previousSlots = server.announcement().getSlots();
            server.update(announcement, announcementMillis);
            movePool(server, previousPool);
            boolean resized = previousSlots != server.announcement().getSlots() || !previousPool.equals(server.pool());
            assignSlots(pool(server.pool()), nowMillis, resized);
        }
        dispatch(pool(server.pool()), nowMillis);
    }

    /**
     * Routes a new request. It is sent, queued or refused; {@link #takeActions} returns the resulting actions.
     *
     * @param request the request
     * @param nowMillis monotonic time
     */
    public void route(RoutedRequest request, long nowMillis) {
        Optional<ServicePool> found = findPool(request);
        if (found.isEmpty()
                || found.get()
                        .present(nowMillis, limits.announcementTermMillis())
                        .isEmpty()) {
            giveUp(
                    request,
                    ResultCode.NO_BACKEND_SERVER,
                    "no backend server is available for the service",
                    NO_SERVER_RETRY_AFTER_MILLIS);
            return;
        }
        ServicePool pool = found.get();
        if (policy.usesAdmissionControl()) {
            admit(request, pool, nowMillis);
        } else {
            sendWithoutAdmission(request, pool, nowMillis);
        }
    }

    /**
     * Processes the end of an attempt.
     *
     * @param attemptId the attempt's number; if the attempt is not open, the result is a late response and is ignored
     * @param result the result of the attempt
     * @param nowMillis monotonic time
     * @return true if the attempt was open, so that its response may be used
     */
    public boolean attemptFinished(long attemptId, AttemptResult result, long nowMillis) {
        Attempt attempt = attempts.remove(attemptId);
        if (attempt == null) {
            lateAnswers++;
            return false;
        }
        long tookMillis = nowMillis - attempt.startedMillis();
        attempt.server()
                .attemptFinished(result, tookMillis, nowMillis, attempt.pool().mayEject(nowMillis));
        if (!result.failure()) {
            attempt.pool().recordResponse(tookMillis);
        } else if (result == AttemptResult.TIMED_OUT) {
            attempt.pool().recordTimeout(tookMillis);
        }
        handleResult(attempt, result, nowMillis);
        dispatch(attempt.pool(), nowMillis);
        return true;
    }

    /**
     * Performs time-based work: refuses requests whose deadline has passed, removes servers that have not been
     * announced for several announcement terms, and updates the assignment of slots.
     *
     * @param nowMillis monotonic time
     */
    public void tick(long nowMillis) {
        long removeBeforeMillis = nowMillis - REMOVE_AFTER_TERMS * limits.announcementTermMillis();
        List<BackendServer> expiredServers = servers.values().stream()
                .filter(server -> server.announcedMillis() < removeBeforeMillis && server.inFlight() == 0)
                .toList();
        expiredServers.forEach(server -> {
            servers.remove(server.id());
            pool(server.pool()).servers().remove(server);
        });
        pools.values().forEach(pool -> {
            assignSlots(pool, nowMillis, false);
            dispatch(pool, nowMillis);
        });
    }

    /**
     * Returns and clears the actions decided since the last call.
     *
     * @return the actions, in order
     */
    public List<RoutingAction> takeActions() {
        List<RoutingAction> takenActions = actions;
        actions = new ArrayList<>();
        return takenActions;
    }

    /**
     * Returns how many results were received for attempts that were no longer open.
     *
     * @return the count since the start
     */
    public long lateAnswers() {
        return lateAnswers;
    }

    /**
     * Returns how many requests are waiting or in flight.
     *
     * @return the count
     */
    public long openRequests() {
        long waiting = pools.values().stream()
                .mapToLong(pool -> pool.queue().active().stream()
                        .mapToLong(pool.queue()::size)
                        .sum())
                .sum();
        return waiting + attempts.size();
    }

    private Optional<ServicePool> findPool(RoutedRequest request) {
        ServicePool own = pools.get(new PoolKey(request.organisation(), request.service()));
        return own != null && !own.servers().isEmpty()
                ? Optional.of(own)
                : Optional.ofNullable(pools.get(new PoolKey(null, request.service())));
    }

    private ServicePool pool(PoolKey key) {
        return pools.computeIfAbsent(key, absent -> new ServicePool());
    }

    private void movePool(BackendServer server, PoolKey previousPool) {
        if (!previousPool.equals(server.pool())) {
            pool(previousPool).servers().remove(server);
            pool(server.pool()).servers().add(server);
        }
    }

    private void assignSlots(ServicePool pool, long nowMillis, boolean force) {
        pool.assignSlots(self, entryVms, nowMillis, limits.announcementTermMillis(), force);
    }

    private void admit(RoutedRequest request, ServicePool pool, long nowMillis) {
        budget(request).recordFirstAttempt(limits.retryBudgetPercent());
        double expectedWaitMillis = pool.expectedWaitMillis(
                request.organisation(), this::weight, nowMillis, limits.announcementTermMillis());
        long retryAfterMillis = Double.isInfinite(expectedWaitMillis)
                ? NO_SERVER_RETRY_AFTER_MILLIS
                : Math.max(MIN_RETRY_AFTER_MILLIS, (long) expectedWaitMillis);
        if (pool.queue().size(request.organisation()) >= limits.queueLimit()) {
            giveUp(
                    request,
                    ResultCode.QUEUE_FULL,
                    "the organisation's queue for the service is full",
                    retryAfterMillis);
            return;
        }
        if (nowMillis + expectedWaitMillis + pool.serviceTimeMillis() > request.deadlineMillis()) {
            giveUp(
                    request,
                    ResultCode.DEADLINE_UNREACHABLE,
                    "the request is not expected to complete before its deadline",
                    retryAfterMillis);
            return;
        }
        pool.queue().add(request, weight(request.organisation()));
        dispatch(pool, nowMillis);
    }

    private void sendWithoutAdmission(RoutedRequest request, ServicePool pool, long nowMillis) {
        policy.choose(pool.present(nowMillis, limits.announcementTermMillis()), request, choiceContext(nowMillis))
                .ifPresent(server -> send(request, server, pool, nowMillis));
    }

    private void dispatch(ServicePool pool, long nowMillis) {
        giveUpExpired(pool, nowMillis);
        if (pool.queue().isEmpty()) {
            return;
        }
        List<BackendServer> present = pool.present(nowMillis, limits.announcementTermMillis());
        Optional<RoutedRequest> next = pool.queue().peek();
        while (next.isPresent()) {
            Optional<BackendServer> server = policy.choose(present, next.get(), choiceContext(nowMillis));
            if (server.isEmpty()) {
                return;
            }
            pool.queue().remove(next.get());
            send(next.get(), server.get(), pool, nowMillis);
            next = pool.queue().peek();
        }
    }

    private void giveUpExpired(ServicePool pool, long nowMillis) {
        Optional<RoutedRequest> expired = pool.queue().removeExpired(nowMillis);
        while (expired.isPresent()) {
            ResultCode code = expired.get().mayHaveRun() ? ResultCode.ANSWER_LATE : ResultCode.DEADLINE_PASSED;
            giveUp(expired.get(), code, "the deadline passed while the request was queued", MIN_RETRY_AFTER_MILLIS);
            expired = pool.queue().removeExpired(nowMillis);
        }
    }

    private void send(RoutedRequest request, BackendServer server, ServicePool pool, long nowMillis) {
        request.recordDispatch(server);
        server.attemptStarted();
        lastAttemptId++;
        attempts.put(lastAttemptId, new Attempt(request, server, pool, nowMillis));
        long remainingMillis = Math.max(1, request.deadlineMillis() - nowMillis);
        boolean useAttemptTimeout = policy.usesAdmissionControl() && request.repeatable();
        actions.add(new RoutingAction.Dispatch(
                request,
                lastAttemptId,
                server.id(),
                server.announcement().getAddress(),
                useAttemptTimeout ? Math.min(remainingMillis, pool.attemptTimeoutMillis()) : remainingMillis));
    }

    private void handleResult(Attempt attempt, AttemptResult result, long nowMillis) {
        RoutedRequest request = attempt.request();
        request.recordAttempt(result);
        if (!result.failure()) {
            actions.add(new RoutingAction.Deliver(request));
            return;
        }
        boolean safeToRetry = request.repeatable() || !result.mayHaveRun();
        boolean enoughTimeLeft = nowMillis + attempt.pool().serviceTimeMillis() < request.deadlineMillis();
        boolean otherServerPresent = attempt.pool()
                        .present(nowMillis, limits.announcementTermMillis())
                        .size()
                > 1;
        boolean retryAllowed = policy.usesAdmissionControl()
                && safeToRetry
                && enoughTimeLeft
                && otherServerPresent
                && request.attempts() < MAX_ATTEMPTS
                && request.cutShort() < MAX_CUT_SHORT;
        boolean retry = retryAllowed && budget(request).tryTakeToken();
        if (retry) {
            attempt.pool().queue().requeue(request);
        } else if (result.hasResponse()) {
            actions.add(new RoutingAction.Deliver(request));
        } else {
            ResultCode code = request.mayHaveRun() && !result.mayHaveRun() ? ResultCode.ANSWER_LOST : result.code();
            boolean retryBudgetSpent = retryAllowed && request.mayHaveRun();
            giveUp(
                    request,
                    retryBudgetSpent ? ResultCode.RETRY_BUDGET_SPENT : code,
                    "no complete response was received from the backend server",
                    MIN_RETRY_AFTER_MILLIS);
        }
    }

    private void giveUp(RoutedRequest request, ResultCode code, String detail, long retryAfterMillis) {
        long suggestedRetryAfterMillis = code.retryable() ? retryAfterMillis : 0;
        actions.add(new RoutingAction.GiveUp(request, new Refusal(code, detail, suggestedRetryAfterMillis)));
    }

    private RetryBudget budget(RoutedRequest request) {
        return budgets.computeIfAbsent(request.organisation(), absent -> new RetryBudget());
    }

    private RoutingPolicy.ChoiceContext choiceContext(long nowMillis) {
        return new RoutingPolicy.ChoiceContext(nowMillis, nextChoiceNumber++, random);
    }

    private int weight(OrganisationId organisation) {
        return weights.getOrDefault(organisation, 1);
    }
}
