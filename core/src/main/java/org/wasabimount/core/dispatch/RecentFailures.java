package org.wasabimount.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.wasabimount.core.job.IncarnationId;
import org.wasabimount.core.job.StepId;
import org.wasabimount.core.job.TaskId;

/** Remembers on which workers the tasks of open jobs have failed, so that they run elsewhere next. */
final class RecentFailures {

    /**
     * How long a task avoids a worker on which it failed, in milliseconds; after that it may run on any worker again,
     * rather than keep waiting.
     */
    private static final long AVOIDANCE_MILLIS = 1_500;

    private final Map<StepId, List<Failure>> failures = new HashMap<>();

    private record Failure(TaskId task, IncarnationId incarnation, long atMillis) {}

    void record(TaskId task, IncarnationId incarnation, long nowMillis) {
        failures.computeIfAbsent(task.stepId(), absent -> new ArrayList<>())
                .add(new Failure(task, incarnation, nowMillis));
    }

    /** Returns the workers on which one of the step's waiting tasks has recently failed. */
    Set<IncarnationId> workers(ReadyStep step, long nowMillis) {
        return failures.getOrDefault(step.id(), List.of()).stream()
                .filter(failure -> nowMillis - failure.atMillis < AVOIDANCE_MILLIS)
                .filter(failure ->
                        step.waiting().stream().anyMatch(task -> task.id().equals(failure.task)))
                .map(Failure::incarnation)
                .collect(Collectors.toSet());
    }

    void forgetJob(String job) {
        failures.keySet().removeIf(step -> step.job().equals(job));
    }
}
