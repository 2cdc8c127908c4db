package org.wasabimount.core.log;

/** A leader's record of the replication progress of one other replica. */
final class PeerProgress {

    long matchIndex;
    long nextIndex;
    long ackedRound;
    int inFlight;
    long snapshotSentMillis = Long.MIN_VALUE;

    PeerProgress(long nextIndex) {
        this.nextIndex = nextIndex;
    }

    void onAppendAccepted(long acceptedIndex) {
        matchIndex = Math.max(matchIndex, acceptedIndex);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
    }

    void onAppendRejected(long hint) {
        nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex, hint + 1));
    }
}
