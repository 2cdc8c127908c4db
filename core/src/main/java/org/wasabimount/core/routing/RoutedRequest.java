package org.wasabimount.core.routing;

import org.wasabimount.core.OrganisationId;
import org.wasabimount.core.Validate;

/** A caller's request, with the state that the router keeps for it. */
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
    private int cutShort;
    private double finishTag;

    /**
     * Creates a request.
     *
     * @param id the number that identifies the request, assigned by the code that drives the router
     * @param organisation the caller's organisation
     * @param service the service that is called
     * @param repeatable whether the request may safely run more than once
     * @param arrivedMillis monotonic time of its arrival in milliseconds
     * @param deadlineMillis monotonic time in milliseconds after which the caller no longer waits for a response
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
     * Returns the number that identifies the request.
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
     * Returns the time after which the caller no longer waits for a response.
     *
     * @return monotonic time in milliseconds
     */
    public long deadlineMillis() {
        return deadlineMillis;
    }

    /**
     * Returns how many times the request was sent to a server.
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

    /** Returns whether an earlier attempt may have run, so that a later refusal must not report that none did. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    void recordAttempt(AttemptResult result) {
        mayHaveRun |= result.mayHaveRun();
        cutShort += result == AttemptResult.CUT_SHORT ? 1 : 0;
    }

    /** Returns how many servers closed the connection after they had received the request. */
    int cutShort() {
        return cutShort;
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
