package org.wasabimount.core.placement;

import java.util.List;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.cell.CellState;
import org.wasabimount.core.cell.DeclaredResource;
import org.wasabimount.core.cell.TaskState;

/**
 * Compares the demand of waiting deferrable work with the free capacity of workers that already run tasks.
 *
 * <p>While that capacity covers the demand, a task waits briefly for the best worker to allow another start instead of
 * being placed on an empty worker. Otherwise as many empty workers are used as the waiting work needs.
 */
final class InUseCapacity {

    private Capacity demand;
    private Capacity freeCapacity;

    private InUseCapacity(Capacity demand, Capacity freeCapacity) {
        this.demand = demand;
        this.freeCapacity = freeCapacity;
    }

    static InUseCapacity of(CellState state, List<WorkerView> views) {
        Capacity demand = Capacity.NONE;
        for (DeclaredResource resource : state.pendingResources()) {
            if (Urgency.of(resource) == Urgency.DEFERRABLE && !resource.kind().allAtOnce()) {
                demand = demand.plus(resource.taskSize().times(resource.count(TaskState.PENDING)));
            }
        }
        Capacity freeCapacity = views.stream()
                .filter(view -> view.accepts() && !view.worker().tasks().isEmpty())
                .map(WorkerView::free)
                .reduce(Capacity.NONE, Capacity::plus);
        return new InUseCapacity(demand, freeCapacity);
    }

    /** Records a placement. Must be called before the capacity is allocated in the view. */
    void place(WorkerView view, Capacity size) {
        if (view.empty()) {
            freeCapacity = freeCapacity.plus(view.free());
        }
        demand = demand.minus(size);
        freeCapacity = freeCapacity.minus(size);
    }

    /** Returns whether the free capacity of workers in use is enough for the waiting deferrable work. */
    boolean coversDemand() {
        return demand.fitsIn(freeCapacity);
    }
}
