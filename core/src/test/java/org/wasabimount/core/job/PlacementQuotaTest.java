package org.wasabimount.core.job;

import static org.testng.Assert.assertEquals;

import java.util.Arrays;
import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.protocol.cell.Organisation;
import org.wasabimount.protocol.cell.Quantity;
import org.wasabimount.protocol.job.AcceptJob;
import org.wasabimount.protocol.job.JobCommand;
import org.wasabimount.protocol.job.JobSnapshot;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.LoseRuns;
import org.wasabimount.protocol.job.PlaceRuns;
import org.wasabimount.protocol.job.Placement;
import org.wasabimount.protocol.job.QueueTable;
import org.wasabimount.protocol.job.SeeWorker;
import org.wasabimount.protocol.job.Step;
import org.wasabimount.protocol.job.WorkerLife;

/** Checks that no placement command brings an organisation above its quota, whatever the leader has decided. */
public class PlacementQuotaTest {

    private static final Quantity TASK =
            Quantity.newBuilder().setCpuMillis(2_000).setMemoryMegabytes(100).build();

    private JobTable table;
    private long version;

    @BeforeMethod
    public void createTableWithQuotaOfThreeTasks() {
        table = new JobTable();
        apply(JobCommand.newBuilder()
                .setSeeWorker(SeeWorker.newBuilder()
                        .setLife(WorkerLife.newBuilder().setWorker("w1").setBornMillis(10))));
        putQuotas(organisation("red", 3), organisation("green", 1));
        accept("job", "red", 8);
    }

    private ResultCode apply(JobCommand.Builder command) {
        return table.apply(command.setTimeMillis(1_000).build());
    }

    private static Organisation organisation(String name, int tasks) {
        return Organisation.newBuilder()
                .setName(name)
                .setQuota(Capacity.of(TASK).times(tasks).toQuantity())
                .build();
    }

    private void putQuotas(Organisation... organisations) {
        apply(JobCommand.newBuilder()
                .setPutQueues(
                        QueueTable.newBuilder().setVersion(++version).addAllOrganisations(List.of(organisations))));
    }

    private ResultCode accept(String job, String organisation, int tasks) {
        JobSpec.Builder spec = JobSpec.newBuilder()
                .setId(job)
                .addSteps(Step.newBuilder().setCount(tasks).setSize(TASK));
        return apply(JobCommand.newBuilder()
                .setAccept(AcceptJob.newBuilder().setSpec(spec).setOrganisation(organisation)));
    }

    private ResultCode place(String job, int run, int... indexes) {
        return place(PlaceRuns.newBuilder().setWithinQuota(true), job, run, indexes);
    }

    private ResultCode place(PlaceRuns.Builder command, String job, int run, int... indexes) {
        Arrays.stream(indexes)
                .forEach(index -> command.addPlacements(Placement.newBuilder()
                        .setTask(new TaskId(job, 0, 0, index).toKey())
                        .setRun(run)
                        .setWorker("w1")
                        .setBornMillis(10)));
        return apply(JobCommand.newBuilder().setPlace(command));
    }

    private void lose(String job, int run, int index) {
        apply(JobCommand.newBuilder()
                .setLose(LoseRuns.newBuilder().addRuns(new RunId(new TaskId(job, 0, 0, index), run).toKey(""))));
    }

    private Capacity used() {
        return table.organisations().account("red").orElseThrow().used();
    }

    @Test
    public void refusesWholeCommandAboveQuota() {
        assertEquals(place("job", 1, 0, 1, 2, 3), ResultCode.OVER_QUOTA);
        assertEquals(used(), Capacity.NONE);
        assertEquals(place("job", 1, 0, 1, 2), ResultCode.OK);
        assertEquals(place("job", 1, 3), ResultCode.OVER_QUOTA);
    }

    @Test
    public void placementOfEarlierBuildIsNotChecked() {
        assertEquals(place(PlaceRuns.newBuilder(), "job", 1, 0, 1, 2, 3), ResultCode.OK);
    }

    @Test
    public void lossOfRunFreesQuotaOnce() {
        place("job", 1, 0, 1, 2);
        lose("job", 1, 0);
        lose("job", 1, 0);
        assertEquals(place("job", 1, 3, 4), ResultCode.OVER_QUOTA);
        assertEquals(place("job", 2, 0), ResultCode.OK);
    }

    @Test
    public void loweredQuotaRefusesUntilEnoughHasEnded() {
        place("job", 1, 0, 1, 2);
        putQuotas(organisation("red", 1));
        lose("job", 1, 0);
        lose("job", 1, 1);
        assertEquals(place("job", 1, 3), ResultCode.OVER_QUOTA);
        lose("job", 1, 2);
        assertEquals(place("job", 1, 3), ResultCode.OK);
    }

    @Test
    public void restoredTableHoldsSameSums() {
        place("job", 1, 0, 1);
        putQuotas(organisation("green", 1));
        table = JobTable.restore(table.snapshot());
        assertEquals(used(), Capacity.of(TASK).times(2));
        assertEquals(place("job", 1, 2, 3), ResultCode.OVER_QUOTA);
        assertEquals(place("job", 1, 2), ResultCode.OK);
    }

    @Test
    public void organisationsDoNotCountForEachOther() {
        accept("other", "green", 2);
        place("job", 1, 0, 1, 2);
        assertEquals(place("other", 1, 0), ResultCode.OK);
        assertEquals(place("other", 1, 1), ResultCode.OVER_QUOTA);
    }

    @Test
    public void jobsWithoutOrganisationHaveNoQuota() {
        accept("earlier", "", 20);
        JobSnapshot written = table.snapshot().toBuilder()
                .clearFormerOrganisations()
                .setQueues(QueueTable.getDefaultInstance())
                .build();
        table = JobTable.restore(written);
        assertEquals(place("earlier", 1, 0, 1, 2, 3, 4, 5, 6, 7), ResultCode.OK);
        assertEquals(table.organisations().accounts().size(), 0);
    }

    /** Guards against jobs that nothing limits because their organisation was removed while they were submitted. */
    @Test
    public void refusesJobOfOrganisationThatIsGone() {
        putQuotas(organisation("red", 3));
        assertEquals(accept("late", "green", 1), ResultCode.UNAUTHENTICATED);
        assertEquals(table.job("late").isPresent(), false);
    }
}
