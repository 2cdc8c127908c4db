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

/** Keeps workers free of new patient work for the job that has waited longest. */
final class JobReservation {

    private final DeclaredResource job;
    private final Set<Worker> workers;

    private JobReservation(DeclaredResource job, Set<Worker> workers) {
        this.job = job;
        this.workers = workers;
    }

    /**
     * Reserves the emptiest workers that together could hold the job once patient work on them has ended.
     *
     * @return the reservation, or nothing if services leave too little room for the job
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
     * Tells whether the job could still start on the reserved workers once patient work there has ended; services may have
     * taken room since, and workers may have gone.
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
