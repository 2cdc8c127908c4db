package org.wasabimount.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.stream.IntStream;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.ResultCode;
import org.wasabimount.protocol.job.AcceptJob;
import org.wasabimount.protocol.job.End;
import org.wasabimount.protocol.job.EndKind;
import org.wasabimount.protocol.job.EndRuns;
import org.wasabimount.protocol.job.JobCommand;
import org.wasabimount.protocol.job.JobPhase;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.LoseRuns;
import org.wasabimount.protocol.job.LossCause;
import org.wasabimount.protocol.job.PlaceRuns;
import org.wasabimount.protocol.job.Placement;
import org.wasabimount.protocol.job.Queue;
import org.wasabimount.protocol.job.SeeWorker;
import org.wasabimount.protocol.job.Step;
import org.wasabimount.protocol.job.WorkerLife;

/** Checks how many attempts the failed ends of a gang, and of a single task, use up. */
public class GangAttemptsTest {

    private static final int MEMBERS = 8;
    private static final int MAX_ATTEMPTS = 4;
    private static final long BORN_MILLIS = 10;

    private JobTable table;
    private long offset;

    @BeforeMethod
    public void acceptGangAndSingleTask() {
        table = new JobTable();
        offset = 0;
        IntStream.range(0, MEMBERS).forEach(number -> announce(number, BORN_MILLIS));
        accept("gang", Step.newBuilder().setCount(MEMBERS).setGang(true));
        accept("single", Step.newBuilder().setCount(1));
    }

    private ResultCode apply(JobCommand.Builder command) {
        return table.apply(command.setTimeMillis(1_000).build());
    }

    private void accept(String job, Step.Builder step) {
        apply(JobCommand.newBuilder()
                .setAccept(AcceptJob.newBuilder()
                        .setSpec(JobSpec.newBuilder().setId(job).addSteps(step))
                        .setQueue(Queue.newBuilder().setName("queue").setMaxAttempts(MAX_ATTEMPTS))));
    }

    private void announce(int number, long bornMillis) {
        apply(JobCommand.newBuilder()
                .setSeeWorker(SeeWorker.newBuilder()
                        .setLife(WorkerLife.newBuilder()
                                .setWorker("w" + number)
                                .setBornMillis(bornMillis)
                                .setAddress("10.0.0." + number + ":80"))));
    }

    private static TaskId member(int index) {
        return new TaskId("gang", 0, 0, index);
    }

    private static TaskId single() {
        return new TaskId("single", 0, 0, 0);
    }

    /** Places a run of each member, on the worker with its number. */
    private void placeGang(int run) {
        PlaceRuns.Builder place = PlaceRuns.newBuilder();
        IntStream.range(0, MEMBERS).forEach(index -> place.addPlacements(placement(member(index), run, index)));
        assertEquals(apply(JobCommand.newBuilder().setPlace(place)), ResultCode.OK);
    }

    private static Placement.Builder placement(TaskId task, int run, int worker) {
        return Placement.newBuilder()
                .setTask(task.toKey())
                .setRun(run)
                .setWorker("w" + worker)
                .setBornMillis(BORN_MILLIS);
    }

    private static End.Builder end(TaskId task, int run, EndKind kind) {
        return End.newBuilder().setTask(task.toKey()).setRun(run).setKind(kind);
    }

    /** Applies the ends in one list of a worker, as this build's leader proposes them. */
    private ResultCode list(int worker, long bornMillis, End.Builder... ends) {
        return list(worker, bornMillis, true, ends);
    }

    private ResultCode list(int worker, long bornMillis, boolean countedByRun, End.Builder... ends) {
        EndRuns.Builder command = EndRuns.newBuilder()
                .setWorker("w" + worker)
                .setBornMillis(bornMillis)
                .setOffset(++offset)
                .setCountedByRun(countedByRun);
        for (End.Builder end : ends) {
            command.addEnds(end);
        }
        return apply(JobCommand.newBuilder().setEnd(command));
    }

