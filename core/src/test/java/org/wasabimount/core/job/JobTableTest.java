package org.wasabimount.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.ResultCode;
import org.wasabimount.protocol.cell.Quantity;
import org.wasabimount.protocol.job.AcceptJob;
import org.wasabimount.protocol.job.BeginJobs;
import org.wasabimount.protocol.job.CancelJob;
import org.wasabimount.protocol.job.End;
import org.wasabimount.protocol.job.EndKind;
import org.wasabimount.protocol.job.EndRuns;
import org.wasabimount.protocol.job.EndWorker;
import org.wasabimount.protocol.job.ForgetJobs;
import org.wasabimount.protocol.job.JobCommand;
import org.wasabimount.protocol.job.JobPhase;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.LoseRuns;
import org.wasabimount.protocol.job.PlaceRuns;
import org.wasabimount.protocol.job.Placement;
import org.wasabimount.protocol.job.Pool;
import org.wasabimount.protocol.job.Queue;
import org.wasabimount.protocol.job.QueueTable;
import org.wasabimount.protocol.job.SeeWorker;
import org.wasabimount.protocol.job.Step;
import org.wasabimount.protocol.job.WorkerEndCause;
import org.wasabimount.protocol.job.WorkerLife;

/** Checks the effect of the commands of the replicated log on the state of jobs. */
public class JobTableTest {

    private static final Queue QUEUE =
            Queue.newBuilder().setName("queue").setMaxAttempts(2).build();

    private JobTable table;

    @BeforeMethod
    public void createTableWithOneWorker() {
        table = new JobTable();
        announceWorker("w1", 10, "10.0.0.1:80");
    }

    private ResultCode apply(JobCommand.Builder command) {
        return table.apply(command.setTimeMillis(1_000).build());
    }

    private ResultCode announceWorker(String worker, long bornMillis, String address) {
        return apply(JobCommand.newBuilder()
                .setSeeWorker(SeeWorker.newBuilder()
                        .setLife(WorkerLife.newBuilder()
                                .setWorker(worker)
                                .setBornMillis(bornMillis)
                                .setAddress(address)
                                .setCapacity(Quantity.newBuilder().setCpuMillis(8_000)))));
    }

    private void accept(String job, int steps, boolean gang) {
        JobSpec.Builder spec = JobSpec.newBuilder().setId(job);
        for (int step = 0; step < steps; step++) {
            Step.Builder builder = Step.newBuilder().setCount(2).setGang(gang);
            if (step > 0) {
                builder.addAfter(step - 1);
            }
            spec.addSteps(builder);
        }
        apply(JobCommand.newBuilder()
                .setAccept(AcceptJob.newBuilder().setSpec(spec).setQueue(QUEUE)));
    }

    private ResultCode place(TaskId task, int run, String worker, long bornMillis) {
        return apply(JobCommand.newBuilder()
                .setPlace(PlaceRuns.newBuilder()
                        .addPlacements(Placement.newBuilder()
                                .setTask(task.toKey())
                                .setRun(run)
                                .setWorker(worker)
                                .setBornMillis(bornMillis))));
    }

    private ResultCode end(TaskId task, int run, EndKind kind, long offset) {
        return apply(JobCommand.newBuilder()
                .setEnd(EndRuns.newBuilder()
                        .setWorker("w1")
                        .setBornMillis(10)
                        .setOffset(offset)
                        .addEnds(End.newBuilder()
                                .setTask(task.toKey())
                                .setRun(run)
                                .setKind(kind)
                                .setSaved("s" + offset))));
    }

    private static TaskId task(int step, int index) {
        return new TaskId("job", 0, step, index);
    }

    @Test
    public void completesWhenAllTasksAreDone() {
        accept("job", 1, false);
        place(task(0, 0), 1, "w1", 10);
        place(task(0, 1), 1, "w1", 10);
        end(task(0, 0), 1, EndKind.DONE, 1);
        assertEquals(table.job("job").orElseThrow().phase(), JobPhase.ACTIVE);
        end(task(0, 1), 1, EndKind.DONE, 2);
        assertEquals(table.job("job").orElseThrow().phase(), JobPhase.COMPLETED);
    }

    @Test
    public void blocksStepUntilEarlierOneIsDone() {
        accept("job", 2, false);
        Job job = table.job("job").orElseThrow();
        assertFalse(job.unblocked(0, 1));
        place(task(0, 0), 1, "w1", 10);
        place(task(0, 1), 1, "w1", 10);
        end(task(0, 0), 1, EndKind.DONE, 1);
        end(task(0, 1), 1, EndKind.DONE, 2);
        assertTrue(job.unblocked(0, 1));
    }

