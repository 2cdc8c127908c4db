package org.wasabimount.core.dispatch;

import java.util.Arrays;

/** The outcome of one call to the advice service. */
public enum AdviceOutcome {
    /** The service returned advice. */
    ANSWERED(0, false),
    /** The service rejected the call as invalid; the same call would be rejected again. */
    REFUSED(1, false),
    /** The service is busy and did not process the call. */
    OVERLOADED(2, true),
    /** No response arrived, or the service failed to process the call. */
    NO_ANSWER(3, true),
    /** The call did not leave the VM. */
    NOT_SENT(4, true),
    /** The response cannot be parsed. */
    UNREADABLE(5, false);

    private final int number;
    private final boolean retryable;

    AdviceOutcome(int number, boolean retryable) {
        this.number = number;
        this.retryable = retryable;
    }

    /**
     * Returns the failure with a number.
     *
     * @param number the number, which a newer VM may have sent
     * @return the failure, {@link #NO_ANSWER} if the number does not stand for one
     */
    public static AdviceOutcome failure(int number) {
        return Arrays.stream(values())
                .filter(outcome -> !outcome.answered() && outcome.number == number)
                .findFirst()
                .orElse(NO_ANSWER);
    }

    /**
     * Returns the number that stands for the outcome in messages between VMs.
     *
     * @return the number, zero for {@link #ANSWERED}
     */
    public int number() {
        return number;
    }

    /**
     * Returns whether the call returned advice.
     *
     * @return false for every failure
     */
    public boolean answered() {
        return this == ANSWERED;
    }

    /**
     * Returns whether the same call may succeed later.
     *
     * @return false if it was answered, or if sending it again unchanged cannot help
     */
    public boolean retryable() {
        return retryable;
    }
}