    /** Ends a run of the gang: the first members fail, each listed by a worker of its own, and the others are broken. */
    private void endGang(int run, int failed) {
        IntStream.range(0, MEMBERS)
                .forEach(index -> list(
                        index, BORN_MILLIS, end(member(index), run, index < failed ? EndKind.FAILED : EndKind.BROKEN)));
    }

    private JobPhase phase(String job) {
        return table.job(job).orElseThrow().phase();
    }

    /** Guards against a gang that is shown as failed after one run because several of its members failed in it. */
    @Test
    public void membersThatFailInOneRunCountAsOneAttempt() {
        for (int run = 1; run < MAX_ATTEMPTS; run++) {
            placeGang(run);
            endGang(run, MEMBERS);
            assertEquals(phase("gang"), JobPhase.ACTIVE, "after run " + run);
        }
        placeGang(MAX_ATTEMPTS);
        endGang(MAX_ATTEMPTS, 1);
        assertEquals(phase("gang"), JobPhase.BROKEN_DOWN);
    }

    @Test
    public void membersThatFailInOneListCountAsOneAttempt() {
        PlaceRuns.Builder place = PlaceRuns.newBuilder();
        End.Builder[] ends = new End.Builder[MEMBERS];
        for (int index = 0; index < MEMBERS; index++) {
            place.addPlacements(placement(member(index), 1, 0));
            ends[index] = end(member(index), 1, EndKind.FAILED);
        }
        apply(JobCommand.newBuilder().setPlace(place));
        list(0, BORN_MILLIS, ends);
        assertEquals(phase("gang"), JobPhase.ACTIVE);
        placeGang(2);
    }

    /** Guards against a count that a next leader, or a replica that receives a snapshot, begins anew in the middle of a run. */
    @Test
    public void membersThatFailBeforeAndAfterSnapshotCountAsOneAttempt() {
        placeGang(1);
        for (int index = 0; index < MEMBERS; index++) {
            list(index, BORN_MILLIS, end(member(index), 1, EndKind.FAILED));
            table = JobTable.restore(table.snapshot());
        }
        assertEquals(phase("gang"), JobPhase.ACTIVE);
        for (int run = 2; run <= MAX_ATTEMPTS; run++) {
            placeGang(run);
            endGang(run, 2);
        }
        assertEquals(phase("gang"), JobPhase.BROKEN_DOWN);
    }

    @Test
    public void differentMembersThatFailInDifferentRunsCountOnceEach() {
        for (int run = 1; run <= MAX_ATTEMPTS; run++) {
            placeGang(run);
            int failing = run;
            IntStream.range(0, MEMBERS)
                    .forEach(index -> list(
                            index,
                            BORN_MILLIS,
                            end(member(index), failing, index == failing ? EndKind.FAILED : EndKind.BROKEN)));
        }
        assertEquals(phase("gang"), JobPhase.BROKEN_DOWN);
    }

    /**
     * Guards against a start after the last attempt: the end of an earlier run that is listed only once the next run has been
     * placed was not counted.
     */
    @Test
    public void failureListedAfterNextPlacementIsCounted() {
        for (int run = 1; run < MAX_ATTEMPTS; run++) {
            apply(JobCommand.newBuilder().setPlace(PlaceRuns.newBuilder().addPlacements(placement(single(), run, 0))));
            apply(JobCommand.newBuilder()
                    .setLose(LoseRuns.newBuilder()
                            .setCause(LossCause.LEASE_EXPIRED)
                            .addRuns(new RunId(single(), run).toKey(""))));
        }
        apply(JobCommand.newBuilder()
                .setPlace(PlaceRuns.newBuilder().addPlacements(placement(single(), MAX_ATTEMPTS, 1))));
        for (int run = 1; run < MAX_ATTEMPTS; run++) {
            list(0, BORN_MILLIS, end(single(), run, EndKind.FAILED));
        }
        assertEquals(phase("single"), JobPhase.ACTIVE);
        assertEquals(table.task(single()).orElseThrow().failures(), MAX_ATTEMPTS - 1);
        list(1, BORN_MILLIS, end(single(), MAX_ATTEMPTS, EndKind.FAILED));
        assertEquals(phase("single"), JobPhase.BROKEN_DOWN);
    }

