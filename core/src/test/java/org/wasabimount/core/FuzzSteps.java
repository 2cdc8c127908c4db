package org.wasabimount.core;

import static org.quicktheories.generators.SourceDSL.integers;
import static org.quicktheories.generators.SourceDSL.lists;

import java.util.Arrays;
import java.util.List;

import org.quicktheories.core.Gen;

/** Generates lists of weighted actions with two numbers each. */
public final class FuzzSteps {

    private static final int MAX_NUMBER = 1_000_000;

    private FuzzSteps() {}

    /** An action that is taken the more often the more it weighs. */
    public interface Weighted {

        /** Returns the weight. */
        int weight();
    }

    /**
     * One step of a run.
     *
     * @param action what is done
     * @param first a number that chooses to whom
     * @param second a number that chooses how
     * @param <A> the actions
     */
    public record Step<A>(A action, int first, int second) {}

    /** Generates lists of half as many to as many steps. */
    public static <A extends Enum<A> & Weighted> Gen<List<Step<A>>> of(Class<A> actions, int maxSteps) {
        Gen<Step<A>> step = integers()
                .between(0, MAX_NUMBER)
                .zip(
                        integers().between(0, MAX_NUMBER),
                        integers().between(0, MAX_NUMBER),
                        (action, first, second) -> new Step<>(pick(actions, action), first, second));
        return lists().of(step).ofSizeBetween(maxSteps / 2, maxSteps);
    }

    private static <A extends Enum<A> & Weighted> A pick(Class<A> actions, int number) {
        A[] all = actions.getEnumConstants();
        int remaining = number % Arrays.stream(all).mapToInt(Weighted::weight).sum();
        int index = 0;
        while (remaining >= all[index].weight()) {
            remaining -= all[index].weight();
            index++;
        }
        return all[index];
    }
}
