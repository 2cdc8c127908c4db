package org.wasabimount.core.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.FailureDomainId;
import org.wasabimount.core.OrganisationId;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.VmId;
import org.wasabimount.protocol.peer.BackendAnnouncement;

/** Tests individual routing decisions. */
public class RequestRouterTest {

    private static final VmId SELF = new VmId("d1-1");
    private static final FailureDomainId OWN_DOMAIN = new FailureDomainId("d1");
    private static final FailureDomainId OTHER_DOMAIN = new FailureDomainId("d2");

    private RequestRouter router;
    private long nextId;
    private long sequence;

    @BeforeMethod
    public void createRouter() {
        router = new RequestRouter(SELF, OWN_DOMAIN, RoutingPolicy.FAIR_SLOTS, 1);
        router.entryVms(Map.of(SELF, OWN_DOMAIN, new VmId("d2-1"), OTHER_DOMAIN), 0);
    }

    @Test
    public void prefersOwnDomain() {
        announce("near", "d1", false, 0);
        announce("far", "d2", false, 0);
        assertEquals(singleDispatch(route("a", 5_000, 0)).server().name(), "near");
    }

    @Test
    public void servesFromOtherDomainWhenOwnServerLeaves() {
        announce("near", "d1", false, 0);
        announce("far", "d2", false, 0);
        announce("near", "d1", true, 100);
        assertEquals(singleDispatch(route("a", 5_000, 200)).server().name(), "far");
    }

    @Test
    public void servesFromOtherDomainWhenOwnServerIsSilent() {
        announce("near", "d1", false, 0);
        announce("far", "d2", false, 2_000);
        router.tick(3_100);
        assertEquals(singleDispatch(route("a", 5_000, 3_200)).server().name(), "far");
    }

    @Test
    public void raisesAttemptTimeoutAfterEachTimeout() {
        announce("near", "d1", false, 0);
        RoutingAction.Dispatch first = singleDispatch(route("a", 60_000, 0));
        router.attemptFinished(first.attempt(), AttemptResult.TIMED_OUT, first.timeoutMillis());
        router.takeActions();
        RoutingAction.Dispatch second = singleDispatch(route("a", 60_000, 2_000));
        assertTrue(second.timeoutMillis() >= 2 * first.timeoutMillis(), "the second attempt has no longer timeout");
    }

    @Test
    public void refusesRequestThatCannotBeServedBeforeItsDeadline() {
        announce("near", "d1", false, 0);
        for (int number = 0; number < 40; number++) {
            route("a", 60_000, 0);
        }
        RoutingAction.GiveUp refused = (RoutingAction.GiveUp) route("a", 20, 0).get(0);
        assertEquals(refused.refusal().code(), ResultCode.DEADLINE_UNREACHABLE);
        assertTrue(refused.refusal().retryAfterMillis() > 0);
    }

    /** Guards against a request that gets no response at its deadline, as one that may wait longer is queued before it. */
    @Test
    public void requestIsRefusedAtItsDeadlineBehindOneWithLaterDeadline() {
        announce("near", "d1", false, 0);
        for (int slot = 0; slot < 2; slot++) {
            singleDispatch(route("a", 60_000, 0));
        }
        assertEquals(route("a", 60_000, 0), List.of());
        assertEquals(route("a", 1_000, 0), List.of());
        router.tick(1_000);
        List<RoutingAction> actions = router.takeActions();
        assertEquals(actions.size(), 1);
        assertEquals(((RoutingAction.GiveUp) actions.get(0)).refusal().code(), ResultCode.DEADLINE_PASSED);
    }

    /** Guards against a request that waits until its deadline for a server that gets no requests until later. */
    @Test
    public void refusesRequestWhoseDeadlinePassesWhileAllServersAreEjected() {
        announce("near", "d1", false, 0);
        for (int failure = 0; failure < 3; failure++) {
            RoutingAction.Dispatch dispatch = singleDispatch(route("a", 60_000, 0));
            router.attemptFinished(dispatch.attempt(), AttemptResult.SERVER_ERROR, 0);
            router.takeActions();
        }
        List<RoutingAction> actions = route("a", 500, 0);
        assertEquals(actions.size(), 1);
        assertEquals(((RoutingAction.GiveUp) actions.get(0)).refusal().code(), ResultCode.DEADLINE_UNREACHABLE);
        assertEquals(route("a", 1_500, 0), List.of());
        router.tick(1_000);
        singleDispatch(router.takeActions());
    }

    /** Guards against a request that waits until its deadline for a slot that other entry VMs hold. */
    @Test
    public void refusesRequestAtOnceIfThisVmHoldsNoSlot() {
        int refused = 0;
        for (int number = 0; number < 10; number++) {
            createRouter();
            announce("server-" + number, "d1", false, 0, 1);
            List<RoutingAction> actions = route("a", 5_000, 0);
            assertEquals(actions.size(), 1);
            if (actions.get(0) instanceof RoutingAction.GiveUp refusal) {
                assertEquals(refusal.refusal().code(), ResultCode.DEADLINE_UNREACHABLE);
                assertEquals(refusal.refusal().retryAfterMillis(), 1_000);
                refused++;
            }
        }
        assertTrue(refused > 0 && refused < 10, refused + " of 10 servers give their only slot to the other VM");
    }

