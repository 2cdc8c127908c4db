package org.wasabimount.core.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.NavigableSet;
import java.util.TreeSet;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;

import org.wasabimount.core.cell.Capacity;

/**
 * The waiting steps of one organisation: those that fit its free quota, largest first, and the parked ones in scheduling order.
 *
 * @param <S> the type of the steps
 */
final class OrganisationSteps<S extends QuotaDemand> {

    private static final List<ToLongFunction<Capacity>> DIMENSIONS =
            List.of(Capacity::cpuMillis, Capacity::memoryMegabytes, Capacity::accelerators);

    /** Number of parked steps that one search examines from the first in scheduling order. */
    static final int FIRST_EXAMINED = 8;

    /** Number of parked steps that one search examines behind those that the one before has examined. */
    static final int FURTHER_EXAMINED = 8;

    /** The fitting steps by each dimension of their unit, largest first. */
    private final List<NavigableSet<Entry<S>>> fitting;

    private final NavigableSet<Entry<S>> parked;

    /** The parked steps by the processors of their unit, smallest first. */
    private final NavigableSet<Entry<S>> smallestParked;

    private Entry<S> lastExamined;
    private boolean searching;
    private boolean searchAgain;

    /** A step with a number that orders steps whose units are equal. */
    record Entry<S extends QuotaDemand>(S step, long number) {}

    OrganisationSteps(Comparator<S> order) {
        fitting = DIMENSIONS.stream()
                .<NavigableSet<Entry<S>>>map(dimension -> new TreeSet<>(
                        Comparator.<Entry<S>>comparingLong(entry -> dimension.applyAsLong(entry.step.unit()))
                                .reversed()
                                .thenComparingLong(Entry::number)))
                .toList();
        parked = new TreeSet<>(
                Comparator.<Entry<S>, S>comparing(Entry::step, order).thenComparingLong(Entry::number));
        smallestParked = new TreeSet<>(
                Comparator.<Entry<S>>comparingLong(OrganisationSteps::cpuMillis).thenComparingLong(Entry::number));
    }

    /** Returns whether a step can take its unit at least once; dimensions that the unit does not use do not count. */
    static boolean fits(QuotaDemand step, Capacity free) {
        return step.unit().timesIn(free) > 0;
    }

    void addFitting(Entry<S> entry) {
        fitting.forEach(steps -> steps.add(entry));
    }

    private static long cpuMillis(Entry<?> entry) {
        return entry.step.unit().cpuMillis();
    }

    void park(Entry<S> entry) {
        parked.add(entry);
        smallestParked.add(entry);
    }

    void remove(Entry<S> entry) {
        fitting.forEach(steps -> steps.remove(entry));
        parked.remove(entry);
        smallestParked.remove(entry);
    }

    boolean isEmpty() {
        return parked.isEmpty() && fitting.get(0).isEmpty();
    }

    Stream<S> parked() {
        return parked.stream().map(Entry::step);
    }

    /** Parks the steps that do not fit the free quota any more; examines no others. */
    List<Entry<S>> parkExceeding(Capacity free) {
        List<Entry<S>> exceeding = new ArrayList<>();
        for (NavigableSet<Entry<S>> largestFirst : fitting) {
            while (!largestFirst.isEmpty() && exceeds(largestFirst.first(), largestFirst, free)) {
                Entry<S> entry = largestFirst.first();
                remove(entry);
                park(entry);
                exceeding.add(entry);
            }
        }
        return exceeding;
    }

    private boolean exceeds(Entry<S> entry, NavigableSet<Entry<S>> largestFirst, Capacity free) {
        ToLongFunction<Capacity> dimension = DIMENSIONS.get(fitting.indexOf(largestFirst));
        return dimension.applyAsLong(entry.step.unit()) > Math.max(0, dimension.applyAsLong(free));
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
     * Takes out parked steps that fit the free quota together: the first in scheduling order, and some of those behind the last
     * examined one, so that one search after the other reaches all of them.
     */
    List<Entry<S>> takeFitting(Capacity free) {
        if (parked.isEmpty() || cpuMillis(smallestParked.first()) > Math.max(0, free.cpuMillis())) {
            endSearch(false);
            return List.of();
        }
        List<Entry<S>> examined =
                new ArrayList<>(parked.stream().limit(FIRST_EXAMINED).toList());
        Entry<S> from = lastExamined;
        if (from == null || !examined.isEmpty() && parked.comparator().compare(from, last(examined)) < 0) {
            from = examined.isEmpty() ? null : last(examined);
        }
        List<Entry<S>> further = from == null
                ? List.of()
                : parked.tailSet(from, false).stream().limit(FURTHER_EXAMINED).toList();
        examined.addAll(further);
        if (further.size() < FURTHER_EXAMINED) {
            endSearch(searchAgain);
        } else {
            lastExamined = last(further);
        }
        List<Entry<S>> taken = new ArrayList<>();
        Capacity rest = free;
        for (Entry<S> entry : examined) {
            S step = entry.step;
            if (fits(step, rest)) {
                rest = rest.minus(
                        step.unit().times(Math.min(step.units(), step.unit().timesIn(rest))));
                remove(entry);
                addFitting(entry);
                taken.add(entry);
            }
        }
        return taken;
    }

    private void endSearch(boolean again) {
        lastExamined = null;
        searching = again;
        searchAgain = false;
    }

    private static <T> T last(List<T> list) {
        return list.get(list.size() - 1);
    }
}
