package org.wasabimount.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.slf4j.LoggerFactory;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.dispatch.AdviceOutcome;
import org.wasabimount.core.dispatch.CompletedAdviceCall;
import org.wasabimount.core.dispatch.DispatchStatus;
import org.wasabimount.core.dispatch.IdleReason;
import org.wasabimount.core.dispatch.IdleStatus;
import org.wasabimount.core.dispatch.ReservationEnd;
import org.wasabimount.core.dispatch.WaitReason;
import org.wasabimount.core.job.StepId;
import org.wasabimount.daemon.metrics.NodeMetrics;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;

/** Tests what the leader logs and measures of advice calls and waiting steps. */
public class DispatchMonitorTest {

    private static final StepId STEP = new StepId("job1", 0, 0);
    private static final int WORKERS = 246;

    private final Logger logger = (Logger) LoggerFactory.getLogger("wasabimount.job");
    private ListAppender<ILoggingEvent> lines;
    private NodeMetrics metrics;
    private DispatchMonitor monitor;
    private long nowMillis;

    @BeforeMethod
    public void createMonitor() {
        nowMillis = 1_000;
        metrics = new NodeMetrics();
        monitor = new DispatchMonitor(metrics, () -> nowMillis);
        lines = new ListAppender<>();
        lines.start();
        logger.addAppender(lines);
        logger.setLevel(Level.INFO);
    }

    @AfterMethod
    public void detachAppender() {
        logger.detachAppender(lines);
        logger.setLevel(null);
    }

    private static CompletedAdviceCall call(AdviceOutcome outcome, int status) {
        return new CompletedAdviceCall(STEP, "10.1.0.35", WORKERS, outcome, status, 20);
    }

    private List<String> loggedLines() {
        return lines.list.stream().map(ILoggingEvent::getFormattedMessage).toList();
    }

    private void assertMeasured(String line) {
        String text = new String(metrics.text(), StandardCharsets.UTF_8);
        assertTrue(text.lines().anyMatch(line::equals), "no line " + line + " in\n" + text);
    }

    @Test
    public void warnsOfFirstRefusedCall() {
        monitor.adviceCallCompleted(call(AdviceOutcome.REFUSED, 400));
        assertEquals(
                loggedLines(),
                List.of("ADVICE failed step=job1.0.0 caller=10.1.0.35 workers=246 outcome=REFUSED status=400 calls=1"));
        assertEquals(lines.list.get(0).getLevel(), Level.WARN);
    }

    @Test
    public void warnsOfRefusedCallsEveryFiveSecondsWithTheirCount() {
        for (int call = 0; call < 1_000; call++) {
            monitor.adviceCallCompleted(call(AdviceOutcome.REFUSED, 400));
            nowMillis += 10;
        }
        assertEquals(loggedLines().size(), 2);
        assertTrue(loggedLines().get(1).endsWith(" calls=500"), loggedLines().get(1));
    }

    @Test
    public void refusedCallsDoNotHideOtherFailures() {
        monitor.adviceCallCompleted(call(AdviceOutcome.REFUSED, 400));
        monitor.adviceCallCompleted(call(AdviceOutcome.OVERLOADED, 429));
        assertEquals(loggedLines().size(), 2);
        assertEquals(lines.list.get(1).getLevel(), Level.INFO, "an overloaded service recovers by itself");
    }

    @Test
    public void answeredCallsAreNotLogged() {
        monitor.adviceCallCompleted(call(AdviceOutcome.ANSWERED, 200));
        assertEquals(loggedLines(), List.of());
    }

    @Test
    public void countsCallsByOutcomeAndWorkersNamed() {
        assertMeasured("wasabimount_advice_calls_total{outcome=\"REFUSED\"} 0.0");
        monitor.adviceCallCompleted(call(AdviceOutcome.REFUSED, 400));
        monitor.adviceCallCompleted(call(AdviceOutcome.REFUSED, 400));
        monitor.adviceCallCompleted(call(AdviceOutcome.ANSWERED, 200));
        assertMeasured("wasabimount_advice_calls_total{outcome=\"REFUSED\"} 2.0");
        assertMeasured("wasabimount_advice_calls_total{outcome=\"ANSWERED\"} 1.0");
        assertMeasured("wasabimount_advice_workers_bucket{le=\"200.0\"} 0");
        assertMeasured("wasabimount_advice_workers_bucket{le=\"500.0\"} 3");
        assertMeasured("wasabimount_advice_seconds_count 3");
    }

