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
        WorkerView choose(List<WorkerView> views, DeclaredResource resource, ChoiceContext context) {
            boolean hasFailures = resource.hasFailures();
            boolean service = resource.kind() == WorkKind.SERVICE;
            WorkerView best = null;
            double bestScore = Double.MAX_VALUE;
            for (WorkerView view : views) {
                if (!eligible(view, resource, context)) {
                    continue;
                }
                double score = view.wasteScore(resource.taskSize());
                if (service) {
                    score += context.spread().colocationPenalty(view.worker());
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
        WorkerView choose(List<WorkerView> views, DeclaredResource resource, ChoiceContext context) {
            return views.stream()
                    .filter(view -> context.canPlace(view, resource))
                    .findFirst()
                    .orElse(null);
        }
    },
    /** Takes the worker with the fewest processors left over. */
    BEST_FIT_CPU {
        @Override
        WorkerView choose(List<WorkerView> views, DeclaredResource resource, ChoiceContext context) {
            WorkerView best = null;
            for (WorkerView view : views) {
                boolean better = best == null
                        || view.remainingCpuShare(resource.taskSize()) < best.remainingCpuShare(resource.taskSize());
                if (context.canPlace(view, resource) && better) {
                    best = view;
                }
            }
            return best;
        }
    },
    /** Takes any worker with room. */
    RANDOM {
        @Override
        WorkerView choose(List<WorkerView> views, DeclaredResource resource, ChoiceContext context) {
            int startIndex = views.isEmpty() ? 0 : context.random().nextInt(views.size());
            for (int offset = 0; offset < views.size(); offset++) {
                WorkerView view = views.get((startIndex + offset) % views.size());
                if (context.canPlace(view, resource)) {
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
    record ChoiceContext(Urgency urgency, boolean avoidEmpty, boolean allowUnproven, Spread spread, Random random) {

        boolean canPlace(WorkerView view, DeclaredResource resource) {
            return view.hasCapacityFor(resource.taskSize())
                    && (resource.kind().allAtOnce() ? view.canStartJobTask(allowUnproven) : view.canStart());
        }
    }

    abstract WorkerView choose(List<WorkerView> views, DeclaredResource resource, ChoiceContext context);

    private static boolean eligible(WorkerView view, DeclaredResource resource, ChoiceContext context) {
        boolean reservationAllows = !view.reserved() || context.urgency() != Urgency.DEFERRABLE;
        return reservationAllows && context.canPlace(view, resource) && !(context.avoidEmpty() && view.empty());
    }
}
