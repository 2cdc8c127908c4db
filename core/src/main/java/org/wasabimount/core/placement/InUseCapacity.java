package org.wasabimount.core.placement;

import java.util.List;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.cell.CellState;
import org.wasabimount.core.cell.DeclaredResource;
import org.wasabimount.core.cell.TaskState;

/**
 * Compares what patient work waits for with the room on workers that are in use already.
 *
 * <p>While that room is enough, a task rather waits a moment for a start on the worker that suits it best than to take
 * an empty one. Otherwise empty workers are taken, as many as the waiting work needs.
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

    /** Notes a placement; must be called before the view gives the room away. */
    void place(WorkerView view, Capacity size) {
        if (view.empty()) {
            freeCapacity = freeCapacity.plus(view.free());
        }
        demand = demand.minus(size);
        freeCapacity = freeCapacity.minus(size);
    }

    boolean coversDemand() {
        return demand.fitsIn(freeCapacity);
    }
}
