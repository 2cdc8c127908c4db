package org.wasabimount.core.placement;

import java.util.List;

import org.wasabimount.protocol.cell.BindTasks;
import org.wasabimount.protocol.cell.PreemptTasks;

/**
 * The decisions of one placement round.
 *
 * @param bindings commands that bind tasks to workers; each is applied completely or not at all
 * @param preemptions commands that stop batch tasks for urgent work
 */
public record PlacementPlan(List<BindTasks> bindings, List<PreemptTasks> preemptions) {

    /** A plan without decisions. */
    public static final PlacementPlan EMPTY = new PlacementPlan(List.of(), List.of());
}
