package org.wasabimount.core.placement;

import java.util.List;
import java.util.Random;

import org.wasabimount.core.cell.DeclaredResource;
import org.wasabimount.core.cell.WorkKind;

/** The ways to choose among the workers that have room for a task. */
public enum PlacementPolicy {
    /** Spreads services over domains and racks; packs all else where the least is wasted in any dimension. */
    SPREAD_AND_PACK {
        @Override
        WorkerView choose(List<WorkerView> views, DeclaredResource resource, Demand demand) {
            boolean hasFailures = resource.hasFailures();
            boolean service = resource.kind() == WorkKind.SERVICE;
            WorkerView best = null;
            double bestScore = Double.MAX_VALUE;
            for (WorkerView view : views) {
                if (!eligible(view, resource, demand)) {
                    continue;
                }
                double score = view.waste(resource.taskSize());
                if (service) {
                    score += demand.spread().crowding(view.worker());
                }
                if (hasFailures && resource.hasFailedOn(view.worker())) {
                    score += FAILED_BEFORE_PENALTY;
                }
                if (score < bestScore) {
                    bestScore = score;
                    best = view;
                }
            }
            return best;
        }
    },
    /** Takes the first worker with room. */
    FIRST_FIT {
        @Override
        WorkerView choose(List<WorkerView> views, DeclaredResource resource, Demand demand) {
            return views.stream()
                    .filter(view -> demand.fits(view, resource))
                    .findFirst()
                    .orElse(null);
        }
    },
    /** Takes the worker with the fewest processors left over. */
    BEST_FIT_CPU {
        @Override
        WorkerView choose(List<WorkerView> views, DeclaredResource resource, Demand demand) {
            WorkerView best = null;
            for (WorkerView view : views) {
                boolean better = best == null || view.cpuLeft(resource.taskSize()) < best.cpuLeft(resource.taskSize());
                if (demand.fits(view, resource) && better) {
                    best = view;
                }
            }
            return best;
        }
    },
    /** Takes any worker with room. */
    RANDOM {
        @Override
        WorkerView choose(List<WorkerView> views, DeclaredResource resource, Demand demand) {
            int start = views.isEmpty() ? 0 : demand.random().nextInt(views.size());
            for (int offset = 0; offset < views.size(); offset++) {
                WorkerView view = views.get((start + offset) % views.size());
                if (demand.fits(view, resource)) {
                    return view;
                }
            }
            return null;
        }
    };

    private static final double FAILED_BEFORE_PENALTY = 1e6;

    /**
     * What a choice depends on besides the workers and the resource.
     *
     * @param urgency how urgent the resource is
     * @param avoidEmpty whether workers without any task are left out
     * @param bold whether a job may be bound beyond a worker's starts though nothing has ended well there
     * @param spread where the resource's other tasks are
     * @param random a source of random numbers
     */
    record Demand(Urgency urgency, boolean avoidEmpty, boolean bold, Spread spread, Random random) {

        boolean fits(WorkerView view, DeclaredResource resource) {
            return view.hasRoom(resource.taskSize())
                    && (resource.kind().allAtOnce() ? view.hasJobStart(bold) : view.hasStart());
        }
    }

    abstract WorkerView choose(List<WorkerView> views, DeclaredResource resource, Demand demand);

    private static boolean eligible(WorkerView view, DeclaredResource resource, Demand demand) {
        boolean open = !view.reserved() || demand.urgency() != Urgency.PATIENT;
        return open && demand.fits(view, resource) && !(demand.avoidEmpty() && view.empty());
    }
}
