package org.wasabimount.core.placement;

import java.util.List;
import java.util.Random;

import org.wasabimount.core.cell.DeclaredResource;
import org.wasabimount.core.cell.WorkKind;

/** The policies for choosing among the workers that have free capacity for a task. */
public enum PlacementPolicy {
    /**
     * Spreads services over domains, racks and workers, and packs other work where it leaves the least capacity unused
     * or unbalanced. Avoids workers on which a task of the same resource has failed.
     */
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
    /** Chooses the first worker with free capacity. */
    FIRST_FIT {
        @Override
        WorkerView choose(List<WorkerView> views, DeclaredResource resource, ChoiceContext context) {
            return views.stream()
                    .filter(view -> context.canPlace(view, resource))
                    .findFirst()
                    .orElse(null);
        }
    },
    /** Chooses the worker with the smallest share of processors left over. */
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
    /** Chooses the first worker with free capacity from a random position on. */
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
     * The inputs of a choice besides the workers and the resource.
     *
     * @param urgency the urgency of the resource
     * @param avoidEmpty whether workers without any task are excluded
     * @param allowUnproven whether a job may exceed the start limit of a worker on which no task has ever succeeded
     * @param spread the distribution of the resource's other tasks
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
