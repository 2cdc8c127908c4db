package org.wasabimount.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.stream.IntStream;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Which log lines are left out when one kind floods the log. */
public class LogBudgetTest {

    private static final int LINES = 5;

    private LogBudget budget;

    @BeforeMethod
    public void newBudget() {
        budget = new LogBudget(LINES);
        budget.leftOut(1_000);
    }

    private long taken(int lines) {
        return IntStream.range(0, lines)
                .filter(line -> budget.take("RUN failed run=" + line))
                .count();
    }

    @Test
    public void boundsOneKind() {
        assertEquals(taken(20), LINES);
    }

    @Test
    public void leavesOtherKindsAlone() {
        taken(20);
        assertTrue(budget.take("LEAD term=3"));
    }

    @Test
    public void tellsWhatWasLeftOut() {
        taken(20);
        assertEquals(budget.leftOut(1_900), Map.of(), "the second goes on");
        assertEquals(budget.leftOut(2_000), Map.of("RUN failed run", 15));
        assertEquals(budget.leftOut(2_001), Map.of());
    }

    @Test
    public void beginsAnewWithEachSecond() {
        taken(20);
        budget.leftOut(2_000);
        assertEquals(taken(20), LINES);
    }

    @Test
    public void goesOnWhenTimeOfDayJumpsBack() {
        taken(20);
        assertFalse(budget.leftOut(500).isEmpty());
        assertEquals(taken(1), 1);
    }
}
