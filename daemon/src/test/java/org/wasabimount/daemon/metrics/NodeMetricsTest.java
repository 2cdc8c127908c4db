package org.wasabimount.daemon.metrics;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.testng.annotations.Test;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.dispatch.OrderOutcome;
import org.wasabimount.protocol.job.JobOperation;

/** Tests what recording metrics costs beside the counts. */
public class NodeMetricsTest {

    /** Guards against a thread that is woken by observations: about 20 times a second on a node under load. */
    @Test
    public void observationsSetNoTimers() {
        NodeMetrics metrics = new NodeMetrics();
        for (int number = 0; number < 1_000; number++) {
            metrics.answered(JobOperation.BodyCase.SUBMIT, ResultCode.OK, number);
            metrics.orderCompleted("hold", OrderOutcome.DONE);
            metrics.commandCommitted(number);
        }
        String text = new String(metrics.text(), StandardCharsets.UTF_8);
        assertTrue(text.contains("wasabimount_commit_seconds_count 1000"), text);
        List<String> schedulers = Thread.getAllStackTraces().keySet().stream()
                .map(Thread::getName)
                .filter(name -> name.startsWith("prometheus-metrics-scheduler"))
                .toList();
        assertEquals(schedulers, List.of());
    }
}
