package org.wasabimount.core.interference;

import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * The comparisons of the pace of one kind with and without another, as a median of means over groups of workers: a slow
 * worker or a few odd tasks move the mean of one group and hardly the median. Older comparisons count less.
 */
final class PairEvidence {

    /** Number of groups into which workers are divided. */
    static final int GROUPS = 8;

    /** Time in which the weight of a comparison halves, in milliseconds: some times the duration of usual tasks. */
    private static final double HALF_LIFE_MILLIS = 60_000;

    /** Weight from which the mean of a group counts: more than one recent comparison. */
    private static final double MIN_GROUP_WEIGHT = 1.5;

    private final double[] weights = new double[GROUPS];
    private final double[] sums = new double[GROUPS];
    private final long firstMillis;
    private long decayedMillis;
    private long latestMillis;

    PairEvidence(long nowMillis) {
        firstMillis = nowMillis;
        decayedMillis = nowMillis;
        latestMillis = nowMillis;
    }

    /** Adds a comparison: the logarithm of the factor by which the neighbour slowed the task. */
    void add(int group, double logSlowdown, long nowMillis) {
        decay(nowMillis);
        latestMillis = nowMillis;
        weights[group] += 1;
        sums[group] += logSlowdown;
    }

    void decay(long nowMillis) {
        double factor = Math.pow(0.5, (nowMillis - decayedMillis) / HALF_LIFE_MILLIS);
        decayedMillis = nowMillis;
        for (int group = 0; group < GROUPS; group++) {
            weights[group] *= factor;
            sums[group] *= factor;
        }
    }

    double weight() {
        return Arrays.stream(weights).sum();
    }

    /** Returns the means of the groups that have enough comparisons, in ascending order. */
    double[] means() {
        return IntStream.range(0, GROUPS)
                .filter(group -> weights[group] >= MIN_GROUP_WEIGHT)
                .mapToDouble(group -> sums[group] / weights[group])
                .sorted()
                .toArray();
    }

    long firstMillis() {
        return firstMillis;
    }

    long latestMillis() {
        return latestMillis;
    }
}
