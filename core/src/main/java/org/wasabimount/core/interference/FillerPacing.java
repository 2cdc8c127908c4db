package org.wasabimount.core.interference;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.wasabimount.core.job.RunId;

/**
 * Decides at which share the fillers of one worker may work, so that the tasks that serve beside them meet their targets.
 *
 * <p>Designed for tasks that serve users beside tasks that fill unused processors, where the former's response times grow
 * within seconds with what fills and with their own load. Fillers are slowed in large steps as soon as one list shows a
 * target missed, so that they have stopped working within a fraction of the time for which a target may be missed, and
 * are let up in small steps while all targets are met with margin.
 */
public final class FillerPacing {

    /** The share at which a task works from its start, in percent. */
    public static final int FULL_PERCENT = 100;

    /** Share of the harm time at which the worker is to list its runs: some lists must fit into it. */
    private static final int LISTS_PER_HARM = 8;

    /** Shortest interval of lists, in milliseconds: half of the time over which the figures are taken. */
    private static final long MIN_LIST_MILLIS = 250;

    /** Time over which a worker takes its figures, in milliseconds. */
    private static final long FIGURE_MILLIS = 500;

    /** Longest time after which an order without an answer may be carried out, in milliseconds. */
    private static final long MAX_ORDER_DELAY_MILLIS = 12_000;

    /** Share of its target above which a tail is too close to it. */
    private static final double NEAR_SHARE = 0.9;

    /** Share of its target below which a tail has margin for a step up. */
    private static final double MARGIN_SHARE = 0.7;

    /** Factor on the fillers' share for the first list that shows a missed target; the second one stops them. */
    private static final double FIRST_CUT = 0.4;

    private static final int STEP_PERCENT = 10;

    /** Share at which fillers of an earlier leader go on, in percent: it is not known at which one they work. */
    private static final int INHERITED_PERCENT = 20;

    private static final int UNKNOWN = -1;

    private final SharingTerms terms;
    private final Map<RunId, Filler> fillers = new HashMap<>();
    private int percent = FULL_PERCENT;
    private int missed;
    private long changedMillis = Long.MIN_VALUE / 2;

    private static final class Filler {
        private int acknowledgedPercent;
        private boolean pending;
        private long repeatUntilMillis = Long.MIN_VALUE;

        private Filler(int acknowledgedPercent) {
            this.acknowledgedPercent = acknowledgedPercent;
        }

        private boolean orderDue(int percent, long nowMillis) {
            return !pending && (acknowledgedPercent != percent || nowMillis < repeatUntilMillis);
        }
    }

    /**
     * A serving task's figure.
     *
     * @param run the run
     * @param tailMillis the tail of its response times, in milliseconds; zero if the worker listed none
     * @param targetMillis the value below which the tail must stay, in milliseconds
     */
    public record Serving(RunId run, long tailMillis, long targetMillis) {

        double share() {
            return (double) tailMillis / targetMillis;
        }
    }

    /**
     * A task that fills.
     *
     * @param run the run
     * @param startedHere whether this leader has started it, so that it worked at its full share at first
     */
    public record Filling(RunId run, boolean startedHere) {}

    /**
     * Creates the pacing of a worker on which nothing was paced yet.
     *
     * @param terms what the contract says
     */
    public FillerPacing(SharingTerms terms) {
        this.terms = terms;
    }

    /**
     * Receives the figures of a worker's list.
     *
     * @param serving the tasks that serve and have a target
     * @param filling the tasks that fill
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the fillers that are to be ordered to work at {@link #percent()} now
     */
    public List<RunId> listed(Collection<Serving> serving, Collection<Filling> filling, long nowMillis) {
        boolean inherited = filling.stream().anyMatch(run -> !run.startedHere() && !fillers.containsKey(run.run()));
        if (inherited && !serving.isEmpty()) {
            change(Math.min(percent, INHERITED_PERCENT), nowMillis);
        }
        decide(serving, nowMillis);
        fillers.keySet().retainAll(filling.stream().map(Filling::run).toList());
        filling.forEach(run ->
                fillers.computeIfAbsent(run.run(), absent -> new Filler(run.startedHere() ? FULL_PERCENT : UNKNOWN)));
        List<RunId> due = filling.stream()
                .map(Filling::run)
                .filter(run -> fillers.get(run).orderDue(percent, nowMillis))
                .toList();
        due.forEach(run -> fillers.get(run).pending = true);
        return due;
    }

    private void decide(Collection<Serving> serving, long nowMillis) {
        if (serving.isEmpty()) {
            missed = 0;
            change(FULL_PERCENT, nowMillis);
            return;
        }
        // A task without a figure answers nobody.
        double worst = serving.stream().mapToDouble(Serving::share).max().orElse(0);
        boolean settled = nowMillis >= changedMillis + terms.paceMillis() + FIGURE_MILLIS;
        if (worst >= 1) {
            missed++;
            change(missed > 1 ? 0 : (int) (percent * FIRST_CUT), nowMillis);
        } else if (worst >= NEAR_SHARE) {
            if (settled) {
                change(Math.max(0, percent - STEP_PERCENT), nowMillis);
            }
        } else if (worst <= MARGIN_SHARE) {
            missed = 0;
            if (settled) {
                change(Math.min(FULL_PERCENT, percent + STEP_PERCENT), nowMillis);
            }
        }
    }

    private void change(int newPercent, long nowMillis) {
        if (newPercent != percent) {
            percent = newPercent;
            changedMillis = nowMillis;
        }
    }

    /**
     * Receives the outcome of an order. One without an answer may be carried out after later ones, so the share is ordered
     * again for as long as that is possible.
     *
     * @param run the filler
     * @param orderedPercent the share that was ordered
     * @param done whether the worker has answered that it did so
     * @param mayFollowLate whether the order may still be carried out
     * @param nowMillis the current monotonic time, in milliseconds
     */
    public void answered(RunId run, int orderedPercent, boolean done, boolean mayFollowLate, long nowMillis) {
        Filler filler = fillers.get(run);
        if (filler == null) {
            return;
        }
        filler.pending = false;
        filler.acknowledgedPercent = done ? orderedPercent : UNKNOWN;
        if (mayFollowLate) {
            filler.repeatUntilMillis = nowMillis + MAX_ORDER_DELAY_MILLIS;
        }
    }

    /**
     * Returns the share at which fillers are to work now.
     *
     * @return the share, 0 to 100 percent
     */
    public int percent() {
        return percent;
    }

    /**
     * Returns how often a worker on which tasks fill beside tasks with a target is to list its runs.
     *
     * @param terms what the contract says
     * @return the longest time until the next list, in milliseconds
     */
    public static long listIntervalMillis(SharingTerms terms) {
        return Math.max(MIN_LIST_MILLIS, terms.harmMillis() / LISTS_PER_HARM);
    }
}