    @Test
    public void refusesSecondPlacementOfPlacedTask() {
        accept("job", 1, false);
        assertEquals(place(task(0, 0), 1, "w1", 10), ResultCode.OK);
        assertEquals(place(task(0, 0), 2, "w1", 10), ResultCode.VERSION_CONFLICT);
    }

    @Test
    public void refusesPlacementOnEarlierIncarnation() {
        accept("job", 1, false);
        announceWorker("w1", 20, "10.0.0.1:80");
        assertEquals(place(task(0, 0), 1, "w1", 10), ResultCode.VERSION_CONFLICT);
    }

    @Test
    public void refusesPlacementOfCancelledJob() {
        accept("job", 1, false);
        apply(JobCommand.newBuilder().setCancel(CancelJob.newBuilder().setJob("job")));
        assertEquals(place(task(0, 0), 1, "w1", 10), ResultCode.VERSION_CONFLICT);
    }

    @Test
    public void laterIncarnationReleasesRunsOfEarlierOne() {
        accept("job", 1, false);
        place(task(0, 0), 1, "w1", 10);
        announceWorker("w1", 20, "10.0.0.1:80");
        assertTrue(table.task(task(0, 0)).orElseThrow().awaitsPlacement());
    }

    @Test
    public void newWorkerAtSameAddressEndsEarlierWorker() {
        accept("job", 1, false);
        place(task(0, 0), 1, "w1", 10);
        announceWorker("w2", 20, "10.0.0.1:80");
        assertTrue(table.worker("w1").isEmpty());
        assertTrue(table.task(task(0, 0)).orElseThrow().awaitsPlacement());
    }

    @Test
    public void delayedAnnouncementOfEarlierWorkerChangesNothing() {
        announceWorker("w2", 20, "10.0.0.1:80");
        assertEquals(announceWorker("w1", 10, "10.0.0.1:80"), ResultCode.VERSION_CONFLICT);
        assertTrue(table.worker("w2").isPresent());
    }

    @Test
    public void recordsEachRunEndOnce() {
        accept("job", 1, false);
        place(task(0, 0), 1, "w1", 10);
        end(task(0, 0), 1, EndKind.FAILED, 1);
        assertEquals(end(task(0, 0), 1, EndKind.FAILED, 1), ResultCode.VERSION_CONFLICT);
        assertEquals(table.task(task(0, 0)).orElseThrow().failures(), 1);
    }

    @Test
    public void breaksDownWhenAttemptsAreExhausted() {
        accept("job", 1, false);
        place(task(0, 0), 1, "w1", 10);
        end(task(0, 0), 1, EndKind.FAILED, 1);
        place(task(0, 0), 2, "w1", 10);
        end(task(0, 0), 2, EndKind.FAILED, 2);
        assertEquals(table.job("job").orElseThrow().phase(), JobPhase.BROKEN_DOWN);
    }

    @Test
    public void stoppedRunIsNoFailedAttemptAndKeepsItsProgress() {
        accept("job", 1, false);
        place(task(0, 0), 1, "w1", 10);
        end(task(0, 0), 1, EndKind.STOPPED, 1);
        JobTask task = table.task(task(0, 0)).orElseThrow();
        assertEquals(task.failures(), 0);
        assertEquals(task.saved(), "s1");
        assertTrue(task.awaitsPlacement());
    }

    @Test
    public void doneEndOfOneTaskCompletesItsGang() {
        accept("job", 1, true);
        place(task(0, 0), 1, "w1", 10);
        place(task(0, 1), 1, "w1", 10);
        end(task(0, 0), 1, EndKind.DONE, 1);
        assertEquals(table.job("job").orElseThrow().phase(), JobPhase.COMPLETED);
        assertTrue(
                table.task(task(0, 1)).orElseThrow().incarnation().isPresent(),
                "its capacity stays in use until its own run ends");
    }

    @Test
    public void lossOfEarlierRunDoesNotAffectLaterRun() {
        accept("job", 1, false);
        place(task(0, 0), 1, "w1", 10);
        apply(JobCommand.newBuilder().setLose(LoseRuns.newBuilder().addRuns(new RunId(task(0, 0), 1).toKey("saved"))));
        place(task(0, 0), 2, "w1", 10);
        apply(JobCommand.newBuilder().setLose(LoseRuns.newBuilder().addRuns(new RunId(task(0, 0), 1).toKey(""))));
        assertFalse(table.task(task(0, 0)).orElseThrow().awaitsPlacement());
        assertEquals(table.task(task(0, 0)).orElseThrow().saved(), "saved");
    }

    @Test
    public void snapshotRestoresWholeState() {
        accept("job", 2, true);
        place(task(0, 0), 1, "w1", 10);
        end(task(0, 0), 1, EndKind.FAILED, 1);
        place(task(0, 1), 1, "w1", 10);
        JobTable restored = JobTable.restore(table.snapshot());
        assertEquals(restored.snapshot(), table.snapshot());
        assertEquals(restored.placedOn(new IncarnationId("w1", 10)), table.placedOn(new IncarnationId("w1", 10)));
    }

