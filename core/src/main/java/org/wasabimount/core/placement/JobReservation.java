package org.wasabimount.core.placement;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.cell.DeclaredResource;
import org.wasabimount.core.cell.WorkKind;
import org.wasabimount.core.cell.Worker;

/** Reserves workers for one job that has waited long, so that no new deferrable work is placed on them. */
final class JobReservation {

    private final DeclaredResource job;
    private final Set<Worker> workers;

    private JobReservation(DeclaredResource job, Set<Worker> workers) {
        this.job = job;
        this.workers = workers;
    }

    /**
     * Reserves the least loaded workers that together could hold the job once the deferrable work on them has ended.
     *
     * @return the reservation, or empty if the workers' capacity not used by services is too small for the job
     */
    static Optional<JobReservation> plan(DeclaredResource job, List<WorkerView> views) {
        Set<Worker> selectedWorkers = new LinkedHashSet<>();
        long reservedTaskSlots = 0;
        List<Worker> emptiestFirst = views.stream()
                .filter(WorkerView::accepts)
                .map(WorkerView::worker)
                .sorted(Comparator.comparingDouble(worker -> worker.committed().dominantShare(worker.size())))
                .toList();
        for (Worker worker : emptiestFirst) {
            if (reservedTaskSlots >= job.tasks().size()) {
                break;
            }
            long taskSlotsOnWorker = taskSlots(job, worker);
            if (taskSlotsOnWorker > 0) {
                selectedWorkers.add(worker);
                reservedTaskSlots += taskSlotsOnWorker;
            }
        }
        return reservedTaskSlots < job.tasks().size()
                ? Optional.empty()
                : Optional.of(new JobReservation(job, selectedWorkers));
    }

    DeclaredResource job() {
        return job;
    }

    /**
     * Returns whether the job could still start on the reserved workers once the deferrable work there has ended.
     * Services may have been placed on them since, and workers may have left.
     */
    boolean isFeasible(long nowMillis) {
        long taskSlots = workers.stream()
                .filter(worker -> worker.acceptsTasks(nowMillis))
                .mapToLong(worker -> taskSlots(job, worker))
                .sum();
        return taskSlots >= job.tasks().size();
    }

    boolean includes(Worker worker) {
        return workers.contains(worker);
    }

    /** Returns how many tasks of the job fit on the worker beside the services there. */
    private static long taskSlots(DeclaredResource job, Worker worker) {
        long taskSlots = job.taskSize().timesIn(worker.size().minus(committedToServices(worker)));
        return Math.min(taskSlots, job.tasks().size());
    }

    private static Capacity committedToServices(Worker worker) {
        return worker.tasks().stream()
                .filter(task -> task.owner().kind() == WorkKind.SERVICE)
                .map(task -> task.owner().taskSize())
                .reduce(Capacity.NONE, Capacity::plus);
    }
}
