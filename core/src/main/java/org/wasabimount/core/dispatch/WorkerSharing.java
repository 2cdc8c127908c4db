package org.wasabimount.core.dispatch;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import org.wasabimount.core.interference.FillerPacing;
import org.wasabimount.core.interference.TaskKind;
import org.wasabimount.core.interference.WorkerPaces;

/** The tasks on one worker as they affect each other: the kinds that run there, their paces, and the pacing of fillers. */
final class WorkerSharing {

    private final Map<TaskKind, Integer> runsByKind = new LinkedHashMap<>();
    private WorkerPaces paces;
    private FillerPacing pacing;
    private boolean paced;

    /** Counts a run that is assigned to the worker. */
    void add(TrackedRun run) {
        if (run.kind() != null) {
            runsByKind.merge(run.kind(), 1, Integer::sum);
        }
    }

    /** Counts a run as no longer assigned. */
    void remove(TrackedRun run) {
        runsByKind.computeIfPresent(run.kind(), (kind, count) -> count > 1 ? count - 1 : null);
    }

    /** Returns the kinds of the runs that are assigned to the worker. */
    Collection<TaskKind> kinds() {
        return runsByKind.keySet();
    }

    WorkerPaces paces(Supplier<WorkerPaces> factory) {
        if (paces == null) {
            paces = factory.get();
        }
        return paces;
    }

    /** Returns the pacing of the fillers, empty if there were none. */
    Optional<FillerPacing> pacing() {
        return Optional.ofNullable(pacing);
    }

    FillerPacing pacing(Supplier<FillerPacing> factory) {
        if (pacing == null) {
            pacing = factory.get();
        }
        return pacing;
    }

    /** Sets whether tasks fill beside tasks with a target. */
    void paced(boolean fillsBesideTarget) {
        paced = fillsBesideTarget;
    }

    boolean paced() {
        return paced;
    }
}
