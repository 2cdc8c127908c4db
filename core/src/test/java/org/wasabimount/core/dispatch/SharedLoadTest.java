package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Plays organisations that compete for too little room, with the rule for declared ones and without. */
public class SharedLoadTest {

    private static final int WORKERS = 60;

    /** Share of the usual rates at which they ask for all cores of the workers at the mean. */
    private static final double RATES = 0.29;

    /** Number of seeds: a few wide jobs decide the worth of a single play. */
    private static final int SEEDS = 5;

    private List<SharedLoad> undeclared;
    private List<SharedLoad> declared;

    @BeforeClass
    public void play() {
        undeclared = plays(false);
        declared = plays(true);
        undeclared.forEach(System.out::println);
        declared.forEach(System.out::println);
    }

    private static List<SharedLoad> plays(boolean declared) {
        return LongStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> new SharedLoad(seed, declared, WORKERS, RATES).play())
                .toList();
    }

    private static double sum(List<SharedLoad> plays, ToDoubleFunction<SharedLoad> figure) {
        return plays.stream().mapToDouble(figure).sum();
    }

    private void assertHigherIfDeclared(ToDoubleFunction<SharedLoad> figure) {
        double without = sum(undeclared, figure);
        double with = sum(declared, figure);
        assertTrue(with > without, with + " is not higher than " + without + " without declared organisations");
    }

    @Test
    public void keepsInvariants() {
        undeclared.forEach(load -> assertEquals(load.cell.violations, List.of()));
        declared.forEach(load -> assertEquals(load.cell.violations, List.of()));
    }

    @Test
    public void servesWorstOrganisationsBetter() {
        assertHigherIfDeclared(SharedLoad::worthOfWorstOrganisations);
    }

    @Test
    public void earnsMoreOfWhatIsOwed() {
        assertHigherIfDeclared(SharedLoad::worth);
    }

    @Test
    public void leavesFewerAcceptedJobsUndone() {
        assertHigherIfDeclared(load -> -load.neverCompleted());
    }
}
