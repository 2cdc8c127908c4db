package org.wasabimount.core.routing;

/** Bounds an organisation's retries to a share of its first tries. */
final class RetryBudget {

    /** Retries that an organisation may always make in a burst, so that a quiet one can retry at all. */
    private static final double MAX_TOKENS = 10;

    private static final double PERCENT = 100;

    private double tokens = 1;

    void recordFirstAttempt(long budgetPercent) {
        tokens = Math.min(MAX_TOKENS, tokens + budgetPercent / PERCENT);
    }

    boolean tryTakeToken() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
