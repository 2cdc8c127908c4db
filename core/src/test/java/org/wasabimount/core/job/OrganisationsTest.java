package org.wasabimount.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.Refusal;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.protocol.cell.Organisation;
import org.wasabimount.protocol.cell.Quantity;
import org.wasabimount.protocol.job.AcceptJob;
import org.wasabimount.protocol.job.CancelJob;
import org.wasabimount.protocol.job.End;
import org.wasabimount.protocol.job.EndKind;
import org.wasabimount.protocol.job.EndRuns;
import org.wasabimount.protocol.job.JobCommand;
import org.wasabimount.protocol.job.JobPhase;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.PlaceRuns;
import org.wasabimount.protocol.job.Placement;
import org.wasabimount.protocol.job.Queue;
import org.wasabimount.protocol.job.QueueTable;
import org.wasabimount.protocol.job.SeeWorker;
import org.wasabimount.protocol.job.Step;
import org.wasabimount.protocol.job.WorkerLife;

import com.google.protobuf.ByteString;

/** Checks which organisation a job and its tasks belong to, and which tables of organisations are refused. */
public class OrganisationsTest {

    private static final Capacity TASK = new Capacity(500, 100, 0);
    private static final Queue QUEUE =
            Queue.newBuilder().setName("queue").setMaxAttempts(2).build();

    private JobTable table;
    private long version;

    @BeforeMethod
    public void createTable() {
        table = new JobTable();
        version = 0;
        put(organisation("one", 10_000, "a"), organisation("two", 10_000, "b"));
        apply(JobCommand.newBuilder()
                .setSeeWorker(SeeWorker.newBuilder()
                        .setLife(WorkerLife.newBuilder().setWorker("w1").setBornMillis(10))));
    }

    private ResultCode apply(JobCommand.Builder command) {
        return table.apply(command.setTimeMillis(1_000).build());
    }

    private static Organisation organisation(String name, long cpuMillis, String... secrets) {
        return Organisation.newBuilder()
                .setName(name)
                .setWeight(1)
                .setQuota(Quantity.newBuilder().setCpuMillis(cpuMillis).setMemoryMegabytes(Capacity.UNLIMITED))
                .addAllSecretHashes(
                        Arrays.stream(secrets).map(ByteString::copyFromUtf8).toList())
                .build();
    }

    private void put(Organisation... organisations) {
        version++;
        apply(JobCommand.newBuilder()
                .setPutQueues(
                        QueueTable.newBuilder().setVersion(version).addAllOrganisations(Arrays.asList(organisations))));
    }

    private ResultCode accept(String job, String organisation) {
        JobSpec spec = JobSpec.newBuilder()
                .setId(job)
                .addSteps(Step.newBuilder().setCount(1).setSize(TASK.toQuantity()))
                .build();
        return apply(JobCommand.newBuilder()
                .setAccept(AcceptJob.newBuilder().setSpec(spec).setQueue(QUEUE).setOrganisation(organisation)));
    }

    private ResultCode cancel(String job, String organisation) {
        return apply(JobCommand.newBuilder()
                .setCancel(CancelJob.newBuilder()
                        .setJob(job)
                        .setOrganisation(organisation)
                        .setOfOrganisation(true)));
    }

    private void place(String job) {
        apply(JobCommand.newBuilder()
                .setPlace(PlaceRuns.newBuilder()
                        .addPlacements(Placement.newBuilder()
                                .setTask(new TaskId(job, 0, 0, 0).toKey())
                                .setRun(1)
                                .setWorker("w1")
                                .setBornMillis(10))));
    }

    private void endTask(String job) {
        apply(JobCommand.newBuilder()
                .setEnd(EndRuns.newBuilder()
                        .setWorker("w1")
                        .setBornMillis(10)
                        .setOffset(1)
                        .addEnds(End.newBuilder()
                                .setTask(new TaskId(job, 0, 0, 0).toKey())
                                .setRun(1)
                                .setKind(EndKind.DONE))));
    }

    private Optional<Capacity> used(String organisation) {
        return table.organisations().account(organisation).map(account -> account.used());
    }

    private Optional<String> owner(String secret) {
        return table.organisations()
                .bySecret(ByteString.copyFromUtf8(secret))
                .map(account -> account.id().name());
    }

    private JobPhase phase(String job) {
        return table.job(job).orElseThrow().phase();
    }

    private static Optional<ResultCode> problem(Organisation... organisations) {
        return OrganisationCheck.check(List.of(organisations)).map(Refusal::code);
    }

