package org.wasabimount.core.routing;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.integers;
import static org.quicktheories.generators.SourceDSL.lists;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.quicktheories.core.Gen;
import org.testng.annotations.Test;
import org.wasabimount.core.FailureDomainId;
import org.wasabimount.core.OrganisationId;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.VmId;
import org.wasabimount.protocol.peer.BackendAnnouncement;

/** Checks the router's decisions against what servers actually received, under failures chosen from a seed. */
public class RouterFuzzTest {

    private static final long SEED = Long.getLong("fuzz.seed", 20261203L);
    private static final int EXAMPLES = Integer.getInteger("fuzz.examples", 200);
    private static final int STEPS = Integer.getInteger("fuzz.steps", 600);
    private static final int MAX_NUMBER = 1_000_000;
    private static final int SERVERS = 4;
    private static final int SLOTS = 3;
    private static final long TERM_MILLIS = 3_000;

    private record Step(int action, int first, int second) {}

    /** The router under test, with the actual state of every request, attempt and server. */
    private static final class Model {
        private final RequestRouter router =
                new RequestRouter(new VmId("vm"), new FailureDomainId("domain"), RoutingPolicy.FAIR_SLOTS, 1);
        private final Map<Long, RoutedRequest> openRequests = new LinkedHashMap<>();
        private final Map<Long, Boolean> repeatable = new HashMap<>();
        private final Map<Long, Integer> mayHaveRun = new HashMap<>();
        private final List<RoutingAction.Dispatch> attempts = new ArrayList<>();
        private final List<RoutingAction.Dispatch> endedAttempts = new ArrayList<>();
        private final Map<String, Long> leftMillis = new HashMap<>();
        private final Map<String, Long> announcedMillis = new HashMap<>();
        private final Map<String, Integer> inFlight = new HashMap<>();
        private final List<BackendAnnouncement> announcements = new ArrayList<>();
        private long nowMillis = 100_000;
        private long nextId;
        private long sequence;

        private void announce(int number, boolean leaving) {
            String server = "server-" + number % SERVERS;
            sequence++;
            BackendAnnouncement announcement = BackendAnnouncement.newBuilder()
                    .setServer(server)
                    .setOrganisation("org-0")
                    .setShared(true)
                    .setService("service")
                    .setAddress("127.0.0.1:1")
                    .setDomain("domain")
                    .setSlots(SLOTS)
                    .setLeaving(leaving)
                    .setSequence(sequence)
                    .build();
            announcements.add(announcement);
            announcedMillis.put(server, nowMillis);
            if (leaving) {
                leftMillis.put(server, nowMillis);
            } else {
                leftMillis.remove(server);
            }
            router.announce(announcement, nowMillis);
            executeActions();
        }

        /** Delivers an earlier announcement again, as happens when it is forwarded by another entry VM. */
        private void repeatAnnouncement(int number) {
            if (!announcements.isEmpty()) {
                router.announce(announcements.get(number % announcements.size()), nowMillis);
                executeActions();
            }
        }

        private void route(int number, int second) {
            nextId++;
            boolean mayRepeat = second % 2 == 0;
            RoutedRequest request = new RoutedRequest(
                    nextId,
                    new OrganisationId("org-" + number % 3),
                    "service",
                    mayRepeat,
                    nowMillis,
                    nowMillis + 100 + second % 5_000);
            openRequests.put(nextId, request);
            repeatable.put(nextId, mayRepeat);
            router.route(request, nowMillis);
            executeActions();
        }

        private void finish(int number, AttemptResult result) {
            if (attempts.isEmpty()) {
                return;
            }
            RoutingAction.Dispatch attempt = attempts.remove(number % attempts.size());
            endedAttempts.add(attempt);
            inFlight.merge(attempt.server().name(), -1, Integer::sum);
            if (result.mayHaveRun() || result == AttemptResult.ANSWERED) {
                mayHaveRun.merge(attempt.request().id(), 1, Integer::sum);
            }
            assertTrue(
                    router.attemptFinished(attempt.attempt(), result, nowMillis),
                    "the router did not accept the result of an open attempt");
            executeActions();
        }

