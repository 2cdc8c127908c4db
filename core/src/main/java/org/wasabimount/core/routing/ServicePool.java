package org.wasabimount.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;

import org.wasabimount.core.FailureDomainId;
import org.wasabimount.core.OrganisationId;
import org.wasabimount.core.VmId;

/** The servers of one service, the requests that wait for them, and how fast they work. */
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

    List<BackendServer> present(long nowMillis, long termMillis) {
        return servers.stream()
                .filter(server -> server.present(nowMillis, termMillis))
                .toList();
    }

    double serviceTimeMillis() {
        return serviceTimeMillis;
    }

    void recordResponse(long tookMillis) {
        serviceTimeMillis += SERVICE_TIME_SMOOTHING * (Math.max(1, tookMillis) - serviceTimeMillis);
        attemptTimeoutFloorMillis =
                Math.max(MIN_ATTEMPT_TIMEOUT_MILLIS, ATTEMPT_TIMEOUT_DECAY * attemptTimeoutFloorMillis);
    }

    /** Notes a try that was ended: the service may be slower than any answer so far has shown. */
    void recordTimeout(long tookMillis) {
        attemptTimeoutFloorMillis =
                Math.min(MAX_ATTEMPT_TIMEOUT_MILLIS, Math.max(attemptTimeoutFloorMillis, 2.0 * tookMillis));
    }

    /** Returns after how long a try is ended so that another server can be tried. */
    long attemptTimeoutMillis() {
        return (long) Math.max(attemptTimeoutFloorMillis, ATTEMPT_TIMEOUT_FACTOR * serviceTimeMillis);
    }

    /** Divides the slots of the present servers anew if the domains that have one changed, or if told to. */
    void assignSlots(VmId self, List<SlotShare.EntryVm> entryVms, long nowMillis, long termMillis, boolean force) {
        Set<FailureDomainId> domains = present(nowMillis, termMillis).stream()
                .map(BackendServer::domain)
                .collect(Collectors.toSet());
        if (force || !domains.equals(assignedDomains)) {
            assignedDomains = domains;
            servers.forEach(server -> server.assignSlots(SlotShare.share(server, self, entryVms, domains)));
        }
    }

    boolean mayEject(long nowMillis) {
        long ejected =
                servers.stream().filter(server -> server.ejected(nowMillis)).count();
        return ejected + 1 <= Math.max(1, servers.size() * MAX_EJECTED_SHARE);
    }

    /**
     * Estimates how long a new request of an organisation would wait for a slot, when every organisation with waiting
     * requests gets its share by weight.
     */
    double expectedWaitMillis(
            OrganisationId organisation, ToIntFunction<OrganisationId> weights, long nowMillis, long term) {
        int slots = 0;
        for (BackendServer server : servers) {
            if (server.present(nowMillis, term)) {
                if (server.freeSlots(nowMillis) > 0 && queue.isEmpty()) {
                    return 0;
                }
                slots += server.ejected(nowMillis) ? 0 : server.slotShare();
            }
        }
        int ownWeight = weights.applyAsInt(organisation);
        int totalWeight = ownWeight;
        for (OrganisationId active : queue.active()) {
            totalWeight += active.equals(organisation) ? 0 : weights.applyAsInt(active);
        }
        double ownShareOfSlots = Math.max(1, slots) * (double) ownWeight / totalWeight;
        return (queue.size(organisation) + 1) * serviceTimeMillis / ownShareOfSlots;
    }
}
