package org.wasabimount.core.placement;

import java.util.List;

import org.wasabimount.protocol.cell.BindTasks;
import org.wasabimount.protocol.cell.PreemptTasks;

/**
 * What one round decided.
 *
 * @param bindings commands that start tasks, each wholly or not at all
 * @param preemptions commands that stop batch tasks for urgent work
 */
public record PlacementPlan(List<BindTasks> bindings, List<PreemptTasks> preemptions) {

    /** Nothing to do. */
    public static final PlacementPlan EMPTY = new PlacementPlan(List.of(), List.of());
}
