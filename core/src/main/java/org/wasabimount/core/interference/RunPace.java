package org.wasabimount.core.interference;

import java.util.Optional;

/** Measures the pace of one run over times in which the kinds beside it do not change. */
final class RunPace {

    /** Shortest time over which a pace is measured, in milliseconds: a few times the delay of a list. */
    private static final long MIN_WINDOW_MILLIS = 400;

    /** Time after which a pace is taken and the next one begun, in milliseconds: the interval of lists. */
    private static final long WINDOW_MILLIS = 1_000;

    /** Least progress over which a pace is measured, in percent: progress is listed in whole percent. */
    private static final int MIN_PERCENT = 8;

    private static final int DONE_PERCENT = 100;

    private final ListedRun first;
    private final WorkerPaces worker;
    private long neighbours;
    private long fromMillis;
    private int fromPercent;
    private long untilMillis;
    private int untilPercent;
    private double tailSumMillis;
    private int tails;
    private Optional<PaceWindow> previous = Optional.empty();

    RunPace(ListedRun first, WorkerPaces worker) {
        this.first = first;
        this.worker = worker;
    }

    ListedRun first() {
        return first;
    }

    /** Returns the window before the last one that was taken. */
    Optional<PaceWindow> previous() {
        return previous;
    }

    void previous(PaceWindow window) {
        previous = Optional.of(window);
    }

    void begin(long newNeighbours, long atMillis, int percent) {
        neighbours = newNeighbours;
        fromMillis = atMillis;
        fromPercent = percent;
        untilMillis = atMillis;
        untilPercent = percent;
        tailSumMillis = 0;
        tails = 0;
    }

    /** Extends the window to a list. Until a gang works, and after a task has done its work, nothing is measured. */
    void extend(ListedRun row, long nowMillis) {
        if (row.measure() == ListedRun.Measure.PROGRESS && fromPercent == 0 && row.percent() == 0) {
            boolean startKnown = first.startedMillis() >= 0;
            fromMillis = startKnown ? fromMillis : nowMillis;
        }
        boolean done = row.percent() >= DONE_PERCENT && untilPercent >= DONE_PERCENT;
        if (!done || row.measure() == ListedRun.Measure.TAIL) {
            untilMillis = nowMillis;
            untilPercent = row.percent();
        }
        if (row.load() > 0) {
            tailSumMillis += row.load();
            tails++;
        }
    }

    /** Returns whether the window is long enough to begin the next one. */
    boolean complete() {
        return untilMillis - fromMillis >= WINDOW_MILLIS && take().isPresent();
    }

    /** Returns what the window measured, empty if it is too short. */
    Optional<PaceWindow> take() {
        long millis = untilMillis - fromMillis;
        int percent = untilPercent - fromPercent;
        boolean progress =
                first.measure() == ListedRun.Measure.PROGRESS && millis >= MIN_WINDOW_MILLIS && percent >= MIN_PERCENT;
        boolean tail = first.measure() == ListedRun.Measure.TAIL && millis >= MIN_WINDOW_MILLIS && tails > 0;
        if (!progress && !tail) {
            return Optional.empty();
        }
        double logPace = progress ? Math.log((double) percent / millis) : -Math.log(tailSumMillis / tails);
        return Optional.of(new PaceWindow(first.run(), worker, neighbours, logPace));
    }
}
