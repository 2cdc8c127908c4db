package org.wasabimount.core.intake;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.intake.IntakeBudget.Holder;

/** Replays crowds of bodies that do not end, beside callers with ordinary requests. */
public class IntakeBudgetTest {

    private static final long MEGABYTE_BYTES = 1 << 20;
    private static final long CAPACITY_BYTES = 24 * MEGABYTE_BYTES;
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final int CROWD = 64;
    private static final long PART_BYTES = 16 << 10;
    private static final long CALLER_BYTES = 300;

    private final Set<String> givenUp = new HashSet<>();
    private IntakeBudget<String> budget;

    @BeforeMethod
    public void open() {
        budget = new IntakeBudget<>(CAPACITY_BYTES, TIMEOUT_MILLIS);
        givenUp.clear();
    }

    private void hold(Holder<String> holder, long bytes, long nowMillis) {
        givenUp.addAll(budget.hold(holder, bytes, nowMillis));
        budget.progress(holder, bytes, nowMillis);
    }

    /** Sends a crowd of bodies, with a caller's whole request beside each part, and returns the most bytes held. */
    private long sendCrowd(long bodyBytes) {
        givenUp.clear();
        List<Holder<String>> crowd = new ArrayList<>();
        for (int number = 0; number < CROWD; number++) {
            crowd.add(budget.open("crowd" + number, 0));
        }
        long mostBytes = 0;
        for (long bytes = PART_BYTES; bytes < bodyBytes; bytes += PART_BYTES) {
            for (int number = 0; number < CROWD; number++) {
                if (!givenUp.contains("crowd" + number)) {
                    hold(crowd.get(number), bytes, 0);
                }
            }
            Holder<String> caller = budget.open("caller", 0);
            hold(caller, CALLER_BYTES, 0);
            mostBytes = Math.max(mostBytes, budget.heldBytes());
            budget.finish(caller);
            budget.close(caller);
        }
        return mostBytes;
    }

    @Test
    public void boundsCrowdOfBodiesWithoutEnd() {
        budget = new IntakeBudget<>(Long.MAX_VALUE, TIMEOUT_MILLIS);
        assertTrue(sendCrowd(4 * MEGABYTE_BYTES) > 255 * MEGABYTE_BYTES, "without a bound all bodies are held");
        budget = new IntakeBudget<>(CAPACITY_BYTES, TIMEOUT_MILLIS);
        assertTrue(sendCrowd(4 * MEGABYTE_BYTES) <= CAPACITY_BYTES);
        assertFalse(givenUp.contains("caller"), "a caller gave way to the crowd");
    }

    @Test
    public void prefersArrivingBodyToStalledCrowd() {
        sendCrowd(CAPACITY_BYTES / CROWD);
        Holder<String> configuration = budget.open("configuration", 1_000);
        for (long bytes = PART_BYTES; bytes <= 4 * MEGABYTE_BYTES; bytes += PART_BYTES) {
            hold(configuration, bytes, 1_000 + bytes / PART_BYTES);
        }
        assertFalse(givenUp.isEmpty(), "there was room for all");
        assertFalse(givenUp.contains("configuration"), "the crowd stands still, and was preferred");
        assertTrue(budget.heldBytes() <= CAPACITY_BYTES);
    }

    @Test
    public void givesUpLargestFirst() {
        budget = new IntakeBudget<>(1_000, TIMEOUT_MILLIS);
        hold(budget.open("small", 0), 300, 0);
        hold(budget.open("large", 0), 600, 0);
        givenUp.clear();
        hold(budget.open("newcomer", 1), 200, 1);
        assertEquals(givenUp, Set.of("large"));
    }

    @Test
    public void keepsWholeRequests() {
        budget = new IntakeBudget<>(1_000, TIMEOUT_MILLIS);
        Holder<String> whole = budget.open("whole", 0);
        hold(whole, 900, 0);
        budget.finish(whole);
        givenUp.clear();
        hold(budget.open("newcomer", 0), 200, 0);
        assertEquals(givenUp, Set.of("newcomer"));
        budget.close(whole);
        assertEquals(budget.heldBytes(), 0);
    }

    @Test
    public void singleBytesAreNoProgress() {
        budget = new IntakeBudget<>(1_000, TIMEOUT_MILLIS);
        Holder<String> slow = budget.open("slow", 0);
        for (int bytes = 1; bytes < 10; bytes++) {
            budget.progress(slow, bytes, bytes * 1_000L);
        }
        assertFalse(budget.isOverdue(slow, TIMEOUT_MILLIS - 1));
        assertTrue(budget.isOverdue(slow, TIMEOUT_MILLIS));
    }
}
