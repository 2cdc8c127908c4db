package org.wasabimount.daemon.job;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.stream.Collectors;

import org.wasabimount.core.Clock;
import org.wasabimount.core.LogThrottle;
import org.wasabimount.core.dispatch.AdviceOutcome;
import org.wasabimount.core.dispatch.CompletedAdviceCall;
import org.wasabimount.core.dispatch.DispatchStatus;
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
        if (!status.longWaits().isEmpty()) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "WAITING workersKnown={0} workersUsable={1} {2}",
                    status.knownWorkers(),
                    status.usableWorkers(),
                    status.waitingSteps().entrySet().stream()
                            .sorted(Map.Entry.comparingByKey())
                            .map(reason -> reason.getKey().label() + "=" + reason.getValue())
                            .collect(Collectors.joining(" ")));
        }
    }

    /** Ends the term: a node that does not lead knows of no workers and no steps. */
    void resigned() {
        metrics.dispatchSampled(DispatchStatus.NONE);
    }
}
