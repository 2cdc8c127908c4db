package org.wasabimount.core.dispatch;

import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.wasabimount.core.interference.FillerPacing;
import org.wasabimount.core.interference.InterferenceLearner;
import org.wasabimount.core.interference.LearntPair;
import org.wasabimount.core.interference.ListedRun;
import org.wasabimount.core.interference.SharingTerms;
import org.wasabimount.core.interference.TaskKind;
import org.wasabimount.core.job.RunId;
import org.wasabimount.protocol.job.EndKind;
import org.wasabimount.protocol.job.Step;

/**
 * Keeps tasks that slow each other on different workers where there is room, and slows what fills beside tasks that miss
 * their targets, by what workers list.
 *
 * <p>The cost of a placement depends on the kinds that run on the workers compared, not on what was learnt.
 */
final class Interference implements WorkerPreference {

    private static final System.Logger LOG = System.getLogger("wasabimount.interference");

    /** How long a worker may usually delay its list, in milliseconds; bounds how late a lost connection is detected. */
    private static final long LIST_WAIT_MILLIS = 1_000;

    private static final int DONE_PERCENT = 100;

    private final SharingTerms terms;
    private final long fence;
    private final Consumer<DispatchAction> actions;
    private final ExaminedCounts examined;
    private final InterferenceLearner learner =
            new InterferenceLearner(this::learnt, pair -> logPair("forgotten", pair, InterferenceEvent.PAIR_FORGOTTEN));
    private Consumer<InterferenceEvent> listener = event -> {};
    private ReadyStep latestStep;
    private TaskKind latestKind;

    Interference(SharingTerms terms, long fence, Consumer<DispatchAction> actions, ExaminedCounts examined) {
        this.terms = terms;
        this.fence = fence;
        this.actions = actions;
        this.examined = examined;
    }

    void setListener(Consumer<InterferenceEvent> newListener) {
        listener = newListener;
    }

    @Override
    public boolean distinguishes(ReadyStep step) {
        return learner.knowsAny() && learner.knows(kind(step));
    }

    @Override
    public double slowdown(ReadyStep step, TrackedWorker worker) {
        if (!distinguishes(step)) {
            return 1.0;
        }
        examined.add(ExaminedCounts.Part.ROUND, worker.sharing().kinds().size());
        return learner.slowdown(kind(step), worker.sharing().kinds());
    }

    private TaskKind kind(ReadyStep step) {
        // Asked for each of a step's workers in turn.
        if (step != latestStep) {
            latestStep = step;
            latestKind = TaskKind.of(step.queue().getName(), step.step());
        }
        return latestKind;
    }

    /** Records that a run is assigned to a worker, before the worker counts it. */
    void placed(TrackedRun run, TrackedWorker worker) {
        if (learner.knows(run.kind())
                && learner.slowdown(run.kind(), worker.sharing().kinds()) > 1) {
            listener.accept(InterferenceEvent.PLACED_TOGETHER);
        }
    }

    /** Learns from a worker's list, whose new ends are not recorded yet, and paces the worker's fillers. */
    void listed(TrackedWorker worker, LeaseRenewalResult list, long nowMillis) {
        if (!terms.declared()) {
            return;
        }
        List<ListedRun> running = list.running().stream()
                .flatMap(row -> tracked(worker, row.run()).map(run -> running(run, row)))
                .toList();
        List<ListedRun> ended = list.ended().stream()
                .filter(end -> end.offset() > worker.proposedOffset())
                .flatMap(end -> tracked(worker, end.run()).map(run -> ended(run, end.kind())))
                .toList();
        learner.listed(worker.sharing().paces(learner::newWorker), running, ended, nowMillis);
        pace(worker, list, nowMillis);
    }

    private static Stream<TrackedRun> tracked(TrackedWorker worker, RunId id) {
        return Stream.ofNullable(worker.run(id)).filter(run -> run.kind() != null);
    }

    private static ListedRun running(TrackedRun run, LeaseRenewalResult.RunProgress row) {
        return new ListedRun(
                run.id(), run.kind(), measure(run.step()), row.percent(), row.load(), run.workStartedMillis());
    }

