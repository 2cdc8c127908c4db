package org.wasabimount.core.routing;

/** A token bucket that limits an organisation's retries to a share of its first attempts. */
final class RetryBudget {

    /** Most tokens that can be saved up for a burst of retries, so that an organisation with few requests can retry. */
    private static final double MAX_TOKENS = 10;

    private static final double PERCENT = 100;

    private double tokens = 1;

    /** Adds the share of a token that one first attempt earns. */
    void recordFirstAttempt(long budgetPercent) {
        tokens = Math.min(MAX_TOKENS, tokens + budgetPercent / PERCENT);
    }

    /** Takes a token for a retry; returns false if there is none. */
    boolean tryTakeToken() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
