package org.wasabimount.core.placement;

import java.util.HashMap;
import java.util.Map;

import org.wasabimount.core.FailureDomainId;
import org.wasabimount.core.cell.DeclaredResource;
import org.wasabimount.core.cell.WorkKind;
import org.wasabimount.core.cell.Worker;

/** The number of tasks of one service on each domain, rack and worker; empty for other kinds of work. */
final class Spread {

    private static final double DOMAIN_WEIGHT = 10_000;
    private static final double RACK_WEIGHT = 100;
    private static final double WORKER_WEIGHT = 10;

    private final Map<FailureDomainId, Integer> byDomain = new HashMap<>();
    private final Map<String, Integer> byRack = new HashMap<>();
    private final Map<Worker, Integer> byWorker = new HashMap<>();

    static Spread of(DeclaredResource resource) {
        Spread spread = new Spread();
        if (resource.kind() != WorkKind.SERVICE) {
            return spread;
        }
        resource.tasks().stream().filter(task -> task.worker() != null).forEach(task -> spread.add(task.worker()));
        return spread;
    }

    void add(Worker worker) {
        byDomain.merge(worker.domain(), 1, Integer::sum);
        byRack.merge(worker.rack(), 1, Integer::sum);
        byWorker.merge(worker, 1, Integer::sum);
    }

    /** Returns the penalty for placing another task of the service on the worker; shared domains weigh the most. */
    double colocationPenalty(Worker worker) {
        return byDomain.getOrDefault(worker.domain(), 0) * DOMAIN_WEIGHT
                + byRack.getOrDefault(worker.rack(), 0) * RACK_WEIGHT
                + byWorker.getOrDefault(worker, 0) * WORKER_WEIGHT;
    }
}
