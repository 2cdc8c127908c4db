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
    private static final double SERVICE_TIME_WEIGHT = 0.05;
    private static final double FIRST_SERVICE_TIME_MILLIS = 10;
    private static final double MIN_TRY_MILLIS = 1_000;
    private static final double MAX_TRY_MILLIS = 600_000;
    private static final double TRY_FACTOR = 10;
    private static final double TRY_DECAY = 0.95;

    private final FairQueue queue = new FairQueue();
    private final List<BackendServer> servers = new ArrayList<>();
    private double serviceTimeMillis = FIRST_SERVICE_TIME_MILLIS;
    private double tryFloorMillis = MIN_TRY_MILLIS;
    private Set<FailureDomainId> sharedDomains = Set.of();

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

    void answered(long tookMillis) {
        serviceTimeMillis += SERVICE_TIME_WEIGHT * (Math.max(1, tookMillis) - serviceTimeMillis);
        tryFloorMillis = Math.max(MIN_TRY_MILLIS, TRY_DECAY * tryFloorMillis);
    }

    /** Notes a try that was ended: the service may be slower than any answer so far has shown. */
    void timedOut(long tookMillis) {
        tryFloorMillis = Math.min(MAX_TRY_MILLIS, Math.max(tryFloorMillis, 2.0 * tookMillis));
    }

    /** Returns after how long a try is ended so that another server can be tried. */
    long tryMillis() {
        return (long) Math.max(tryFloorMillis, TRY_FACTOR * serviceTimeMillis);
    }

    /** Divides the slots of the present servers anew if the domains that have one changed, or if told to. */
    void shareSlots(VmId self, List<SlotShare.EntryVm> entryVms, long nowMillis, long termMillis, boolean always) {
        Set<FailureDomainId> domains = present(nowMillis, termMillis).stream()
                .map(BackendServer::domain)
                .collect(Collectors.toSet());
        if (always || !domains.equals(sharedDomains)) {
            sharedDomains = domains;
            servers.forEach(server -> server.shareSlots(SlotShare.share(server, self, entryVms, domains)));
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
    double waitMillis(OrganisationId organisation, ToIntFunction<OrganisationId> weights, long nowMillis, long term) {
        int slots = 0;
        for (BackendServer server : servers) {
            if (server.present(nowMillis, term)) {
                if (server.freeSlots(nowMillis) > 0 && queue.isEmpty()) {
                    return 0;
                }
                slots += server.ejected(nowMillis) ? 0 : server.slotShare();
            }
        }
        int own = weights.applyAsInt(organisation);
        int all = own;
        for (OrganisationId active : queue.active()) {
            all += active.equals(organisation) ? 0 : weights.applyAsInt(active);
        }
        double slotsOfOwn = Math.max(1, slots) * (double) own / all;
        return (queue.size(organisation) + 1) * serviceTimeMillis / slotsOfOwn;
    }
}
