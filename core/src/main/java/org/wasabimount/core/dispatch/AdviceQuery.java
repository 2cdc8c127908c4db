package org.wasabimount.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Selects the workers to name in an advice call.
 *
 * <p>Designed for pools with more workers than one call may name, of which only some may run a step, and for calls whose
 * duration grows with the workers named. A call names the workers on which tasks are most likely to be placed next, and
 * no more of them than the waiting tasks are expected to need, or than the critical path of a job accounts for.
 */
final class AdviceQuery {

    /**
     * A worker that may be named.
     *
     * @param worker the worker
     * @param eligible true if an earlier call reported that it may run the step
     * @param nearData true if it is where the step's data is, or the step has no such preference
     * @param tasksThatFit the number of the step's tasks that fit in its free capacity
     */
    record Candidate(TrackedWorker worker, boolean eligible, boolean nearData, long tasksThatFit) {

        private double expectedPlacements() {
            return Math.max(1, tasksThatFit) * (eligible ? 1.0 : AdviceManager.EXPECTED_ELIGIBLE_SHARE);
        }
    }

    private static final Comparator<Candidate> MOST_LIKELY_FIRST = Comparator.<Candidate, Boolean>comparing(
                    candidate -> candidate.tasksThatFit == 0)
            .thenComparing(candidate -> !candidate.eligible)
            .thenComparing(candidate -> !candidate.nearData)
            .thenComparing(Comparator.comparingLong(Candidate::tasksThatFit).reversed());

    private AdviceQuery() {}

    /**
     * Selects workers for a call.
     *
     * @param candidates the workers that may be named, in any order
     * @param waitingTasks the number of tasks that wait for a worker
     * @param maxWorkers the maximum number of workers to select
     * @return the selected workers
     */
    static List<TrackedWorker> select(List<Candidate> candidates, int waitingTasks, int maxWorkers) {
        List<TrackedWorker> selected = new ArrayList<>();
        double expectedPlacements = 0;
        List<Candidate> sorted = candidates.stream().sorted(MOST_LIKELY_FIRST).toList();
        for (Candidate candidate : sorted) {
            boolean enough = selected.size() >= JobPlan.ADVISED_WORKERS && expectedPlacements >= waitingTasks;
            if (enough || selected.size() == maxWorkers) {
                break;
            }
            selected.add(candidate.worker);
            expectedPlacements += Math.min(waitingTasks, candidate.expectedPlacements());
        }
        return selected;
    }
}
