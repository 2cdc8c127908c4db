package org.wasabimount.core.dispatch;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.wasabimount.protocol.job.ExplainedStep;
import org.wasabimount.protocol.job.ExplainedWorkers;

/**
 * Explains where the tasks of a step would go now, and what they wait for, without changing anything.
 *
 * <p>Takes the decisions of a pass for one step, as of the last pass. The cost is that of one step: its tasks and the
 * workers of its pool.
 */
final class StepExplainer {

    /** Number of workers named for each verdict. */
    private static final int MAX_EXAMPLES = 3;

    private final StepPlacement placement;
    private final AdviceManager advice;
    private final WaitSampler waits;
    private final long nowMillis;

    StepExplainer(StepPlacement placement, AdviceManager advice, WaitSampler waits, long nowMillis) {
        this.placement = placement;
        this.advice = advice;
        this.waits = waits;
        this.nowMillis = nowMillis;
    }

    /** Explains a step whose dependencies are met and whose time has come. */
    ExplainedStep explain(ReadyStep ready) {
        WaitingStep step = placement.waitingStep(ready.id()).orElseGet(() -> new WaitingStep(ready));
        Set<WorkerRoom> chosen = Set.of();
        int placeable = 0;
        if (!step.ready().isolated() && !step.ready().waiting().isEmpty()) {
            Map<?, WorkerRoom> tasks = placement.placeableNow(step);
            placeable = tasks.size();
            chosen = Set.copyOf(tasks.values());
        }
        Predicate<WorkerRoom> suitable = placement.suitable(step.ready());
        List<WorkerRoom> inPool = placement.rooms().stream()
                .filter(room -> room.pool().equals(ready.queue().getPool()))
                .toList();
        ExplainedStep.Builder explained = builder(ready)
                .setPlaceableTasks(placeable)
                .setSlackMillis(ready.latestStartMillis() - nowMillis)
                .addAllWorkers(workers(step, inPool, chosen, suitable));
        if (placeable < ready.waiting().size()) {
            List<WorkerRoom> usable = inPool.stream().filter(WorkerRoom::usable).toList();
            boolean quotaUsed = placeable >= placement.quota().tasksFitting(step);
            explained.setWaitsFor(
                    quotaUsed
                            ? IdleReason.NO_QUOTA.label()
                            : step.ready().isolated()
                                    ? IdleReason.ISOLATION.label()
                                    : waits.reason(step.ready(), usable, suitable, nowMillis)
                                            .label());
        }
        return explained.build();
    }

    /** Explains a step that is not ready. */
    static ExplainedStep notReady(ReadyStep step, String waitsFor) {
        return builder(step).setWaitsFor(waitsFor).build();
    }

    private static ExplainedStep.Builder builder(ReadyStep step) {
        return ExplainedStep.newBuilder()
                .setOccurrence(step.id().occurrence())
                .setStep(step.id().step())
                .setWaitingTasks(step.waiting().size());
    }

    private List<ExplainedWorkers> workers(
            WaitingStep step, List<WorkerRoom> inPool, Set<WorkerRoom> chosen, Predicate<WorkerRoom> suitable) {
        return inPool.stream()
                .collect(Collectors.groupingBy(
                        room -> chosen.contains(room) ? WorkerVerdict.CHOSEN : verdict(step, room, suitable),
                        () -> new EnumMap<>(WorkerVerdict.class),
                        Collectors.toList()))
                .entrySet()
                .stream()
                .map(group -> ExplainedWorkers.newBuilder()
                        .setVerdict(group.getKey().label())
                        .setCount(group.getValue().size())
                        .addAllExamples(group.getValue().stream()
                                .limit(MAX_EXAMPLES)
                                .map(room -> room.id().worker())
                                .toList())
                        .build())
                .toList();
    }

    private WorkerVerdict verdict(WaitingStep step, WorkerRoom room, Predicate<WorkerRoom> suitable) {
        ReadyStep ready = step.ready();
        TrackedWorker worker = room.worker();
        if (!room.usable()) {
            return worker.draining()
                    ? WorkerVerdict.DRAINING
                    : worker.unansweredCalls() > 0 ? WorkerVerdict.SILENT : WorkerVerdict.UNUSABLE;
        }
        if (!suitable.test(room)) {
            boolean labelled = worker.hasLabel(ready.step().getRequiredLabel());
            return labelled ? WorkerVerdict.FAILED_RECENTLY : WorkerVerdict.LABEL;
        }
        if (ready.requiresAdvice() && advice.ineligible(step.id(), room.id())) {
            return WorkerVerdict.NOT_ALLOWED;
        }
        boolean hasRoom = ready.reservesRoom()
                ? room.freeSlots(step) > 0
                : ready.size().fitsIn(room.availableTo(ready, nowMillis));
        if (!hasRoom) {
            return fullVerdict(ready, worker);
        }
        if (ready.requiresAdvice() && !advice.of(step.id()).hasTicket(room.id(), nowMillis)) {
            return advice.eligible(step.id(), room.id()) ? WorkerVerdict.NO_TICKET : WorkerVerdict.NOT_ADVISED;
        }
        return WorkerVerdict.POSSIBLE;
    }

    private static WorkerVerdict fullVerdict(ReadyStep ready, TrackedWorker worker) {
        if (!ready.size().fitsIn(worker.capacity())) {
            return WorkerVerdict.TOO_SMALL;
        }
        return ready.size().fitsIn(worker.freeCapacity()) ? WorkerVerdict.RESERVED : WorkerVerdict.NO_ROOM;
    }
}
