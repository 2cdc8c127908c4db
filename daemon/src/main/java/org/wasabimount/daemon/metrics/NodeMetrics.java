package org.wasabimount.daemon.metrics;

import java.util.Arrays;
import java.util.stream.Stream;

import org.wasabimount.core.ResultCode;
import org.wasabimount.core.dispatch.AdviceOutcome;
import org.wasabimount.core.dispatch.CompletedAdviceCall;
import org.wasabimount.core.dispatch.DispatchStatus;
import org.wasabimount.core.dispatch.IdleReason;
import org.wasabimount.core.dispatch.IdleStatus;
import org.wasabimount.core.dispatch.InterferenceEvent;
import org.wasabimount.core.dispatch.OrderOutcome;
import org.wasabimount.core.dispatch.ReservationEnd;
import org.wasabimount.core.dispatch.WaitReason;
import org.wasabimount.protocol.job.JobOperation;
import org.wasabimount.protocol.job.JobPhase;
import org.wasabimount.protocol.job.WorkerEndCause;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;

/** The metrics of one node in a deployment that runs jobs. */
public final class NodeMetrics extends ProcessMetrics {

    private static final double[] LATENCY_BOUNDS_SECONDS = {0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};
    private static final double[] WORKER_COUNT_BOUNDS = {1, 5, 10, 20, 50, 100, 200, 500};
    private static final double[] JOB_BOUNDS_SECONDS = {0.05, 0.2, 0.5, 1, 2, 5, 10, 20, 60};

    private final Counter refusals = counter()
            .name("wasabimount_refusals")
            .help("Operations that were refused, by result code")
            .labelNames("code")
            .register(registry());
    private final Counter retries = counter()
            .name("wasabimount_operation_retries")
            .help("Operations that were passed on again, by what became of the try before")
            .labelNames("reason")
            .register(registry());
    private final Counter orders = counter()
            .name("wasabimount_orders")
            .help("Orders to workers, by what came of them")
            .labelNames("order", "answer")
            .register(registry());
    private final Counter jobEnded = counter()
            .name("wasabimount_jobs_ended")
            .help("Jobs that ended while this node led, by how")
            .labelNames("phase")
            .register(registry());
    private final Counter dispatcherFailures = counter()
            .name("wasabimount_dispatcher_failures")
            .help("Unexpected errors after which the dispatcher of this node started again")
            .register(registry());
    private final Counter workerEnds = counter()
            .name("wasabimount_worker_ends")
            .help("Incarnations of workers that ended while this node led, by cause")
            .labelNames("cause")
            .register(registry());
    private final Histogram operations = latencyHistogram("operation", "Time from an operation's arrival to its answer")
            .labelNames("operation")
            .register(registry());
    private final Histogram commits = latencyHistogram("commit", "Time from a command's proposal to its application")
            .register(registry());
    private final Histogram advice = latencyHistogram("advice", "Time from a call for advice to its answer")
            .register(registry());
    private final Counter adviceCalls = counter()
            .name("wasabimount_advice_calls")
            .help("Calls for advice while this node led, by outcome")
            .labelNames("outcome")
            .register(registry());
    private final Histogram adviceWorkers = histogram()
            .name("wasabimount_advice_workers")
            .help("Workers named in a call for advice")
            .classicOnly()
            .classicUpperBounds(WORKER_COUNT_BOUNDS)
            .register(registry());
    private final Gauge knownWorkers = settableGauge()
            .name("wasabimount_workers_known")
            .help("Workers that the leader knows, 0 on other nodes")
            .register(registry());
    private final Gauge usableWorkers = settableGauge()
            .name("wasabimount_workers_usable")
            .help("Workers on which the leader may place tasks, 0 on other nodes")
            .register(registry());
    private final Gauge waitingSteps = settableGauge()
            .name("wasabimount_waiting_steps")
            .help("Ready steps with tasks that are not placed, by reason, 0 on nodes that do not lead")
            .labelNames("reason")
            .register(registry());
    private final Gauge idleJobs = settableGauge()
            .name("wasabimount_idle_jobs")
            .help("Open jobs with a ready step and no run placed, by what they wait for, 0 on nodes that do not lead")
            .labelNames("reason")
            .register(registry());
    private final Gauge longestIdle = settableGauge()
            .name("wasabimount_longest_idle_seconds")
            .help("For how long the longest idle job has had no run placed, 0 on nodes that do not lead")
            .register(registry());
    private final Gauge freeCores = settableGauge()
            .name("wasabimount_free_cores_share")
            .help("Share of the usable workers' cores that no run uses, 0 on nodes that do not lead")
            .register(registry());
    private final Gauge reservedCores = settableGauge()
            .name("wasabimount_reserved_cores_share")
            .help("Share of the usable workers' cores that is reserved, 0 on nodes that do not lead")
            .register(registry());
    private final Counter reservationEnds = counter()
            .name("wasabimount_reservations_given_back")
            .help(
                    "Reservations, or parts of them on one worker, given back before a start while this node led, by cause")
            .labelNames("cause")
            .register(registry());
    private final Counter gangsWithheld = counter()
            .name("wasabimount_gang_starts_withheld")
            .help("Gangs that were placed and not started while this node led, as a worker had no room for certain")
            .register(registry());
    private final Counter interference = counter()
            .name("wasabimount_interference_decisions")
            .help("Decisions about tasks that slow each other, taken while this node led")
            .labelNames("decision")
            .register(registry());
    private final Histogram jobs = histogram()
            .name("wasabimount_job_seconds")
            .help("Time from a job's acceptance to its completion")
            .classicOnly()
            .classicUpperBounds(JOB_BOUNDS_SECONDS)
            .register(registry());