    @Test
    public void forgetsOnlyEndedJobsWithoutRuns() {
        accept("job", 1, false);
        place(task(0, 0), 1, "w1", 10);
        apply(JobCommand.newBuilder().setCancel(CancelJob.newBuilder().setJob("job")));
        apply(JobCommand.newBuilder().setForget(ForgetJobs.newBuilder().addJobs("job")));
        assertTrue(table.job("job").isPresent());
        end(task(0, 0), 1, EndKind.STOPPED, 1);
        apply(JobCommand.newBuilder().setForget(ForgetJobs.newBuilder().addJobs("job")));
        assertTrue(table.job("job").isEmpty());
    }

    /** Guards against a run end with a negative number, which ended every replica that applied it. */
    @Test
    public void endsOfTasksThatDoNotExistChangeNothing() {
        accept("job", 1, false);
        place(task(0, 0), 1, "w1", 10);
        end(task(0, -1), 1, EndKind.DONE, 1);
        end(task(-1, 0), 1, EndKind.DONE, 2);
        end(task(7, 0), 1, EndKind.DONE, 3);
        assertEquals(table.job("job").orElseThrow().phase(), JobPhase.ACTIVE);
    }

    /** Guards against services that are given up after some crashes of their workers in a year. */
    @Test
    public void crashAfterLongWorkDoesNotCountAgainstLastingTask() {
        JobSpec.Builder spec = JobSpec.newBuilder().setId("service");
        spec.addSteps(Step.newBuilder().setCount(1).setLongRunning(true));
        apply(JobCommand.newBuilder()
                .setAccept(AcceptJob.newBuilder().setSpec(spec).setQueue(QUEUE)));
        TaskId task = new TaskId("service", 0, 0, 0);
        place(task, 1, "w1", 10);
        announceWorker("w1", 11, "10.0.0.1:80");
        assertEquals(table.task(task).orElseThrow().crashes(), 1);
        place(task, 2, "w1", 11);
        table.apply(JobCommand.newBuilder()
                .setTimeMillis(1_000 + 60_000)
                .setEndWorker(
                        EndWorker.newBuilder().setWorker("w1").setBornMillis(11).setCause(WorkerEndCause.REPLACED))
                .build());
        assertEquals(table.task(task).orElseThrow().crashes(), 0);
        assertTrue(table.job("service").orElseThrow().open());
    }

    /** Guards against a leader whose table differs from those of the others after its observer has failed. */
    @Test
    public void failingObserverDoesNotCutCommandsShort() {
        accept("job", 2, false);
        table.setObserver(new JobTable.Observer() {
            @Override
            public void placed(RunId run, IncarnationId incarnation) {
                throw new IllegalStateException("the observer fails");
            }
        });
        Placement.Builder placement =
                Placement.newBuilder().setRun(1).setWorker("w1").setBornMillis(10);
        apply(JobCommand.newBuilder()
                .setPlace(PlaceRuns.newBuilder()
                        .addPlacements(placement.setTask(task(0, 0).toKey()).build())
                        .addPlacements(placement.setTask(task(0, 1).toKey()).build())));
        assertEquals(table.placedOn(new IncarnationId("w1", 10)).size(), 2);
        assertTrue(table.takeObserverFailure().isPresent());
        assertTrue(table.takeObserverFailure().isEmpty());
    }

    @Test
    public void olderQueueTableChangesNothing() {
        apply(JobCommand.newBuilder().setPutQueues(table(7, "/a/")));
        apply(JobCommand.newBuilder().setPutQueues(table(5, "/b/")));
        assertEquals(table.queues().getVersion(), 7);
        assertTrue(table.queueAt("host", "/a/x").isPresent());
        assertTrue(table.queueAt("host", "/b/x").isEmpty());
    }

    @Test
    public void longestPathPrefixSelectsQueue() {
        QueueTable.Builder queues = table(1, "/a/");
        queues.addQueues(queues.getQueues(0).toBuilder().setName("inner").setPathPrefix("/a/b/"));
        apply(JobCommand.newBuilder().setPutQueues(queues));
        assertEquals(table.queueAt("host", "/a/b/x").orElseThrow().getName(), "inner");
        assertEquals(table.queueAt("host", "/a/x").orElseThrow().getName(), "queue");
        assertTrue(table.queueAt("other", "/a/x").isEmpty());
    }

