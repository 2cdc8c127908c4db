package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.job.IncarnationId;
import org.wasabimount.core.job.StepId;

/** Tests how advice calls are distributed among VMs, and how long their results are valid. */
public class AdviceManagerTest {

    private static final IncarnationId ONE = new IncarnationId("one", 1);
    private static final IncarnationId TWO = new IncarnationId("two", 1);
    private static final StepId STEP = new StepId("job", 0, 0);

    private AdviceManager manager;

    @BeforeMethod
    public void createManagerWithThreeCallers() {
        manager = new AdviceManager();
        manager.callers(List.of("a", "b", "c"));
    }

    private static StepId step(int number) {
        return new StepId("job" + number, 0, 0);
    }

    @Test
    public void assignsOneCallPerCallerAtATime() {
        assertEquals(
                manager.requestAdvice(step(1), List.of(ONE), 10, 0)
                        .orElseThrow()
                        .caller(),
                "a");
        assertEquals(
                manager.requestAdvice(step(2), List.of(ONE), 10, 0)
                        .orElseThrow()
                        .caller(),
                "b");
        assertEquals(
                manager.requestAdvice(step(3), List.of(ONE), 10, 0)
                        .orElseThrow()
                        .caller(),
                "c");
        assertEquals(manager.requestAdvice(step(4), List.of(ONE), 10, 0), Optional.empty());
    }

    @Test
    public void reservesCallersForShortCalls() {
        assertTrue(manager.requestAdvice(step(1), List.of(ONE), 500, 0).isPresent());
        assertEquals(manager.requestAdvice(step(2), List.of(ONE), 500, 0), Optional.empty());
        assertTrue(manager.requestAdvice(step(3), List.of(ONE), 10, 0).isPresent());
    }

    @Test
    public void ticketValidityStartsAtDeclaredEndOfCall() {
        DispatchAction.RequestAdvice longCall =
                manager.requestAdvice(STEP, List.of(ONE, TWO), 900, 0).orElseThrow();
        manager.answered(longCall.id(), AdviceResult.answered(Map.of("one", "t"), 1_500), 1_700);
        assertEquals(manager.ticket(STEP, ONE, 2_200), Optional.of("t"));
        assertEquals(manager.ticket(STEP, ONE, 2_350), Optional.empty(), "the response was delayed");
    }

    @Test
    public void delayedResponseDoesNotExtendTicket() {
        DispatchAction.RequestAdvice requestAdvice =
                manager.requestAdvice(STEP, List.of(ONE, TWO), 10, 1_000).orElseThrow();
        manager.answered(requestAdvice.id(), AdviceResult.answered(Map.of("one", "t"), 1_500), 1_700);
        assertEquals(manager.ticket(STEP, ONE, 1_800), Optional.of("t"));
        assertEquals(manager.ticket(STEP, ONE, 2_450), Optional.empty());
        assertTrue(manager.eligible(STEP, ONE), "eligibility must outlive the ticket");
        assertTrue(manager.ineligible(STEP, TWO));
    }

    @Test
    public void callerBacksOffAfterFailedCall() {
        DispatchAction.RequestAdvice requestAdvice =
                manager.requestAdvice(STEP, List.of(ONE), 10, 0).orElseThrow();
        manager.answered(requestAdvice.id(), AdviceResult.failed(AdviceOutcome.NO_ANSWER), 100);
        assertFalse(manager.callInProgress(STEP));
        assertFalse(manager.ineligible(STEP, ONE), "a failed call must not make a worker ineligible");
        assertEquals(
                manager.requestAdvice(STEP, List.of(ONE), 10, 200).orElseThrow().caller(), "b");
    }

    @Test
    public void reportsOutcomeOfEachCompletedCallOnce() {
        List<CompletedAdviceCall> completedCalls = new ArrayList<>();
        manager.setCallListener(completedCalls::add);
        long refusedId = manager.requestAdvice(STEP, List.of(ONE, TWO), 10, 0)
                .orElseThrow()
                .id();
        manager.answered(refusedId, AdviceResult.failed(AdviceOutcome.REFUSED, 400), 30);
        manager.answered(refusedId, AdviceResult.failed(AdviceOutcome.REFUSED, 400), 40);
        assertEquals(completedCalls, List.of(new CompletedAdviceCall(STEP, "a", 2, AdviceOutcome.REFUSED, 400, 30)));
        assertEquals(manager.lastOutcome(STEP), Optional.of(AdviceOutcome.REFUSED));
    }

    @Test
    public void reportsOverdueCallAsUnanswered() {
        List<CompletedAdviceCall> completedCalls = new ArrayList<>();
        manager.setCallListener(completedCalls::add);
        manager.requestAdvice(STEP, List.of(ONE), 10, 0);
        manager.tick(10_000);
        assertEquals(
                completedCalls, List.of(new CompletedAdviceCall(STEP, "a", 1, AdviceOutcome.NO_ANSWER, 0, 10_000)));
    }

    @Test
    public void overdueCallReleasesCaller() {
        manager.callers(List.of("a"));
        assertTrue(manager.requestAdvice(step(1), List.of(ONE), 10, 0).isPresent());
        manager.tick(10_000);
        assertTrue(manager.requestAdvice(step(2), List.of(ONE), 10, 11_000).isPresent());
    }
}
