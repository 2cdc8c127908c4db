package org.wasabimount.daemon.metrics;

import org.wasabimount.core.ResultCode;
import org.wasabimount.core.dispatch.OrderOutcome;
import org.wasabimount.protocol.job.JobOperation;
import org.wasabimount.protocol.job.JobPhase;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;

/** The metrics of one node of a deployment that runs jobs. */
public final class NodeMetrics extends MetricsPage {

    private static final double[] LATENCY_BOUNDS_SECONDS = {0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};
    private static final double[] JOB_BOUNDS_SECONDS = {0.05, 0.2, 0.5, 1, 2, 5, 10, 20, 60};

    private final Counter refusals = Counter.builder()
            .name("wasabimount_refusals")
            .help("Operations that were refused, by result code")
            .labelNames("code")
            .register(registry());
    private final Counter retries = Counter.builder()
            .name("wasabimount_operation_retries")
            .help("Operations that were passed on again, by what became of the try before")
            .labelNames("reason")
            .register(registry());
    private final Counter orders = Counter.builder()
            .name("wasabimount_orders")
            .help("Orders to workers, by what came of them")
            .labelNames("order", "answer")
            .register(registry());
    private final Counter jobEnded = Counter.builder()
            .name("wasabimount_jobs_ended")
            .help("Jobs that ended while this node led, by how")
            .labelNames("phase")
            .register(registry());
    private final Histogram operations = latency("operation", "Time from an operation's arrival to its answer")
            .labelNames("operation")
            .register(registry());
    private final Histogram commits = latency("commit", "Time from a command's proposal to its application")
            .register(registry());
    private final Histogram advice =
            latency("advice", "Time from a call for advice to its answer").register(registry());
    private final Histogram jobs = Histogram.builder()
            .name("wasabimount_job_seconds")
            .help("Time from a job's acceptance to its completion")
            .classicOnly()
            .classicUpperBounds(JOB_BOUNDS_SECONDS)
            .register(registry());

    private static Histogram.Builder latency(String what, String help) {
        return Histogram.builder()
                .name("wasabimount_" + what + "_seconds")
                .help(help)
                .classicOnly()
                .classicUpperBounds(LATENCY_BOUNDS_SECONDS);
    }

    /**
     * Notes an answered operation.
     *
     * @param operation what was asked
     * @param code what became of it
     * @param tookMillis the time from its arrival, in milliseconds
     */
    public void answered(JobOperation.BodyCase operation, ResultCode code, long tookMillis) {
        operations.labelValues(operation.name()).observe(seconds(tookMillis));
        if (code != ResultCode.OK) {
            refusals.labelValues(code.number() + "_" + code.name()).inc();
        }
    }

    /**
     * Counts an operation that is tried again.
     *
     * @param reason what became of the try before
     */
    public void operationRetried(ResultCode reason) {
        retries.labelValues(reason.name()).inc();
    }

    /**
     * Counts an order to a worker.
     *
     * @param order start, stop or hold
     * @param answer what came of it
     */
    public void orderCompleted(String order, OrderOutcome answer) {
        orders.labelValues(order, answer.name()).inc();
    }

    /**
     * Notes a command that was applied.
     *
     * @param tookMillis the time from its proposal, in milliseconds
     */
    public void commandCommitted(long tookMillis) {
        commits.observe(seconds(tookMillis));
    }

    /**
     * Notes an answer of the advice service.
     *
     * @param tookMillis the time from the call, in milliseconds
     */
    public void advised(long tookMillis) {
        advice.observe(seconds(tookMillis));
    }

    /**
     * Notes the end of a job.
     *
     * @param phase how it ended
     * @param tookMillis the time from its acceptance, in milliseconds
     */
    public void jobEnded(JobPhase phase, long tookMillis) {
        jobEnded.labelValues(phase.name()).inc();
        if (phase == JobPhase.COMPLETED) {
            jobs.observe(seconds(tookMillis));
        }
    }
}
