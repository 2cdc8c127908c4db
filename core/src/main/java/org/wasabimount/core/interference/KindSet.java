package org.wasabimount.core.interference;

/**
 * The kinds of the runs on a worker, by their numbers.
 *
 * @param present the kinds of at least one run
 * @param repeated the kinds of at least two runs
 */
record KindSet(long present, long repeated) {

    static final KindSet EMPTY = new KindSet(0, 0);

    KindSet with(int number) {
        long bit = 1L << number;
        return new KindSet(present | bit, repeated | present & bit);
    }

    /** Returns the kinds of the other runs, for a run that is in this set. */
    long beside(int number) {
        long bit = 1L << number;
        return present & ~bit | repeated & bit;
    }
}