    @Test
    public void floodOfOneOrganisationDoesNotDelayAnother() {
        announce("near", "d1", false, 0);
        for (int number = 0; number < 100; number++) {
            route("flood", 60_000, 0);
        }
        route("calm", 60_000, 0);
        router.attemptFinished(1, AttemptResult.ANSWERED, 10);
        router.attemptFinished(2, AttemptResult.ANSWERED, 10);
        long dispatchesForCalm = router.takeActions().stream()
                .filter(action -> action instanceof RoutingAction.Dispatch)
                .filter(action -> action.request().organisation().name().equals("calm"))
                .count();
        assertEquals(dispatchesForCalm, 1);
    }

    @Test
    public void ejectsFailingServerAndReadmitsItGradually() {
        announce("good", "d1", false, 0);
        announce("bad", "d1", false, 0);
        long attemptsOnFailingServer = 0;
        for (int number = 0; number < 100; number++) {
            RoutingAction.Dispatch dispatch = singleDispatch(route("a", 5_000, number));
            boolean failing = dispatch.server().name().equals("bad");
            attemptsOnFailingServer += failing ? 1 : 0;
            router.attemptFinished(
                    dispatch.attempt(), failing ? AttemptResult.SERVER_ERROR : AttemptResult.ANSWERED, number);
            while (true) {
                List<RoutingAction> more = router.takeActions();
                if (more.isEmpty() || !(more.get(0) instanceof RoutingAction.Dispatch retry)) {
                    break;
                }
                attemptsOnFailingServer += retry.server().name().equals("bad") ? 1 : 0;
                router.attemptFinished(retry.attempt(), AttemptResult.ANSWERED, number);
            }
        }
        assertTrue(attemptsOnFailingServer <= 3, attemptsOnFailingServer + " attempts went to the failing server");
    }

    @Test
    public void retriesStayWithinBudget() {
        announce("one", "d1", false, 0);
        announce("two", "d1", false, 0);
        int dispatches = 0;
        for (int number = 0; number < 1_000; number++) {
            long nowMillis = number * 40_000L;
            announce("one", "d1", false, nowMillis);
            announce("two", "d1", false, nowMillis);
            List<RoutingAction> actions = route("a", 5_000, nowMillis);
            while (!actions.isEmpty() && actions.get(0) instanceof RoutingAction.Dispatch dispatch) {
                dispatches++;
                router.attemptFinished(dispatch.attempt(), AttemptResult.CUT_SHORT, nowMillis);
                actions = router.takeActions();
            }
        }
        assertTrue(dispatches <= 1_000 * 1.1 + 11, dispatches + " attempts for 1000 requests");
    }

    /** Guards against a request that ends every server that it is sent to. */
    @Test
    public void requestThatEndsItsServersIsNotSentToAThird() {
        announce("one", "d1", false, 0);
        announce("two", "d1", false, 0);
        announce("three", "d1", false, 0);
        // Requests that are answered at once fill the budget for retries.
        for (int number = 0; number < 100; number++) {
            router.attemptFinished(singleDispatch(route("a", 5_000, 0)).attempt(), AttemptResult.ANSWERED, 0);
            router.takeActions();
        }
        int attempts = 0;
        List<RoutingAction> actions = route("a", 5_000, 0);
        while (actions.get(0) instanceof RoutingAction.Dispatch dispatch) {
            attempts++;
            router.attemptFinished(dispatch.attempt(), AttemptResult.CUT_SHORT, attempts);
            actions = router.takeActions();
        }
        assertEquals(attempts, 2);
        assertEquals(((RoutingAction.GiveUp) actions.get(0)).refusal().code(), ResultCode.ANSWER_LOST);
    }

    private List<RoutingAction> route(String organisation, long timeoutMillis, long nowMillis) {
        nextId++;
        router.route(
                new RoutedRequest(
                        nextId, new OrganisationId(organisation), "echo", true, nowMillis, nowMillis + timeoutMillis),
                nowMillis);
        return router.takeActions();
    }

    private static RoutingAction.Dispatch singleDispatch(List<RoutingAction> actions) {
        assertEquals(actions.size(), 1);
        return (RoutingAction.Dispatch) actions.get(0);
    }

    private void announce(String server, String domain, boolean leaving, long nowMillis) {
        announce(server, domain, leaving, nowMillis, 4);
    }

    private void announce(String server, String domain, boolean leaving, long nowMillis, int slots) {
        sequence++;
        router.announce(
                BackendAnnouncement.newBuilder()
                        .setServer(server)
                        .setOrganisation("owner")
                        .setShared(true)
                        .setService("echo")
                        .setAddress("127.0.0.1:1")
                        .setDomain(domain)
                        .setSlots(slots)
                        .setLeaving(leaving)
                        .setSequence(sequence)
                        .build(),
                nowMillis);
    }
}
