package org.wasabimount.core.job;

import java.util.Optional;
import java.util.stream.IntStream;

import org.wasabimount.core.Names;
import org.wasabimount.core.Refusal;
import org.wasabimount.core.ResultCode;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.Step;

/** Validates a submitted job before it is accepted. */
public final class JobCheck {

    /** Maximum number of characters in a payload, so that one log entry can carry every job of a burst. */
    public static final int MAX_PAYLOAD_CHARACTERS = 4_096;

    /** Maximum size of a whole job in bytes; the platform's clients send no larger request. */
    public static final int MAX_JOB_BYTES = 262_144;

    /** Maximum number of tasks of one job over all its occurrences; each task takes memory on every replica. */
    public static final int MAX_TASKS = 20_000;

    private static final int MAX_OCCURRENCES = 1_000;

    /** Longest declared duration of a task, in milliseconds: 30 days. Sums of larger ones could overflow. */
    private static final long MAX_ESTIMATE_MILLIS = 30L * 24 * 60 * 60 * 1_000;

    private JobCheck() {}

    /**
     * Validates a whole job.
     *
     * @param spec the job
     * @return the reason for refusing the job, empty if it is valid
     */
    public static Optional<Refusal> check(JobSpec spec) {
        if (!validId(spec.getId())) {
            return refuse(ResultCode.INVALID_VALUE, "\"" + spec.getId() + "\" is not a valid job id");
        }
        if (spec.getPayload().length() > MAX_PAYLOAD_CHARACTERS) {
            return refuse(ResultCode.TOO_LARGE, "the payload has more than " + MAX_PAYLOAD_CHARACTERS + " characters");
        }
        if (spec.getSerializedSize() > MAX_JOB_BYTES) {
            return refuse(ResultCode.TOO_LARGE, "the job has more than " + MAX_JOB_BYTES + " bytes");
        }
        if (spec.getStepsCount() == 0) {
            return refuse(ResultCode.INVALID_VALUE, "the job has no steps");
        }
        if (spec.getOccurrences() < 0 || spec.getOccurrences() > MAX_OCCURRENCES) {
            return refuse(
                    ResultCode.INVALID_VALUE,
                    "the job has " + spec.getOccurrences() + " occurrences, which is out of range");
        }
        long tasks = spec.getStepsList().stream().mapToLong(Step::getCount).sum();
        if (tasks * Math.max(1, spec.getOccurrences()) > MAX_TASKS) {
            return refuse(ResultCode.TOO_LARGE, "the job has more than " + MAX_TASKS + " tasks");
        }
        return IntStream.range(0, spec.getStepsCount())
                .mapToObj(number -> problem(number, spec.getSteps(number)))
                .flatMap(Optional::stream)
                .findFirst();
    }

    /**
     * Returns whether a job may have an id.
     *
     * @param id the id
     * @return true if it is a valid name
     */
    public static boolean validId(String id) {
        return Names.valid(id);
    }

    private static Optional<Refusal> problem(int number, Step step) {
        String name = "step " + number + " ";
        if (step.getCount() <= 0) {
            return refuse(ResultCode.INVALID_VALUE, name + "has no tasks");
        }
        boolean negative = step.getSize().getCpuMillis() < 0
                || step.getSize().getMemoryMegabytes() < 0
                || step.getSize().getAccelerators() < 0;
        if (negative) {
            return refuse(ResultCode.INVALID_VALUE, name + "requests a negative size");
        }
        if (step.getEstimateMillis() < 0 || step.getEstimateMillis() > MAX_ESTIMATE_MILLIS) {
            return refuse(
                    ResultCode.INVALID_VALUE,
                    name + "has an estimate of " + step.getEstimateMillis() + " ms, which is out of range");
        }
        boolean forward = step.getAfterList().stream().anyMatch(earlier -> earlier < 0 || earlier >= number);
        return forward
                ? refuse(ResultCode.INVALID_VALUE, name + "depends on a step that does not precede it")
                : Optional.empty();
    }

    private static Optional<Refusal> refuse(ResultCode code, String detail) {
        return Optional.of(Refusal.of(code, detail));
    }
}