    /** Guards against a failure that counts twice: a later incarnation lists the end that was recorded for the earlier one. */
    @Test
    public void failureListedByTwoIncarnationsCountsOnce() {
        apply(JobCommand.newBuilder().setPlace(PlaceRuns.newBuilder().addPlacements(placement(single(), 1, 0))));
        list(0, BORN_MILLIS, end(single(), 1, EndKind.FAILED));
        announce(0, BORN_MILLIS + 1);
        list(0, BORN_MILLIS + 1, end(single(), 1, EndKind.FAILED));
        assertEquals(table.task(single()).orElseThrow().failures(), 1);
    }

    @Test
    public void failureOfRunThatWasNeverPlacedIsIgnored() {
        apply(JobCommand.newBuilder().setPlace(PlaceRuns.newBuilder().addPlacements(placement(single(), 1, 0))));
        list(0, BORN_MILLIS, end(single(), 0, EndKind.FAILED), end(single(), 7, EndKind.FAILED));
        assertEquals(table.task(single()).orElseThrow().failures(), 0);
    }

    /** Guards against a state that grows with every failure of a task that is restarted for ever. */
    @Test
    public void failuresOfLastingTaskAreNotKeptByRun() {
        accept("service", Step.newBuilder().setCount(1).setLongRunning(true));
        TaskId task = new TaskId("service", 0, 0, 0);
        int snapshotBytes = 0;
        for (int run = 1; run <= 1_000; run++) {
            apply(JobCommand.newBuilder().setPlace(PlaceRuns.newBuilder().addPlacements(placement(task, run, 0))));
            list(0, BORN_MILLIS, end(task, run, EndKind.FAILED));
            snapshotBytes = run == 1 ? table.snapshot().getSerializedSize() : snapshotBytes;
        }
        assertEquals(phase("service"), JobPhase.ACTIVE);
        assertTrue(table.snapshot().getSerializedSize() < snapshotBytes + 100);
    }

    /**
     * Guards against replicas that differ during an upgrade: one that replays a command of the build before has the state of
     * one that was sent the snapshot which that build made of it.
     */
    @Test
    public void commandsOfEarlierBuildCountAsTheyDidThere() {
        placeGang(1);
        for (int index = 0; index < MAX_ATTEMPTS - 1; index++) {
            list(index, BORN_MILLIS, false, end(member(index), 1, EndKind.FAILED));
        }
        assertEquals(phase("gang"), JobPhase.ACTIVE);
        assertTrue(table.snapshot().getJobsList().stream()
                .flatMap(job -> job.getTasksList().stream())
                .allMatch(task -> task.getFailedRunsCount() == 0));
        list(MAX_ATTEMPTS, BORN_MILLIS, false, end(member(MAX_ATTEMPTS), 1, EndKind.FAILED));
        assertEquals(phase("gang"), JobPhase.BROKEN_DOWN);
    }

    /** Counts of the build before and counts by run add up, in a snapshot, too. */
    @Test
    public void attemptsOfEarlierBuildAreKept() {
        placeGang(1);
        list(0, BORN_MILLIS, false, end(member(0), 1, EndKind.FAILED));
        IntStream.range(1, MEMBERS).forEach(index -> list(index, BORN_MILLIS, end(member(index), 1, EndKind.BROKEN)));
        table = JobTable.restore(table.snapshot());
        for (int run = 2; run < MAX_ATTEMPTS; run++) {
            placeGang(run);
            endGang(run, MEMBERS);
        }
        assertEquals(phase("gang"), JobPhase.ACTIVE);
        placeGang(MAX_ATTEMPTS);
        endGang(MAX_ATTEMPTS, MEMBERS);
        assertEquals(phase("gang"), JobPhase.BROKEN_DOWN);
    }
}
