package org.wasabimount.core.routing;

import org.wasabimount.core.OrganisationId;
import org.wasabimount.core.Validate;

/** A caller's request as the router sees it. */
public final class RoutedRequest {

    private final long id;
    private final OrganisationId organisation;
    private final String service;
    private final boolean repeatable;
    private final long arrivedMillis;
    private final long deadlineMillis;
    private int attempts;
    private BackendServer lastServer;
    private boolean mayHaveRun;
    private double finishTag;

    /**
     * Creates a request.
     *
     * @param id the host's number for the request
     * @param organisation the caller's organisation
     * @param service the service that is called
     * @param repeatable whether the request may run more than once
     * @param arrivedMillis monotonic time of its arrival
     * @param deadlineMillis monotonic time after which its answer is of no use
     */
    public RoutedRequest(
            long id,
            OrganisationId organisation,
            String service,
            boolean repeatable,
            long arrivedMillis,
            long deadlineMillis) {
        this.id = id;
        this.organisation = Validate.notNull(organisation, "organisation");
        this.service = Validate.notNull(service, "service");
        this.repeatable = repeatable;
        this.arrivedMillis = arrivedMillis;
        this.deadlineMillis = deadlineMillis;
    }

    /**
     * Returns the host's number for the request.
     *
     * @return the number
     */
    public long id() {
        return id;
    }

    /**
     * Returns the caller's organisation.
     *
     * @return the organisation
     */
    public OrganisationId organisation() {
        return organisation;
    }

    /**
     * Returns the service that is called.
     *
     * @return the service's name
     */
    public String service() {
        return service;
    }

    /**
     * Returns when the request arrived.
     *
     * @return monotonic time in milliseconds
     */
    public long arrivedMillis() {
        return arrivedMillis;
    }

    /**
     * Returns after when the answer is of no use.
     *
     * @return monotonic time in milliseconds
     */
    public long deadlineMillis() {
        return deadlineMillis;
    }

    /**
     * Returns how often the request was dispatched.
     *
     * @return the count
     */
    public int attempts() {
        return attempts;
    }

    boolean repeatable() {
        return repeatable;
    }

    BackendServer lastServer() {
        return lastServer;
    }

    /** Tells whether an earlier attempt may have run, so that no later refusal may say that none did. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    void recordAttempt(AttemptResult result) {
        mayHaveRun |= result.mayHaveRun();
    }

    void recordDispatch(BackendServer server) {
        attempts++;
        lastServer = server;
    }

    double finishTag() {
        return finishTag;
    }

    void setFinishTag(double newFinishTag) {
        finishTag = newFinishTag;
    }
}
