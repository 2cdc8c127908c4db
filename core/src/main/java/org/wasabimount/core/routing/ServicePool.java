package org.wasabimount.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;

import org.wasabimount.core.OrganisationId;

/** The servers of one service, the requests that wait for them, and how fast they work. */
final class ServicePool {

    private static final double MAX_EJECTED_SHARE = 0.34;
    private static final double SERVICE_TIME_WEIGHT = 0.05;
    private static final double FIRST_SERVICE_TIME_MILLIS = 10;

    private final FairQueue queue = new FairQueue();
    private final List<BackendServer> servers = new ArrayList<>();
    private double serviceTimeMillis = FIRST_SERVICE_TIME_MILLIS;

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
