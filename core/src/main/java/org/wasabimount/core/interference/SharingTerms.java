package org.wasabimount.core.interference;

/**
 * What the contract says about tasks that share a worker.
 *
 * @param harmMillis how long a serving task may miss its target on end because of fillers beside it, in milliseconds; zero
 *     if the contract says nothing about sharing: then nothing is learnt and nothing is paced
 * @param paceMillis the time after which a worker has carried out a pacing order, in milliseconds
 */
public record SharingTerms(long harmMillis, long paceMillis) {

    /** The terms of a deployment whose contract says nothing about sharing. */
    public static final SharingTerms NONE = new SharingTerms(0, 0);

    /** Validates the terms. */
    public SharingTerms {
        if (harmMillis < 0 || paceMillis < 0) {
            throw new IllegalArgumentException("harmMillis and paceMillis must not be negative");
        }
    }

    /**
     * Returns whether the contract says something about sharing.
     *
     * @return false if nothing is to be learnt or paced
     */
    public boolean declared() {
        return harmMillis > 0;
    }
}
