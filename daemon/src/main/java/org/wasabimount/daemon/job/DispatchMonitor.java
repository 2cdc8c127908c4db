package org.wasabimount.daemon.job;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

import org.wasabimount.core.Clock;
import org.wasabimount.core.LogThrottle;
import org.wasabimount.core.dispatch.AdviceOutcome;
import org.wasabimount.core.dispatch.CompletedAdviceCall;
import org.wasabimount.core.dispatch.DispatchStatus;
import org.wasabimount.core.dispatch.IdleStatus;
import org.wasabimount.daemon.metrics.NodeMetrics;

/** Reports on the leader, in metrics and log lines, how advice calls end and why steps wait. */
final class DispatchMonitor {

    private static final System.Logger LOG = System.getLogger("wasabimount.job");

    /** Minimum time between two lines about failed calls with the same outcome, in milliseconds. */
    private static final long FAILURE_LINE_INTERVAL_MILLIS = 5_000;

    private final NodeMetrics metrics;
    private final Clock clock;
    private final Map<AdviceOutcome, LogThrottle> failureLines = new EnumMap<>(AdviceOutcome.class);

    DispatchMonitor(NodeMetrics metrics, Clock clock) {
        this.metrics = metrics;
        this.clock = clock;
        Arrays.stream(AdviceOutcome.values())
                .forEach(outcome -> failureLines.put(outcome, new LogThrottle(FAILURE_LINE_INTERVAL_MILLIS)));
    }

    void adviceCallCompleted(CompletedAdviceCall call) {
        metrics.adviceCallCompleted(call);
        if (call.outcome().answered()) {
            return;
        }
        failureLines
                .get(call.outcome())
                .tryAcquire(clock.millis())
                .ifPresent(calls -> LOG.log(
                        call.outcome().retryable() ? System.Logger.Level.INFO : System.Logger.Level.WARNING,
                        "ADVICE failed step={0} caller={1} workers={2} outcome={3} status={4} calls={5}",
                        call.step(),
                        call.caller(),
                        call.workerCount(),
                        call.outcome(),
                        call.status(),
                        Long.toString(calls)));
    }

    void statusSampled(DispatchStatus status) {
        metrics.dispatchSampled(status);
        status.longWaits()
                .forEach(wait -> LOG.log(
                        System.Logger.Level.INFO,
                        "WAIT step={0} queue={1} reason={2} tasks={3} waitedMillis={4} lastAdvice={5}",
                        wait.step(),
                        wait.queue(),
                        wait.reason().label(),
                        wait.tasks(),
                        Long.toString(wait.waitedMillis()),
                        wait.advice().map(AdviceOutcome::name).orElse("none")));
        IdleStatus idle = status.idle();
        idle.longIdle().forEach(DispatchMonitor::logIdleJob);
        if (!status.longWaits().isEmpty() || !idle.longIdle().isEmpty()) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "WAITING workersKnown={0} workersUsable={1} freeShare={2} reservedShare={3} {4}",
                    status.knownWorkers(),
                    status.usableWorkers(),
                    share(idle.freeShare()),
                    share(idle.reservedShare()),
                    status.waitingSteps().entrySet().stream()
                            .sorted(Map.Entry.comparingByKey())
                            .map(reason -> reason.getKey().label() + "=" + reason.getValue())
                            .collect(Collectors.joining(" ")));
        }
    }

    private static void logIdleJob(IdleStatus.IdleJob job) {
        LOG.log(
                System.Logger.Level.INFO,
                "IDLE job={0} step={1} queue={2} idleMillis={3} waitsFor={4} tasks={5} tasksReserved={6}"
                        + " workersReserved={7} withoutTicket={8} unusable={9} readyInMillis={10} overdueRuns={11}"
                        + " eligibleWorkers={12} freeShare={13}",
                job.step().job(),
                job.step(),
                job.queue(),
                Long.toString(job.idleMillis()),
                job.waitsFor().label(),
                Integer.toString(job.tasks()),
                Integer.toString(job.tasksReserved()),
                Integer.toString(job.workersReserved()),
                Integer.toString(job.withoutTicket()),
                Integer.toString(job.unusable()),
                Long.toString(job.readyInMillis()),
                Integer.toString(job.overdueRuns()),
                Integer.toString(job.eligibleWorkers()),
                share(job.freeShare()));
    }

    private static String share(double share) {
        return String.format(Locale.ROOT, "%.3f", share);
    }

    /** Ends the term: a node that does not lead knows of no workers and no steps. */
    void resigned() {
        metrics.dispatchSampled(DispatchStatus.NONE);
    }
}
