package org.wasabimount.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.stream.IntStream;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which log lines are suppressed when too many of one kind are logged. */
public class LogBudgetTest {

    private static final int LINES_PER_SECOND = 5;

    private LogBudget budget;

    @BeforeMethod
    public void newBudget() {
        budget = new LogBudget(LINES_PER_SECOND);
        budget.suppressedLines(1_000);
    }

    private long acceptedLines(int lines) {
        return IntStream.range(0, lines)
                .filter(line -> budget.tryAcquire("RUN failed run=" + line))
                .count();
    }

    @Test
    public void limitsLinesOfOneKind() {
        assertEquals(acceptedLines(20), LINES_PER_SECOND);
    }

    @Test
    public void doesNotLimitOtherKinds() {
        acceptedLines(20);
        assertTrue(budget.tryAcquire("LEAD term=3"));
    }

    @Test
    public void returnsSuppressedLinesWhenSecondEnds() {
        acceptedLines(20);
        assertEquals(budget.suppressedLines(1_900), Map.of(), "the second has not ended");
        assertEquals(budget.suppressedLines(2_000), Map.of("RUN failed run", 15));
        assertEquals(budget.suppressedLines(2_001), Map.of());
    }

    @Test
    public void resetsLimitEachSecond() {
        acceptedLines(20);
        budget.suppressedLines(2_000);
        assertEquals(acceptedLines(20), LINES_PER_SECOND);
    }

    @Test
    public void startsNewSecondWhenClockIsSetBack() {
        acceptedLines(20);
        assertFalse(budget.suppressedLines(500).isEmpty());
        assertEquals(acceptedLines(1), 1);
    }
}
