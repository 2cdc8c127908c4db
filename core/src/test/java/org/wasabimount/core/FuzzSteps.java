package org.wasabimount.core;

import static org.quicktheories.generators.SourceDSL.integers;
import static org.quicktheories.generators.SourceDSL.lists;

import java.util.Arrays;
import java.util.List;

import org.quicktheories.core.Gen;

/** Generates random lists of weighted actions with two numbers each. */
public final class FuzzSteps {

    private static final int MAX_NUMBER = 1_000_000;

    private FuzzSteps() {}

    /** An action that is chosen with a probability proportional to its weight. */
    public interface Weighted {

        /** Returns the weight. */
        int weight();
    }

    /**
     * One step of a test run.
     *
     * @param action the action to perform
     * @param first a number that selects the target of the action
     * @param second a number that selects how the action is performed
     * @param <A> the type of the actions
     */
    public record Step<A>(A action, int first, int second) {}

    /** Generates lists of {@code maxSteps / 2} to {@code maxSteps} steps. */
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
