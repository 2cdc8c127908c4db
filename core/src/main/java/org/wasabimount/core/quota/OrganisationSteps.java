package org.wasabimount.core.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.NavigableSet;
import java.util.TreeSet;
import java.util.function.ToLongFunction;

import org.wasabimount.core.cell.Capacity;

/**
 * The waiting steps of one organisation: those that may be placed, and the parked ones in scheduling order.
 *
 * @param <S> the type of the steps
 */
final class OrganisationSteps<S extends QuotaDemand> {

    private static final List<ToLongFunction<Capacity>> DIMENSIONS =
            List.of(Capacity::cpuMillis, Capacity::memoryMegabytes, Capacity::accelerators);

    /**
     * Capacity that the steps which may be placed can want together, as a multiple of the free quota: some of them wait for
     * room or advice, and others are to use the quota meanwhile.
     */
    private static final int OVERBOOKING = 2;

    /** Number of parked steps that one search examines from the first in scheduling order. */
    private static final int FIRST_EXAMINED = 8;

    /** Number of parked steps that one search examines behind those that the one before has examined. */
    private static final int FURTHER_EXAMINED = 8;

    /** Maximum number of parked steps examined in one review. */
    private static final int REVIEW_EXAMINED = 64;

    /** Maximum number of parked steps released by one review. */
    private static final int REVIEW_TAKEN = 4;

    /** The steps that may be placed by each dimension of their unit, largest first. */
    private final List<NavigableSet<Entry<S>>> placeable;

    private final NavigableSet<Entry<S>> parked;

    /** The parked steps by the processors of their unit, smallest first. */
    private final NavigableSet<Entry<S>> smallestParked;

    /** What the steps that may be placed want together. */
    private Capacity wanted = Capacity.NONE;

    private Entry<S> lastExamined;
    private boolean searching;
    private boolean searchAgain;

    /** A step with a number that orders steps whose units are equal, and what it wants of the free quota. */
    static final class Entry<S extends QuotaDemand> {
        private final S step;
        private final long number;
        private Capacity wanted = Capacity.NONE;

        Entry(S step, long number) {
            this.step = step;
            this.number = number;
        }

        S step() {
            return step;
        }

        private long cpuMillis() {
            return step.unit().cpuMillis();
        }
    }

    OrganisationSteps(Comparator<S> order) {
        placeable = DIMENSIONS.stream()
                .<NavigableSet<Entry<S>>>map(dimension -> new TreeSet<>(
                        Comparator.<Entry<S>>comparingLong(entry -> dimension.applyAsLong(entry.step.unit()))
                                .reversed()
                                .thenComparingLong(entry -> entry.number)))
                .toList();
        parked = new TreeSet<>(
                Comparator.<Entry<S>, S>comparing(Entry::step, order).thenComparingLong(entry -> entry.number));
        smallestParked = new TreeSet<>(
                Comparator.<Entry<S>>comparingLong(Entry::cpuMillis).thenComparingLong(entry -> entry.number));
    }

    /** Returns whether a step can take its unit at least once; dimensions that the unit does not use do not count. */
    static boolean fits(QuotaDemand step, Capacity free) {
        return step.unit().timesIn(free) > 0;
    }

    /** Adds a step that may be placed. */
    void add(Entry<S> entry, Capacity free) {
        Capacity unit = entry.step.unit();
        entry.wanted = unit.times(Math.min(entry.step.units(), unit.timesIn(free)));
        wanted = wanted.plus(entry.wanted);
        placeable.forEach(steps -> steps.add(entry));
    }

    void park(Entry<S> entry) {
        parked.add(entry);
        smallestParked.add(entry);
    }

    void remove(Entry<S> entry) {
        wanted = wanted.minus(entry.wanted);
        entry.wanted = Capacity.NONE;
        placeable.forEach(steps -> steps.remove(entry));
        parked.remove(entry);
        smallestParked.remove(entry);
    }

    /** Records that a part of what a step wants is being placed. */
    void proposed(Entry<S> entry, Capacity size) {
        if (size.fitsIn(entry.wanted)) {
            entry.wanted = entry.wanted.minus(size);
            wanted = wanted.minus(size);
        }
    }

    boolean isEmpty() {
        return parked.isEmpty() && placeable.get(0).isEmpty();
    }

    /** Parks the steps that do not fit the free quota any more; examines no others. */
    List<Entry<S>> parkExceeding(Capacity free) {
        List<Entry<S>> exceeding = new ArrayList<>();
        for (int dimension = 0; dimension < DIMENSIONS.size(); dimension++) {
            ToLongFunction<Capacity> amount = DIMENSIONS.get(dimension);
            NavigableSet<Entry<S>> largestFirst = placeable.get(dimension);
            long available = Math.max(0, amount.applyAsLong(free));
            while (!largestFirst.isEmpty()
                    && amount.applyAsLong(largestFirst.first().step.unit()) > available) {
                Entry<S> entry = largestFirst.first();
                remove(entry);
                park(entry);
                exceeding.add(entry);
            }
        }
        return exceeding;
    }

    /** Has the parked steps examined, because free quota was gained. */
    void search() {
        searchAgain = searching && lastExamined != null;
        searching = true;
    }

    /** Returns whether parked steps are still to be examined. */
    boolean searching() {
        return searching;
    }

    /**
     * Takes out parked steps that fit the free quota, beside what those that may be placed want already: the first in scheduling
     * order, and some of those behind the last examined one, so that one search after the other reaches all of them.
     */
    List<Entry<S>> takeFitting(Capacity free) {
        Capacity rest = free.times(OVERBOOKING).minus(wanted);
        if (!smallestFits(free) || !smallestFits(rest)) {
            endSearch(false);
            return List.of();
        }
        List<Entry<S>> examined =
                new ArrayList<>(parked.stream().limit(FIRST_EXAMINED).toList());
        Entry<S> lastOfFirst = examined.get(examined.size() - 1);
        boolean behindFirst = lastExamined != null && parked.comparator().compare(lastExamined, lastOfFirst) > 0;
        List<Entry<S>> further = parked.tailSet(behindFirst ? lastExamined : lastOfFirst, false).stream()
                .limit(FURTHER_EXAMINED)
                .toList();
        examined.addAll(further);
        if (further.size() < FURTHER_EXAMINED) {
            endSearch(searchAgain);
        } else {
            lastExamined = further.get(further.size() - 1);
        }
        List<Entry<S>> taken = new ArrayList<>();
        for (Entry<S> entry : examined) {
            if (fits(entry.step, free) && fits(entry.step, rest)) {
                take(entry, free);
                taken.add(entry);
                rest = rest.minus(entry.wanted);
            }
        }
        return taken;
    }

    /**
     * Takes out some parked steps that fit the free quota, whatever others want of it: those may wait long for room or advice.
     */
    List<Entry<S>> review(Capacity free) {
        if (!smallestFits(free)) {
            return List.of();
        }
        List<Entry<S>> taken = parked.stream()
                .limit(REVIEW_EXAMINED)
                .filter(entry -> fits(entry.step, free))
                .limit(REVIEW_TAKEN)
                .toList();
        taken.forEach(entry -> take(entry, free));
        return taken;
    }

    private void take(Entry<S> entry, Capacity free) {
        remove(entry);
        add(entry, free);
    }

    private boolean smallestFits(Capacity free) {
        return !parked.isEmpty() && smallestParked.first().cpuMillis() <= Math.max(0, free.cpuMillis());
    }

    private void endSearch(boolean again) {
        lastExamined = null;
        searching = again;
        searchAgain = false;
    }
}
