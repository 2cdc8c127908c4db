package org.wasabimount.core;

/**
 * Says why something was not done.
 *
 * @param code the numbered reason
 * @param detail one sentence for the reader of the error
 * @param retryAfterMillis when to come back, in milliseconds; zero if there is no use in it
 */
public record Refusal(ResultCode code, String detail, long retryAfterMillis) {

    /**
     * Creates a refusal.
     *
     * @throws IllegalArgumentException if the code or the detail is missing
     */
    public Refusal {
        Validate.notNull(code, "code");
        Validate.notNull(detail, "detail");
    }

    /**
     * Creates a refusal without a time to come back.
     *
     * @param code the numbered reason
     * @param detail one sentence for the reader of the error
     * @return the refusal
     */
    public static Refusal of(ResultCode code, String detail) {
        return new Refusal(code, detail, 0);
    }
}