    @Test
    public void refusesInvalidQueues() {
        assertTrue(QueueCheck.check(table(1, "/a/").build()).isEmpty());
        QueueTable.Builder duplicate = table(1, "/a/");
        duplicate.addQueues(duplicate.getQueues(0).toBuilder().setName("second"));
        assertTrue(QueueCheck.check(duplicate.build()).isPresent());
        QueueTable.Builder unknownPool = table(1, "/a/");
        unknownPool.setQueues(0, unknownPool.getQueues(0).toBuilder().setPool("other"));
        assertTrue(QueueCheck.check(unknownPool.build()).isPresent());
        QueueTable.Builder withoutTimeout = table(1, "/a/");
        withoutTimeout.setQueues(0, withoutTimeout.getQueues(0).toBuilder().setTimeoutMillis(0));
        assertTrue(QueueCheck.check(withoutTimeout.build()).isPresent());
    }

    private static QueueTable.Builder table(long version, String prefix) {
        return QueueTable.newBuilder()
                .setVersion(version)
                .addPools(Pool.newBuilder().setName("pool"))
                .addQueues(QUEUE.toBuilder()
                        .setHost("host")
                        .setPathPrefix(prefix)
                        .setPool("pool")
                        .setTimeoutMillis(3_000));
    }

    /** Guards against a submission that a suspended node passes on late and that runs although its job was cancelled. */
    @Test
    public void jobThatIsSubmittedAfterItsCancelIsCancelled() {
        assertEquals(cancel("job1"), ResultCode.NOT_FOUND);
        assertTrue(table.job("job1").isEmpty());
        accept("job1", 1, false);
        assertEquals(table.job("job1").orElseThrow().phase(), JobPhase.CANCELLED);
        assertEquals(place(new TaskId("job1", 0, 0, 0), 1, "w1", 10), ResultCode.VERSION_CONFLICT);
    }

    @Test
    public void cancelBeforeSubmissionIsKeptInSnapshot() {
        cancel("job1");
        table = JobTable.restore(table.snapshot());
        accept("job1", 1, false);
        assertEquals(table.job("job1").orElseThrow().phase(), JobPhase.CANCELLED);
    }

    /** Guards against memory that grows with every cancellation of a job that does not exist. */
    @Test
    public void cancelsOfUnknownJobsAreBounded() {
        for (int number = 0; number < 10_000; number++) {
            cancel("job" + number);
        }
        assertTrue(
                table.snapshot().getSerializedSize() < 200_000,
                "bytes: " + table.snapshot().getSerializedSize());
        accept("job9999", 1, false);
        accept("job0", 1, false);
        assertEquals(table.job("job9999").orElseThrow().phase(), JobPhase.CANCELLED);
        assertEquals(table.job("job0").orElseThrow().phase(), JobPhase.QUEUED);
    }

    /** Guards against a next leader that counts jobs as waiting whose tasks run on workers that it can't reach. */
    @Test
    public void begunJobsAreKeptInSnapshot() {
        accept("job1", 1, false);
        place(new TaskId("job1", 0, 0, 0), 1, "w1", 10);
        assertFalse(table.job("job1").orElseThrow().begun());
        apply(JobCommand.newBuilder().setBegin(BeginJobs.newBuilder().addJobs("job1")));
        table = JobTable.restore(table.snapshot());
        assertTrue(table.job("job1").orElseThrow().begun());
    }

    /** Guards against a state whose size follows the texts of jobs that have ended, and exhausts every replica's heap. */
    @Test
    public void endedJobsKeepNoPayload() {
        for (int number = 0; number < 100; number++) {
            apply(JobCommand.newBuilder()
                    .setAccept(AcceptJob.newBuilder()
                            .setQueue(QUEUE)
                            .setSpec(JobSpec.newBuilder()
                                    .setId("job" + number)
                                    .setPayload("x".repeat(4_000))
                                    .addSteps(Step.newBuilder().setCount(1)))));
            cancel("job" + number);
        }
        assertTrue(
                table.snapshot().getSerializedSize() < 20_000, table.snapshot().getSerializedSize() + " bytes");
        assertEquals(table.job("job0").orElseThrow().phase(), JobPhase.CANCELLED);
    }

    /** Guards against an id that stays unusable for as long as no other unknown job is cancelled. */
    @Test
    public void cancelOfUnknownJobIsForgottenAfterItsTerm() {
        cancel("job1");
        table.apply(JobCommand.newBuilder()
                .setTimeMillis(200_000)
                .setAccept(AcceptJob.newBuilder()
                        .setQueue(QUEUE)
                        .setSpec(JobSpec.newBuilder()
                                .setId("job1")
                                .addSteps(Step.newBuilder().setCount(1))))
                .build());
        assertEquals(table.job("job1").orElseThrow().phase(), JobPhase.QUEUED);
    }

    private ResultCode cancel(String job) {
        return apply(JobCommand.newBuilder().setCancel(CancelJob.newBuilder().setJob(job)));
    }
}
