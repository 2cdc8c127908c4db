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
        WorkerView choose(List<WorkerView> views, DeclaredResource resource, Spread spread, Random random) {
            boolean service = resource.kind() == WorkKind.SERVICE;
            WorkerView best = null;
            double bestScore = Double.MAX_VALUE;
            for (WorkerView view : views) {
                if (!eligible(view, resource)) {
                    continue;
                }
                double score = view.waste(resource.taskSize());
                if (service) {
                    score += spread.crowding(view.worker());
                }
                if (resource.failedOn(view.worker())) {
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
        WorkerView choose(List<WorkerView> views, DeclaredResource resource, Spread spread, Random random) {
            return views.stream()
                    .filter(view -> view.fits(resource.taskSize()))
                    .findFirst()
                    .orElse(null);
        }
    },
    /** Takes the worker with the fewest processors left over. */
    BEST_FIT_CPU {
        @Override
        WorkerView choose(List<WorkerView> views, DeclaredResource resource, Spread spread, Random random) {
            WorkerView best = null;
            for (WorkerView view : views) {
                boolean better = best == null || view.cpuLeft(resource.taskSize()) < best.cpuLeft(resource.taskSize());
                if (view.fits(resource.taskSize()) && better) {
                    best = view;
                }
            }
            return best;
        }
    },
    /** Takes any worker with room. */
    RANDOM {
        @Override
        WorkerView choose(List<WorkerView> views, DeclaredResource resource, Spread spread, Random random) {
            int start = views.isEmpty() ? 0 : random.nextInt(views.size());
            for (int offset = 0; offset < views.size(); offset++) {
                WorkerView view = views.get((start + offset) % views.size());
                if (view.fits(resource.taskSize())) {
                    return view;
                }
            }
            return null;
        }
    };

    private static final double FAILED_BEFORE_PENALTY = 1e6;

    abstract WorkerView choose(List<WorkerView> views, DeclaredResource resource, Spread spread, Random random);

    private static boolean eligible(WorkerView view, DeclaredResource resource) {
        boolean open = !view.reserved() || resource.kind() == WorkKind.SERVICE;
        return open && view.fits(resource.taskSize());
    }
}
