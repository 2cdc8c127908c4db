package org.wasabimount.core.quota;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.cell.OrganisationAccount;
import org.wasabimount.core.job.JobTable;
import org.wasabimount.core.job.RunId;
import org.wasabimount.core.job.TaskId;
import org.wasabimount.protocol.cell.Organisation;
import org.wasabimount.protocol.job.JobCommand;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.QueueTable;

/** Tests which steps wait for the quota of their organisation, and what it costs that they do. */
public class QuotaGateTest {

    private static final Capacity TASK = new Capacity(1_000, 2_000, 0);

    private JobTable table;
    private QuotaGate<FakeStep> gate;
    private long version;
    private long examined;

    private record FakeStep(int number, String organisation, Capacity unit, int units) implements QuotaDemand {}

    @BeforeMethod
    public void createGate() {
        table = new JobTable();
        gate = new QuotaGate<>(
                table.organisations(), Comparator.comparingInt(FakeStep::number), count -> examined += count);
        putQuota(10);
        gate.takeFitting(0);
    }

    private void putQuota(int tasks) {
        table.apply(JobCommand.newBuilder()
                .setPutQueues(QueueTable.newBuilder()
                        .setVersion(++version)
                        .addOrganisations(Organisation.newBuilder()
                                .setName("red")
                                .setQuota(TASK.times(tasks).toQuantity())))
                .build());
        gate.quotasChanged();
    }

    private static FakeStep step(int number, int tasks) {
        return new FakeStep(number, "red", TASK, tasks);
    }

    private static FakeStep gang(int number, int tasks) {
        return new FakeStep(number, "red", TASK.times(tasks), 1);
    }

    private static RunId run(int number) {
        return new RunId(new TaskId("job", 0, 0, number), 1);
    }

    private void propose(FakeStep step, int from, int to) {
        IntStream.range(from, to).forEach(number -> gate.proposed(run(number), step, TASK));
    }

    private List<FakeStep> takeAllFitting() {
        List<FakeStep> taken = new ArrayList<>();
        for (int pass = 0; pass < 1_000 && gate.changed(); pass++) {
            gate.parkExceeding();
            taken.addAll(gate.takeFitting(0));
        }
        assertFalse(gate.changed(), "the search does not end");
        return taken;
    }

    @Test
    public void countsProposedPlacements() {
        FakeStep step = step(1, 20);
        assertTrue(gate.enter(step));
        assertEquals(gate.tasksFitting(step), 10);
        propose(step, 0, 7);
        assertEquals(gate.tasksFitting(step), 3);
        propose(step, 7, 10);
        assertEquals(gate.parkExceeding(), List.of(step));
        gate.refused(run(0), "red");
        assertEquals(takeAllFitting(), List.of(step));
        assertEquals(gate.tasksFitting(step), 1);
    }

    @Test
    public void stepWithoutOrganisationHasNoQuota() {
        FakeStep step = new FakeStep(1, "", TASK, 20);
        assertTrue(gate.enter(step));
        assertTrue(gate.tasksFitting(step) > 20);
    }

    @Test
    public void gangFitsOnlyWhole() {
        FakeStep small = step(1, 4);
        FakeStep gang = gang(2, 8);
        gate.enter(small);
        propose(small, 0, 3);
        assertFalse(gate.enter(gang));
        assertEquals(gate.tasksFitting(gang), 0);
        gate.refused(run(0), "red");
        assertEquals(takeAllFitting(), List.of(gang));
    }

    @Test
    public void firstInOrderThatFitLeaveParking() {
        FakeStep holder = step(0, 10);
        gate.enter(holder);
        propose(holder, 0, 10);
        gate.leave(holder);
        gate.parkExceeding();
        FakeStep wide = gang(1, 5);
        FakeStep first = step(2, 1);
        FakeStep second = step(3, 1);
        FakeStep third = step(4, 1);
        List.of(third, second, first, wide).forEach(gate::enter);
        gate.refused(run(0), "red");
        // Twice the free quota: one of two that fit may find no room.
        assertEquals(takeAllFitting(), List.of(first, second));
        assertEquals(gate.parked().size(), 2);
    }

    /** Guards against a step that is never found behind more of its organisation than one search examines. */
    @Test
    public void findsStepBehindManyThatDoNotFit() {
        FakeStep small = step(1_000, 1);
        IntStream.range(0, 200).mapToObj(number -> gang(number, 11)).forEach(gate::enter);
        FakeStep holder = step(2_000, 10);
        gate.enter(holder);
        propose(holder, 0, 10);
        gate.leave(holder);
        gate.enter(small);
        takeAllFitting();
        gate.refused(run(0), "red");
        assertEquals(takeAllFitting(), List.of(small));
    }

    @Test
    public void loweredQuotaParksAndRaisedQuotaTakesOut() {
        FakeStep small = step(1, 3);
        FakeStep gang = gang(2, 6);
        gate.enter(small);
        gate.enter(gang);
        putQuota(5);
        assertEquals(gate.parkExceeding(), List.of(gang));
        putQuota(6);
        assertEquals(takeAllFitting(), List.of(gang));
    }

    /** Guards against passes whose cost grows with what waits for quota. */
    @Test
    public void parkedStepsCostNothingUntilQuotaGrows() {
        FakeStep holder = step(0, 10);
        gate.enter(holder);
        propose(holder, 0, 10);
        IntStream.range(1, 5_000).mapToObj(number -> step(number, 1)).forEach(gate::enter);
        takeAllFitting();
        long before = examined;
        for (int pass = 0; pass < 1_000; pass++) {
            gate.parkExceeding();
            gate.takeFitting(0);
        }
        assertEquals(examined, before);
        gate.refused(run(0), "red");
        takeAllFitting();
        assertTrue(examined - before <= 4, "examined " + (examined - before));
    }

    /** Guards against an organisation whose quota is kept free for a step that finds no room. */
    @Test
    public void reviewTakesOutStepBesideOneThatIsNotPlaced() {
        List<FakeStep> withoutRoom = List.of(step(0, 100), step(1, 100));
        FakeStep other = step(2, 1);
        withoutRoom.forEach(gate::enter);
        propose(step(3, 10), 0, 10);
        gate.parkExceeding();
        gate.enter(other);
        IntStream.range(0, 10).forEach(number -> gate.refused(run(number), "red"));
        assertEquals(takeAllFitting(), withoutRoom);
        assertEquals(gate.takeFitting(250), List.of(other));
    }

    @Test
    public void refusesJobThatCanNeverStart() {
        OrganisationAccount account = table.organisations().account("red").orElseThrow();
        assertEquals(QuotaCheck.check(job(20, false, TASK), account).isPresent(), false);
        assertEquals(QuotaCheck.check(job(10, true, TASK), account).isPresent(), false);
        assertEquals(
                QuotaCheck.check(job(11, true, TASK), account).orElseThrow().code(), ResultCode.NEVER_FITS);
        assertEquals(
                QuotaCheck.check(job(1, false, new Capacity(0, 20_001, 0)), account)
                        .orElseThrow()
                        .code(),
                ResultCode.NEVER_FITS);
        assertEquals(
                QuotaCheck.check(job(1, false, new Capacity(0, 0, 1)), account).isPresent(), true);
    }

    private static JobSpec job(int tasks, boolean gang, Capacity size) {
        return JobSpec.newBuilder()
                .addSteps(org.wasabimount.protocol.job.Step.newBuilder()
                        .setCount(tasks)
                        .setGang(gang)
                        .setSize(size.toQuantity()))
                .build();
    }
}