        private void finishEndedAttempt(int number) {
            if (!endedAttempts.isEmpty()) {
                RoutingAction.Dispatch attempt = endedAttempts.get(number % endedAttempts.size());
                boolean accepted = router.attemptFinished(attempt.attempt(), AttemptResult.ANSWERED, nowMillis);
                assertTrue(!accepted, "the router accepted a late response");
            }
        }

        private void executeActions() {
            for (RoutingAction action : router.takeActions()) {
                if (action instanceof RoutingAction.Dispatch dispatch) {
                    checkDispatch(dispatch);
                    attempts.add(dispatch);
                } else {
                    long id = action.request().id();
                    assertTrue(openRequests.remove(id) != null, "request " + id + " ended twice");
                    if (action instanceof RoutingAction.GiveUp giveUp) {
                        boolean reportedNotRun = giveUp.refusal().code().outcome() == ResultCode.Outcome.NOT_RUN;
                        assertTrue(
                                !reportedNotRun || !mayHaveRun.containsKey(id),
                                "request " + id + " may have run, but was reported as not run: " + giveUp.refusal());
                    }
                }
            }
        }

        private void checkDispatch(RoutingAction.Dispatch dispatch) {
            long id = dispatch.request().id();
            String server = dispatch.server().name();
            assertTrue(
                    repeatable.get(id) || !mayHaveRun.containsKey(id),
                    "request " + id + " is not repeatable and was sent again although it may have run");
            assertTrue(!leftMillis.containsKey(server), server + " is leaving and was sent a request");
            assertTrue(
                    nowMillis - announcedMillis.get(server) < TERM_MILLIS,
                    server + " had no valid announcement and was sent a request");
            int load = inFlight.merge(server, 1, Integer::sum);
            assertTrue(load <= SLOTS, server + " has " + load + " requests in flight for " + SLOTS + " slots");
        }

        private void settleAndCheck() {
            for (int round = 0; round < 200 && !openRequests.isEmpty(); round++) {
                nowMillis += 100;
                for (int server = 0; server < SERVERS; server++) {
                    announce(server, false);
                }
                router.tick(nowMillis);
                executeActions();
                while (!attempts.isEmpty()) {
                    finish(0, AttemptResult.ANSWERED);
                }
            }
            assertEquals(openRequests.size(), 0, "requests that did not end");
            assertEquals(router.openRequests(), 0, "the router still holds requests that ended");
        }
    }

    private static Gen<List<Step>> steps() {
        Gen<Step> step = integers()
                .between(0, 99)
                .zip(integers().between(0, MAX_NUMBER), integers().between(0, MAX_NUMBER), Step::new);
        return lists().of(step).ofSizeBetween(STEPS / 2, STEPS);
    }

    @Test
    public void endsEveryRequestOnceWithCorrectOutcome() {
        qt().withFixedSeed(SEED)
                .withExamples(EXAMPLES)
                .withShrinkCycles(EXAMPLES)
                .forAll(steps())
                .checkAssert(steps -> {
                    Model model = new Model();
                    steps.forEach(step -> apply(model, step));
                    model.settleAndCheck();
                });
    }

    private static void apply(Model model, Step step) {
        int action = step.action();
        if (action < 20) {
            model.announce(step.first(), step.second() % 12 == 0);
        } else if (action < 24) {
            model.repeatAnnouncement(step.first());
        } else if (action < 55) {
            model.route(step.first(), step.second());
        } else if (action < 80) {
            model.finish(step.first(), AttemptResult.values()[step.second() % 7 % AttemptResult.values().length]);
        } else if (action < 84) {
            model.finishEndedAttempt(step.first());
        } else if (action < 99) {
            model.nowMillis += step.first() % 200;
            model.router.tick(model.nowMillis);
            model.executeActions();
        } else {
            model.nowMillis += TERM_MILLIS;
        }
    }
}