    @Test
    public void measuresWorkersAndWaitingStepsUntilItResigns() {
        assertMeasured("wasabimount_waiting_steps{reason=\"no_advice\"} 0.0");
        monitor.statusSampled(
                new DispatchStatus(WORKERS, 240, Map.of(WaitReason.NO_ADVICE, 12L), List.of(), IdleStatus.NONE));
        assertMeasured("wasabimount_workers_known 246.0");
        assertMeasured("wasabimount_workers_usable 240.0");
        assertMeasured("wasabimount_waiting_steps{reason=\"no_advice\"} 12.0");
        assertMeasured("wasabimount_waiting_steps{reason=\"no_room\"} 0.0");
        monitor.statusSampled(
                new DispatchStatus(WORKERS, 240, Map.of(WaitReason.NO_ROOM, 1L), List.of(), IdleStatus.NONE));
        assertMeasured("wasabimount_waiting_steps{reason=\"no_advice\"} 0.0");
        monitor.resigned();
        assertMeasured("wasabimount_workers_known 0.0");
        assertMeasured("wasabimount_waiting_steps{reason=\"no_room\"} 0.0");
        assertEquals(loggedLines(), List.of());
    }

    @Test
    public void logsStepsThatWaitLongWithTheirReason() {
        monitor.statusSampled(new DispatchStatus(
                WORKERS,
                240,
                Map.of(WaitReason.NO_ROOM, 3L, WaitReason.NO_ADVICE, 12L),
                List.of(new DispatchStatus.LongWait(
                        STEP, "queue", WaitReason.NO_ADVICE, 6, 2_040, Optional.of(AdviceOutcome.REFUSED))),
                new IdleStatus(Map.of(), 0, 0.5184, 0.12, List.of())));
        assertEquals(
                loggedLines(),
                List.of(
                        "WAIT step=job1.0.0 queue=queue reason=no_advice tasks=6 waitedMillis=2040 lastAdvice=REFUSED",
                        "WAITING workersKnown=246 workersUsable=240 freeShare=0.518 reservedShare=0.120 no_advice=12 no_room=3"));
    }

    /**
     * Guards against jobs that wait for a minute with nothing running while most of the room is free, and of which no line
     * tells what they wait for (issue 31).
     */
    @Test
    public void logsIdleJobsWithWhatTheyWaitFor() {
        monitor.statusSampled(new DispatchStatus(
                WORKERS,
                240,
                Map.of(WaitReason.NO_ROOM, 1L),
                List.of(),
                new IdleStatus(
                        Map.of(IdleReason.OVERDUE_RUN, 1L),
                        12_345,
                        0.7216,
                        0.0304,
                        List.of(new IdleStatus.IdleJob(
                                STEP, "queue", 12_345, IdleReason.OVERDUE_RUN, 41, 40, 9, 2, 1, 1_100, 3, 31, 0.25)))));
        assertEquals(
                loggedLines(),
                List.of(
                        "IDLE job=job1 step=job1.0.0 queue=queue idleMillis=12345 waitsFor=overdue_run tasks=41"
                                + " tasksReserved=40 workersReserved=9 withoutTicket=2 unusable=1 readyInMillis=1100"
                                + " overdueRuns=3 eligibleWorkers=31 freeShare=0.250",
                        "WAITING workersKnown=246 workersUsable=240 freeShare=0.722 reservedShare=0.030 no_room=1"));
    }

    /** Guards against a metric that keeps the last value of a reason, or that of a node that no longer leads. */
    @Test
    public void measuresIdleJobsAndRoomUntilItResigns() {
        assertMeasured("wasabimount_idle_jobs{reason=\"overdue_run\"} 0.0");
        monitor.statusSampled(new DispatchStatus(
                WORKERS,
                240,
                Map.of(),
                List.of(),
                new IdleStatus(
                        Map.of(IdleReason.OVERDUE_RUN, 2L, IdleReason.NO_CALLER, 1L), 2_500, 0.75, 0.125, List.of())));
        assertMeasured("wasabimount_idle_jobs{reason=\"overdue_run\"} 2.0");
        assertMeasured("wasabimount_idle_jobs{reason=\"no_caller\"} 1.0");
        assertMeasured("wasabimount_longest_idle_seconds 2.5");
        assertMeasured("wasabimount_free_cores_share 0.75");
        assertMeasured("wasabimount_reserved_cores_share 0.125");
        monitor.resigned();
        assertMeasured("wasabimount_idle_jobs{reason=\"overdue_run\"} 0.0");
        assertMeasured("wasabimount_longest_idle_seconds 0.0");
        assertMeasured("wasabimount_free_cores_share 0.0");
        assertMeasured("wasabimount_reserved_cores_share 0.0");
        assertEquals(loggedLines(), List.of());
    }

    /** Guards against causes that appear only after they have occurred, so that a rate over them misses the first. */
    @Test
    public void countsReservationsGivenBackByCauseAndGangsWithheld() {
        for (ReservationEnd cause : ReservationEnd.values()) {
            assertMeasured("wasabimount_reservations_given_back_total{cause=\"" + cause.label() + "\"} 0.0");
        }
        assertMeasured("wasabimount_gang_starts_withheld_total 0.0");
        metrics.reservationEnded(ReservationEnd.WORKER_UNUSABLE);
        metrics.gangWithheld();
        assertMeasured("wasabimount_reservations_given_back_total{cause=\"worker_unusable\"} 1.0");
        assertMeasured("wasabimount_reservations_given_back_total{cause=\"moved\"} 0.0");
        assertMeasured("wasabimount_gang_starts_withheld_total 1.0");
    }
}