    /** A task of a gang ends together with the slowest, so that its end tells nothing about its own pace. */
    private static ListedRun ended(TrackedRun run, EndKind kind) {
        boolean measured = kind == EndKind.DONE && !run.step().getGang();
        ListedRun.Measure measure = measured ? measure(run.step()) : ListedRun.Measure.NONE;
        return new ListedRun(run.id(), run.kind(), measure, DONE_PERCENT, 0, run.workStartedMillis());
    }

    private static ListedRun.Measure measure(Step step) {
        if (step.getFiller()) {
            return ListedRun.Measure.NONE;
        }
        if (step.getLongRunning()) {
            return step.getTargetMillis() > 0 ? ListedRun.Measure.TAIL : ListedRun.Measure.NONE;
        }
        return ListedRun.Measure.PROGRESS;
    }

    private void pace(TrackedWorker worker, LeaseRenewalResult list, long nowMillis) {
        List<FillerPacing.Filling> filling = list.running().stream()
                .flatMap(row -> tracked(worker, row.run()))
                .filter(run -> run.step().getFiller())
                .map(run -> new FillerPacing.Filling(run.id(), run.startAttempts() > 0))
                .toList();
        if (filling.isEmpty() && worker.sharing().pacing().isEmpty()) {
            return;
        }
        List<FillerPacing.Serving> serving = list.running().stream()
                .flatMap(row -> tracked(worker, row.run())
                        .filter(run -> run.step().getTargetMillis() > 0)
                        .map(run -> new FillerPacing.Serving(
                                run.id(), row.load(), run.step().getTargetMillis())))
                .toList();
        worker.sharing().paced(!filling.isEmpty() && !serving.isEmpty());
        FillerPacing pacing = worker.sharing().pacing(() -> new FillerPacing(terms));
        int before = pacing.percent();
        List<RunId> ordered = pacing.listed(serving, filling, nowMillis);
        if (pacing.percent() != before) {
            listener.accept(pacing.percent() < before ? InterferenceEvent.PACED_DOWN : InterferenceEvent.PACED_UP);
            LOG.log(
                    System.Logger.Level.INFO,
                    "PACE worker={0} percent={1} before={2} fillers={3} serving={4}",
                    worker.entry().id(),
                    pacing.percent(),
                    before,
                    filling.size(),
                    serving);
        }
        ordered.forEach(run -> actions.accept(new DispatchAction.Pace(run, worker.entry(), pacing.percent(), fence)));
    }

    /** Receives the outcome of a pacing order; one that failed is sent again after the next list. */
    void paceCompleted(TrackedWorker worker, DispatchAction.Pace order, OrderOutcome result, long nowMillis) {
        worker.sharing()
                .pacing()
                .ifPresent(pacing -> pacing.answered(
                        order.run(),
                        order.percent(),
                        result == OrderOutcome.DONE,
                        result == OrderOutcome.NO_ANSWER,
                        nowMillis));
    }

    /** Returns how long a worker may delay its list until a run ends, in milliseconds. */
    long listWaitMillis(TrackedWorker worker) {
        return worker.sharing().paced()
                ? Math.min(LIST_WAIT_MILLIS, FillerPacing.listIntervalMillis(terms))
                : LIST_WAIT_MILLIS;
    }

    private void learnt(LearntPair pair) {
        logPair("learnt", pair, InterferenceEvent.PAIR_LEARNT);
    }

    private void logPair(String change, LearntPair pair, InterferenceEvent event) {
        LOG.log(
                System.Logger.Level.INFO,
                "INTERFERENCE {0} slowed={1} beside={2} slowdown={3} samples={4} workerGroups={5} firstMillis={6}"
                        + " latestMillis={7}",
                change,
                pair.slowed(),
                pair.neighbour(),
                String.format(Locale.ROOT, "%.2f", pair.slowdown()),
                String.format(Locale.ROOT, "%.0f", pair.samples()),
                pair.workerGroups(),
                Long.toString(pair.ageMillis()),
                Long.toString(pair.idleMillis()));
        listener.accept(event);
    }
}
