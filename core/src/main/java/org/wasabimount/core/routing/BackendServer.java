package org.wasabimount.core.routing;

import org.wasabimount.core.BackendServerId;
import org.wasabimount.core.FailureDomainId;
import org.wasabimount.core.OrganisationId;
import org.wasabimount.protocol.peer.BackendAnnouncement;

/** A backend server that has announced itself, with its health as observed by this entry VM. */
final class BackendServer {

    private static final int FAILURES_TO_EJECT = 3;
    private static final long MIN_EJECTION_MILLIS = 1_000;
    private static final long MAX_EJECTION_MILLIS = 30_000;
    private static final double LATENCY_SMOOTHING = 0.1;

    private final BackendServerId id;
    private BackendAnnouncement announcement;
    private long announcedMillis;
    private int inFlight;
    private int slotShare;
    private int consecutiveFailures;
    private long ejectionMillis;
    private long ejectedUntilMillis;
    private boolean ejected;
    private double latencyMillis;

    BackendServer(BackendAnnouncement announcement, long announcedMillis) {
        this.id = new BackendServerId(announcement.getServer());
        this.announcement = announcement;
        this.announcedMillis = announcedMillis;
    }

    BackendServerId id() {
        return id;
    }

    BackendAnnouncement announcement() {
        return announcement;
    }

    FailureDomainId domain() {
        return new FailureDomainId(announcement.getDomain());
    }

    PoolKey pool() {
        OrganisationId owner = announcement.getShared() ? null : new OrganisationId(announcement.getOrganisation());
        return new PoolKey(owner, announcement.getService());
    }

    long announcedMillis() {
        return announcedMillis;
    }

    /** Replaces the announcement if the given one is newer; ignores an older one that arrives late. */
    void update(BackendAnnouncement newer, long newerMillis) {
        if (newer.getSequence() > announcement.getSequence()) {
            announcement = newer;
            announcedMillis = newerMillis;
        }
    }

    /** Returns whether the server is not leaving and its last announcement is younger than the announcement term. */
    boolean present(long nowMillis, long termMillis) {
        return !announcement.getLeaving() && nowMillis - announcedMillis < termMillis;
    }

    /** Sets the number of the server's slots that are allotted to this entry VM. */
    void assignSlots(int slots) {
        slotShare = slots;
    }

    int slotShare() {
        return slotShare;
    }

    int inFlight() {
        return inFlight;
    }

    /**
     * Returns how many more requests this entry VM may send to the server now: none while the server is ejected, and
     * at most one at a time after a failure until an attempt succeeds.
     */
    int freeSlots(long nowMillis) {
        if (ejected && nowMillis < ejectedUntilMillis) {
            return 0;
        }
        int limit = ejected || consecutiveFailures > 0 ? Math.min(1, slotShare) : slotShare;
        return limit - inFlight;
    }

    /** Returns whether the server is ejected now, that is, gets no requests because of consecutive failures. */
    boolean ejected(long nowMillis) {
        return ejected && nowMillis < ejectedUntilMillis;
    }

    /** Returns when the last ejection ends; the server then gets one request at a time. */
    long ejectedUntilMillis() {
        return ejectedUntilMillis;
    }

    /** Returns the moving average of the latency of successful attempts, or 0 if there was none. */
    double latencyMillis() {
        return latencyMillis;
    }

    void attemptStarted() {
        inFlight++;
    }

    /**
     * Records the end of an attempt. After several consecutive failures the server is ejected, each time for twice as
     * long up to a maximum; a success ends the ejection.
     */
    void attemptFinished(AttemptResult result, long tookMillis, long nowMillis, boolean mayEject) {
        inFlight--;
        if (!result.failure()) {
            consecutiveFailures = 0;
            ejected = false;
            ejectionMillis = 0;
            latencyMillis =
                    latencyMillis == 0 ? tookMillis : latencyMillis + LATENCY_SMOOTHING * (tookMillis - latencyMillis);
            return;
        }
        consecutiveFailures++;
        if (ejected || mayEject && consecutiveFailures >= FAILURES_TO_EJECT) {
            ejectionMillis = Math.min(MAX_EJECTION_MILLIS, Math.max(MIN_EJECTION_MILLIS, 2 * ejectionMillis));
            ejectedUntilMillis = nowMillis + ejectionMillis;
            ejected = true;
        }
    }
}
