package org.wasabimount.core;

/**
 * The reason why a request or an operation was refused.
 *
 * @param code the result code
 * @param detail a description of the error for people, in one sentence
 * @param retryAfterMillis the delay before a retry, in milliseconds; zero if a retry is of no use
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
     * Creates a refusal without a delay before a retry.
     *
     * @param code the result code
     * @param detail a description of the error for people, in one sentence
     * @return the refusal
     */
    public static Refusal of(ResultCode code, String detail) {
        return new Refusal(code, detail, 0);
    }
}
