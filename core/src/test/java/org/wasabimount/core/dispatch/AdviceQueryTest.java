package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.testng.annotations.Test;
import org.wasabimount.core.job.JobTable;
import org.wasabimount.protocol.job.JobCommand;
import org.wasabimount.protocol.job.SeeWorker;
import org.wasabimount.protocol.job.WorkerLife;

/** Tests which workers an advice call names. */
public class AdviceQueryTest {

    private static final int MAX_WORKERS = 100;

    private final JobTable table = new JobTable();

    private TrackedWorker worker(int number) {
        WorkerLife incarnation =
                WorkerLife.newBuilder().setWorker("w" + number).setBornMillis(1).build();
        table.apply(JobCommand.newBuilder()
                .setSeeWorker(SeeWorker.newBuilder().setLife(incarnation))
                .build());
        return new TrackedWorker(table.worker("w" + number).orElseThrow(), 6_000, 0);
    }

    private AdviceQuery.Candidate candidate(int number, boolean eligible, long tasksThatFit) {
        return new AdviceQuery.Candidate(worker(number), eligible, true, tasksThatFit);
    }

    private static List<String> names(List<TrackedWorker> workers) {
        return workers.stream().map(worker -> worker.entry().id().worker()).toList();
    }

    @Test
    public void namesNoMoreWorkersThanCallMayName() {
        List<AdviceQuery.Candidate> candidates = IntStream.range(0, 246)
                .mapToObj(number -> candidate(number, false, 1))
                .toList();
        assertEquals(AdviceQuery.select(candidates, 1_000, MAX_WORKERS).size(), MAX_WORKERS);
    }

    @Test
    public void namesNoMoreWorkersThanTasksAreExpectedToNeed() {
        List<AdviceQuery.Candidate> candidates = IntStream.range(0, 246)
                .mapToObj(number -> candidate(number, false, 4))
                .toList();
        int named = AdviceQuery.select(candidates, 20, MAX_WORKERS).size();
        assertTrue(named >= 20 / 4 && named <= 40, named + " workers were named for 20 tasks");
    }

    @Test
    public void namesEligibleWorkersWithRoomFirst() {
        List<AdviceQuery.Candidate> candidates = new ArrayList<>();
        IntStream.range(0, 20).forEach(number -> candidates.add(candidate(number, false, 0)));
        candidates.add(candidate(20, false, 3));
        candidates.add(candidate(21, true, 1));
        candidates.add(candidate(22, true, 2));
        assertEquals(
                names(AdviceQuery.select(candidates, 100, MAX_WORKERS)).subList(0, 3), List.of("w22", "w21", "w20"));
    }

    @Test
    public void namesWorkersWithoutRoomIfNoneHasRoom() {
        List<AdviceQuery.Candidate> candidates = IntStream.range(0, 3)
                .mapToObj(number -> candidate(number, false, 0))
                .toList();
        assertEquals(names(AdviceQuery.select(candidates, 1, MAX_WORKERS)), List.of("w0", "w1", "w2"));
    }
}
