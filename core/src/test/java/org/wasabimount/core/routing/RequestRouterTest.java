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

/** Single decisions of the router. */
public class RequestRouterTest {

    private static final VmId SELF = new VmId("d1-1");
    private static final FailureDomainId OWN = new FailureDomainId("d1");
    private static final FailureDomainId OTHER = new FailureDomainId("d2");

    private RequestRouter router;
    private long nextId;
    private long sequence;

    @BeforeMethod
    public void emptyRouter() {
        router = new RequestRouter(SELF, OWN, RoutingPolicy.FAIR_SLOTS, 1);
        router.entryVms(Map.of(SELF, OWN, new VmId("d2-1"), OTHER), 0);
    }

    @Test
    public void prefersOwnDomain() {
        announce("near", "d1", false, 0);
        announce("far", "d2", false, 0);
        assertEquals(dispatched(arrive("a", 5_000, 0)).server().name(), "near");
    }

    @Test
    public void servesFromOtherDomainWhenOwnServerLeaves() {
        announce("near", "d1", false, 0);
        announce("far", "d2", false, 0);
        announce("near", "d1", true, 100);
        assertEquals(dispatched(arrive("a", 5_000, 200)).server().name(), "far");
    }

    @Test
    public void servesFromOtherDomainWhenOwnServerIsSilent() {
        announce("near", "d1", false, 0);
        announce("far", "d2", false, 2_000);
        router.tick(3_100);
        assertEquals(dispatched(arrive("a", 5_000, 3_200)).server().name(), "far");
    }

    @Test
    public void givesSlowServiceMoreTimeAfterEachTimeout() {
        announce("near", "d1", false, 0);
        RoutingAction.Dispatch first = dispatched(arrive("a", 60_000, 0));
        router.finished(first.attempt(), AttemptResult.TIMED_OUT, first.timeoutMillis());
        router.drain();
        RoutingAction.Dispatch second = dispatched(arrive("a", 60_000, 2_000));
        assertTrue(second.timeoutMillis() >= 2 * first.timeoutMillis(), "the second try has no more time");
    }

    @Test
    public void refusesAtOnceWhatCannotBeServedInTime() {
        announce("near", "d1", false, 0);
        for (int number = 0; number < 40; number++) {
            arrive("a", 60_000, 0);
        }
        RoutingAction.GiveUp refused = (RoutingAction.GiveUp) arrive("a", 20, 0).get(0);
        assertEquals(refused.refusal().code(), ResultCode.DEADLINE_UNREACHABLE);
        assertTrue(refused.refusal().retryAfterMillis() > 0);
    }

    @Test
    public void floodOfOneOrganisationDoesNotDelayAnother() {
        announce("near", "d1", false, 0);
        for (int number = 0; number < 100; number++) {
            arrive("flood", 60_000, 0);
        }
        arrive("calm", 60_000, 0);
        router.finished(1, AttemptResult.ANSWERED, 10);
        router.finished(2, AttemptResult.ANSWERED, 10);
        long calm = router.drain().stream()
                .filter(action -> action instanceof RoutingAction.Dispatch)
                .filter(action -> action.request().organisation().name().equals("calm"))
                .count();
        assertEquals(calm, 1);
    }

    @Test
    public void failingServerIsLeftOutAndComesBackSlowly() {
        announce("good", "d1", false, 0);
        announce("bad", "d1", false, 0);
        long toBad = 0;
        for (int number = 0; number < 100; number++) {
            RoutingAction.Dispatch dispatch = dispatched(arrive("a", 5_000, number));
            boolean bad = dispatch.server().name().equals("bad");
            toBad += bad ? 1 : 0;
            router.finished(dispatch.attempt(), bad ? AttemptResult.SERVER_ERROR : AttemptResult.ANSWERED, number);
            while (true) {
                List<RoutingAction> more = router.drain();
                if (more.isEmpty() || !(more.get(0) instanceof RoutingAction.Dispatch retry)) {
                    break;
                }
                toBad += retry.server().name().equals("bad") ? 1 : 0;
                router.finished(retry.attempt(), AttemptResult.ANSWERED, number);
            }
        }
        assertTrue(toBad <= 3, toBad + " tries went to the failing server");
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
            List<RoutingAction> actions = arrive("a", 5_000, nowMillis);
            while (!actions.isEmpty() && actions.get(0) instanceof RoutingAction.Dispatch dispatch) {
                dispatches++;
                router.finished(dispatch.attempt(), AttemptResult.CUT_SHORT, nowMillis);
                actions = router.drain();
            }
        }
        assertTrue(dispatches <= 1_000 * 1.1 + 11, dispatches + " tries of 1000 requests");
    }

    private List<RoutingAction> arrive(String organisation, long timeoutMillis, long nowMillis) {
        nextId++;
        router.arrive(
                new RoutedRequest(
                        nextId, new OrganisationId(organisation), "echo", true, nowMillis, nowMillis + timeoutMillis),
                nowMillis);
        return router.drain();
    }

    private static RoutingAction.Dispatch dispatched(List<RoutingAction> actions) {
        assertEquals(actions.size(), 1);
        return (RoutingAction.Dispatch) actions.get(0);
    }

    private void announce(String server, String domain, boolean leaving, long nowMillis) {
        sequence++;
        router.announce(
                BackendAnnouncement.newBuilder()
                        .setServer(server)
                        .setOrganisation("owner")
                        .setShared(true)
                        .setService("echo")
                        .setAddress("127.0.0.1:1")
                        .setDomain(domain)
                        .setSlots(4)
                        .setLeaving(leaving)
                        .setSequence(sequence)
                        .build(),
                nowMillis);
    }
}