    /** Creates the metrics of a node that has not led yet. */
    public NodeMetrics() {
        Stream.of(WorkerEndCause.REPLACED, WorkerEndCause.LEFT, WorkerEndCause.SILENT)
                .map(WorkerEndCause::name)
                .forEach(workerEnds::initLabelValues);
        Arrays.stream(AdviceOutcome.values()).map(AdviceOutcome::name).forEach(adviceCalls::initLabelValues);
        Arrays.stream(ReservationEnd.values()).map(ReservationEnd::label).forEach(reservationEnds::initLabelValues);
        Arrays.stream(InterferenceEvent.values()).map(InterferenceEvent::label).forEach(interference::initLabelValues);
        dispatchSampled(DispatchStatus.NONE);
    }

    private static Histogram.Builder latencyHistogram(String subject, String help) {
        return histogram()
                .name("wasabimount_" + subject + "_seconds")
                .help(help)
                .classicOnly()
                .classicUpperBounds(LATENCY_BOUNDS_SECONDS);
    }

    /**
     * Records an operation that was replied to.
     *
     * @param operation the kind of operation
     * @param code the result code of the reply
     * @param tookMillis the time since the operation arrived, in milliseconds
     */
    public void answered(JobOperation.BodyCase operation, ResultCode code, long tookMillis) {
        operations.labelValues(operation.name()).observe(seconds(tookMillis));
        if (code != ResultCode.OK) {
            refusals.labelValues(code.number() + "_" + code.name()).inc();
        }
    }

    /**
     * Counts a retry of an operation.
     *
     * @param reason the result code of the previous attempt
     */
    public void operationRetried(ResultCode reason) {
        retries.labelValues(reason.name()).inc();
    }

    /**
     * Counts an order to a worker.
     *
     * @param order the kind of order: start, stop, pace or hold
     * @param outcome the outcome of the order
     */
    public void orderCompleted(String order, OrderOutcome outcome) {
        orders.labelValues(order, outcome.name()).inc();
    }

    /** Counts an unexpected error after which the dispatcher starts again. */
    public void dispatcherFailed() {
        dispatcherFailures.inc();
    }

    /**
     * Counts an incarnation of a worker that has ended.
     *
     * @param cause why it has ended
     */
    public void workerEnded(WorkerEndCause cause) {
        workerEnds.labelValues(cause.name()).inc();
    }

    /**
     * Records a command that was committed and applied.
     *
     * @param tookMillis the time since the command was proposed, in milliseconds
     */
    public void commandCommitted(long tookMillis) {
        commits.observe(seconds(tookMillis));
    }

    /**
     * Records a completed call to the advice service.
     *
     * @param call the call
     */
    public void adviceCallCompleted(CompletedAdviceCall call) {
        advice.observe(seconds(call.tookMillis()));
        adviceCalls.labelValues(call.outcome().name()).inc();
        adviceWorkers.observe(call.workerCount());
    }

    /**
     * Records a sample of the leader's workers, waiting steps and idle jobs.
     *
     * @param status the sample, {@link DispatchStatus#NONE} if this node does not lead
     */
    public void dispatchSampled(DispatchStatus status) {
        knownWorkers.set(status.knownWorkers());
        usableWorkers.set(status.usableWorkers());
        for (WaitReason reason : WaitReason.values()) {
            waitingSteps.labelValues(reason.label()).set(status.waitingSteps().getOrDefault(reason, 0L));
        }
        IdleStatus idle = status.idle();
        for (IdleReason reason : IdleReason.values()) {
            idleJobs.labelValues(reason.label()).set(idle.jobs().getOrDefault(reason, 0L));
        }
        longestIdle.set(seconds(idle.longestMillis()));
        freeCores.set(idle.freeShare());
        reservedCores.set(idle.reservedShare());
    }

    /**
     * Counts a reservation, or its part on one worker, that was given back before the tasks have started.
     *
     * @param cause why it was given back
     */
    public void reservationEnded(ReservationEnd cause) {
        reservationEnds.labelValues(cause.label()).inc();
    }

    /** Counts a gang that was placed and is not started, because a worker's capacity is not known or has shrunk. */
    public void gangWithheld() {
        gangsWithheld.inc();
    }

    /**
     * Counts a decision about tasks that slow each other.
     *
     * @param decision the decision
     */
    public void interferenceDecided(InterferenceEvent decision) {
        interference.labelValues(decision.label()).inc();
    }

    /**
     * Records the end of a job.
     *
     * @param phase the final phase of the job
     * @param tookMillis the time since the job was accepted, in milliseconds
     */
    public void jobEnded(JobPhase phase, long tookMillis) {
        jobEnded.labelValues(phase.name()).inc();
        if (phase == JobPhase.COMPLETED) {
            jobs.observe(seconds(tookMillis));
        }
    }
}