    @Test
    public void secretComesAndGoesWithVersion() {
        assertEquals(owner("a"), Optional.of("one"));
        put(organisation("one", 10_000, "c"), organisation("two", 10_000, "b", "a"));
        assertEquals(owner("a"), Optional.of("two"));
        assertEquals(owner("c"), Optional.of("one"));
        put(organisation("one", 10_000));
        assertEquals(owner("c"), Optional.empty());
        assertEquals(owner("b"), Optional.empty());
    }

    @Test
    public void cancelsOnlyJobOfSameOrganisation() {
        accept("job", "one");
        assertEquals(cancel("job", "two"), ResultCode.NOT_FOUND);
        assertEquals(phase("job"), JobPhase.QUEUED);
        assertEquals(cancel("job", "one"), ResultCode.OK);
        assertEquals(phase("job"), JobPhase.CANCELLED);
    }

    @Test
    public void cancellationOfEarlierBuildAppliesToEveryJob() {
        accept("job", "one");
        assertEquals(
                apply(JobCommand.newBuilder().setCancel(CancelJob.newBuilder().setJob("job"))), ResultCode.OK);
        assertEquals(phase("job"), JobPhase.CANCELLED);
    }

    @Test
    public void earlyCancellationOfOtherOrganisationHasNoEffect() {
        cancel("job", "two");
        accept("job", "one");
        assertEquals(phase("job"), JobPhase.QUEUED);
        cancel("later", "one");
        table = JobTable.restore(table.snapshot());
        accept("later", "one");
        assertEquals(phase("later"), JobPhase.CANCELLED);
    }

    @Test
    public void refusesIdOfJobOfOtherOrganisation() {
        assertEquals(accept("job", "one"), ResultCode.OK);
        assertEquals(accept("job", "one"), ResultCode.OK);
        assertEquals(accept("job", "two"), ResultCode.KEY_REUSED);
        assertEquals(table.job("job").orElseThrow().organisation(), "one");
    }

    @Test
    public void chargesPlacedTasksUntilTheyHaveEnded() {
        accept("job", "one");
        place("job");
        assertEquals(used("one"), Optional.of(TASK));
        assertEquals(
                JobTable.restore(table.snapshot())
                        .organisations()
                        .account("one")
                        .orElseThrow()
                        .used(),
                TASK);
        cancel("job", "one");
        assertEquals(used("one"), Optional.of(TASK));
        endTask("job");
        assertEquals(used("one"), Optional.of(Capacity.NONE));
    }

    @Test
    public void formerOrganisationKeepsQuotaUntilItsLastTaskHasEnded() {
        accept("job", "one");
        put(organisation("two", 10_000, "b"));
        place("job");
        cancel("job", "one");
        table = JobTable.restore(table.snapshot());
        assertEquals(table.organisations().account("one").orElseThrow().quota().cpuMillis(), 10_000);
        assertEquals(used("one"), Optional.of(TASK));
        assertEquals(owner("a"), Optional.empty());
        endTask("job");
        assertEquals(used("one"), Optional.empty());
        assertTrue(table.snapshot().getFormerOrganisationsList().isEmpty());
    }

    @Test
    public void readsJobsOfEarlierBuilds() {
        accept("job", "");
        place("job");
        JobTable restored =
                JobTable.restore(table.snapshot().toBuilder().clearQueues().build());
        assertEquals(restored.job("job").orElseThrow().organisation(), "");
        assertTrue(restored.organisations().accounts().isEmpty());
    }

    @Test
    public void refusesInvalidOrganisations() {
        assertEquals(
                problem(organisation("one", 1, "a"), organisation("two", 1, "b", "a")),
                Optional.of(ResultCode.INVALID_VALUE));
        assertEquals(problem(organisation("", 1, "a")), Optional.of(ResultCode.INVALID_VALUE));
        assertEquals(
                problem(organisation("one", 1, "a"), organisation("one", 1, "b")),
                Optional.of(ResultCode.INVALID_VALUE));
        assertEquals(problem(organisation("one", -1, "a")), Optional.of(ResultCode.INVALID_VALUE));
        assertEquals(
                problem(organisation("one", 1, "a").toBuilder().setWeight(-1).build()),
                Optional.of(ResultCode.INVALID_VALUE));
        Organisation[] tooMany = IntStream.range(0, 10_000)
                .mapToObj(number -> organisation("o" + number, 1, "s" + number))
                .toArray(Organisation[]::new);
        assertEquals(problem(tooMany), Optional.of(ResultCode.TOO_LARGE));
        assertFalse(problem(organisation("one", 0, "a", "a"), organisation("two", 1))
                .isPresent());
    }
}
