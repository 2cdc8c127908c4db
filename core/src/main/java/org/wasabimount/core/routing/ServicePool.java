package org.wasabimount.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;

import org.wasabimount.core.FailureDomainId;
import org.wasabimount.core.OrganisationId;
import org.wasabimount.core.VmId;

/** The servers of one service, the requests that wait for them, and the estimated service time. */
final class ServicePool {

    private static final double MAX_EJECTED_SHARE = 0.34;
    private static final double SERVICE_TIME_SMOOTHING = 0.05;
    private static final double INITIAL_SERVICE_TIME_MILLIS = 10;
    private static final double MIN_ATTEMPT_TIMEOUT_MILLIS = 1_000;
    private static final double MAX_ATTEMPT_TIMEOUT_MILLIS = 600_000;
    private static final double ATTEMPT_TIMEOUT_FACTOR = 10;
    private static final double ATTEMPT_TIMEOUT_DECAY = 0.95;

    private final FairQueue queue = new FairQueue();
    private final List<BackendServer> servers = new ArrayList<>();
    private double serviceTimeMillis = INITIAL_SERVICE_TIME_MILLIS;
    private double attemptTimeoutFloorMillis = MIN_ATTEMPT_TIMEOUT_MILLIS;
    private Set<FailureDomainId> assignedDomains = Set.of();

    FairQueue queue() {
        return queue;
    }

    List<BackendServer> servers() {
        return servers;
    }

    /** Returns the servers that are not leaving and were announced within the announcement term. */
    List<BackendServer> present(long nowMillis, long termMillis) {
        return servers.stream()
                .filter(server -> server.present(nowMillis, termMillis))
                .toList();
    }

    /** Returns the moving average of the time that a successful attempt takes. */
    double serviceTimeMillis() {
        return serviceTimeMillis;
    }

    /** Records a successful attempt: updates the service time and lowers the floor of the attempt timeout. */
    void recordResponse(long tookMillis) {
        serviceTimeMillis += SERVICE_TIME_SMOOTHING * (Math.max(1, tookMillis) - serviceTimeMillis);
        attemptTimeoutFloorMillis =
                Math.max(MIN_ATTEMPT_TIMEOUT_MILLIS, ATTEMPT_TIMEOUT_DECAY * attemptTimeoutFloorMillis);
    }

    /**
     * Records an attempt that timed out: the service may be slower than any response so far has shown, so the floor of
     * the attempt timeout rises to twice the time of this attempt.
     */
    void recordTimeout(long tookMillis) {
        attemptTimeoutFloorMillis =
                Math.min(MAX_ATTEMPT_TIMEOUT_MILLIS, Math.max(attemptTimeoutFloorMillis, 2.0 * tookMillis));
    }

    /** Returns the time after which an attempt is ended so that the request can be retried on another server. */
    long attemptTimeoutMillis() {
        return (long) Math.max(attemptTimeoutFloorMillis, ATTEMPT_TIMEOUT_FACTOR * serviceTimeMillis);
    }

    /** Reassigns the servers' slots if the set of domains with a present server has changed, or if forced. */
    void assignSlots(VmId self, List<SlotShare.EntryVm> entryVms, long nowMillis, long termMillis, boolean force) {
        Set<FailureDomainId> domains = present(nowMillis, termMillis).stream()
                .map(BackendServer::domain)
                .collect(Collectors.toSet());
        if (force || !domains.equals(assignedDomains)) {
            assignedDomains = domains;
            servers.forEach(server -> server.assignSlots(SlotShare.share(server, self, entryVms, domains)));
        }
    }

    /** Returns whether one more server may be ejected without exceeding the largest ejected share of the pool. */
    boolean mayEject(long nowMillis) {
        long ejected =
                servers.stream().filter(server -> server.ejected(nowMillis)).count();
        return ejected + 1 <= Math.max(1, servers.size() * MAX_EJECTED_SHARE);
    }

    /**
     * Estimates how long a new request of an organisation would wait for a slot, assuming that the slots are shared by
     * weight among all organisations with waiting requests.
     *
     * @return the time in milliseconds; infinite if no slot of a present server is allotted to this entry VM
     */
    double expectedWaitMillis(
            OrganisationId organisation, ToIntFunction<OrganisationId> weights, long nowMillis, long term) {
        int slots = 0;
        long readmissionMillis = Long.MAX_VALUE;
        for (BackendServer server : servers) {
            if (server.present(nowMillis, term)) {
                if (server.freeSlots(nowMillis) > 0 && queue.isEmpty()) {
                    return 0;
                }
                if (!server.ejected(nowMillis)) {
                    slots += server.slotShare();
                } else if (server.slotShare() > 0) {
                    readmissionMillis = Math.min(readmissionMillis, server.ejectedUntilMillis());
                }
            }
        }
        if (slots == 0 && readmissionMillis == Long.MAX_VALUE) {
            return Double.POSITIVE_INFINITY;
        }
        long ejectedMillis = slots == 0 ? readmissionMillis - nowMillis : 0;
        int ownWeight = weights.applyAsInt(organisation);
        int totalWeight = ownWeight;
        for (OrganisationId active : queue.active()) {
            totalWeight += active.equals(organisation) ? 0 : weights.applyAsInt(active);
        }
        double ownShareOfSlots = Math.max(1, slots) * (double) ownWeight / totalWeight;
        return ejectedMillis + (queue.size(organisation) + 1) * serviceTimeMillis / ownShareOfSlots;
    }
}
