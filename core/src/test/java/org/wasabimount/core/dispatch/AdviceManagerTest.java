package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.job.IncarnationId;
import org.wasabimount.core.job.StepId;

/** How calls for advice are shared among VMs, and how long their answers count. */
public class AdviceManagerTest {

    private static final IncarnationId ONE = new IncarnationId("one", 1);
    private static final IncarnationId TWO = new IncarnationId("two", 1);
    private static final StepId STEP = new StepId("job", 0, 0);

    private AdviceManager desk;

    @BeforeMethod
    public void threeCallers() {
        desk = new AdviceManager();
        desk.callers(List.of("a", "b", "c"));
    }

    private static StepId step(int number) {
        return new StepId("job" + number, 0, 0);
    }

    @Test
    public void givesEachCallerOneCallAtATime() {
        assertEquals(desk.ask(step(1), List.of(ONE), 10, 0).orElseThrow().caller(), "a");
        assertEquals(desk.ask(step(2), List.of(ONE), 10, 0).orElseThrow().caller(), "b");
        assertEquals(desk.ask(step(3), List.of(ONE), 10, 0).orElseThrow().caller(), "c");
        assertEquals(desk.ask(step(4), List.of(ONE), 10, 0), Optional.empty());
    }

    @Test
    public void keepsCallersFreeForShortCalls() {
        assertTrue(desk.ask(step(1), List.of(ONE), 500, 0).isPresent());
        assertEquals(desk.ask(step(2), List.of(ONE), 500, 0), Optional.empty());
        assertTrue(desk.ask(step(3), List.of(ONE), 10, 0).isPresent());
    }

    @Test
    public void ticketCountsFromTheSendingOfItsCall() {
        DispatchAction.RequestAdvice ask =
                desk.ask(STEP, List.of(ONE, TWO), 10, 1_000).orElseThrow();
        desk.answered(ask.id(), new AdviceResult(true, Map.of("one", "t"), 1_500), 1_700);
        assertEquals(desk.ticket(STEP, ONE, 1_800), Optional.of("t"));
        assertEquals(desk.ticket(STEP, ONE, 2_450), Optional.empty());
        assertTrue(desk.good(STEP, ONE), "what may run a step does not change");
        assertTrue(desk.bad(STEP, TWO));
    }

    @Test
    public void callerWhoseCallFailedRests() {
        DispatchAction.RequestAdvice ask = desk.ask(STEP, List.of(ONE), 10, 0).orElseThrow();
        desk.answered(ask.id(), AdviceResult.NONE, 100);
        assertFalse(desk.asking(STEP));
        assertFalse(desk.bad(STEP, ONE), "a call that failed says nothing of the workers");
        assertEquals(desk.ask(STEP, List.of(ONE), 10, 200).orElseThrow().caller(), "b");
    }

    @Test
    public void lostCallFreesItsCaller() {
        desk.callers(List.of("a"));
        assertTrue(desk.ask(step(1), List.of(ONE), 10, 0).isPresent());
        desk.tick(10_000);
        assertTrue(desk.ask(step(2), List.of(ONE), 10, 11_000).isPresent());
    }
}
