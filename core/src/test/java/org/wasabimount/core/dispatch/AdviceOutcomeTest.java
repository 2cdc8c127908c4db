package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;

import java.util.Arrays;

import org.testng.annotations.Test;

/** Tests the numbers that stand for the outcomes of advice calls in messages. */
public class AdviceOutcomeTest {

    @Test
    public void eachFailureIsRestoredFromItsNumber() {
        Arrays.stream(AdviceOutcome.values())
                .filter(outcome -> !outcome.answered())
                .forEach(outcome -> assertEquals(AdviceOutcome.failure(outcome.number()), outcome));
    }

    @Test
    public void failureWithoutKnownNumberIsUnanswered() {
        assertEquals(AdviceOutcome.failure(0), AdviceOutcome.NO_ANSWER);
        assertEquals(AdviceOutcome.failure(99), AdviceOutcome.NO_ANSWER);
    }
}
