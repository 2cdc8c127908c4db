package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.protocol.job.JobCommand;
import org.wasabimount.protocol.job.PlaceRuns;

/**
 * Bounds how many items the dispatcher examines, in virtual time and with fixed seeds, so that its processor time does
 * not grow with the workers times the waiting steps.
 */
public class DispatcherCostTest {

    private static final int FEW_WORKERS = 33;
    private static final int MANY_WORKERS = 246;

    @Test
    public void admissionDoesNotExamineIdleWorkers() {
        assertEquals(examinedByAdmission(idleCell(MANY_WORKERS)), examinedByAdmission(idleCell(FEW_WORKERS)));
    }

    @Test
    public void endOfJobDoesNotExamineRunsOfOtherJobs() {
        SimulatedCell cell = busyCell(MANY_WORKERS);
        submitWaitingJobs(cell, 1);
        long before = cell.dispatcher.examined().of(ExaminedCounts.Part.END);
        cell.cancel("waiting1");
        assertEquals(cell.dispatcher.examined().of(ExaminedCounts.Part.END), before);
    }

    @Test
    public void idleTickDoesNotExamineAssignedRuns() {
        SimulatedCell cell = busyCell(MANY_WORKERS);
        long before = cell.dispatcher.examined().of(ExaminedCounts.Part.TICK);
        for (int call = 0; call < 100; call++) {
            cell.dispatcher.work(cell.wallMillis());
        }
        assertTrue(
                cell.dispatcher.examined().of(ExaminedCounts.Part.TICK) - before <= 100,
                "examined " + (cell.dispatcher.examined().of(ExaminedCounts.Part.TICK) - before));
    }

    @Test
    public void admissionDoesNotExamineWaitingJobs() {
        SimulatedCell cell = busyCell(FEW_WORKERS);
        submitWaitingJobs(cell, 20);
        long withFewJobs = examinedByAdmission(cell);
        submitWaitingJobs(cell, 20);
        assertEquals(examinedByAdmission(cell), withFewJobs);
    }

    private static long examinedByAdmission(SimulatedCell cell) {
        long before = cell.dispatcher.examined().of(ExaminedCounts.Part.ADMIT);
        cell.dispatcher.admit(cell.job("next", 1, DeploymentLoad.Deployment.PANEL.worker, false), cell.queue());
        return cell.dispatcher.examined().of(ExaminedCounts.Part.ADMIT) - before;
    }

    @Test
    public void readyStepsAreCollectedWithoutExaminingTasksOfOpenJobs() {
        SimulatedCell cell = busyCell(FEW_WORKERS);
        submitWaitingJobs(cell, 20);
        cell.run(100);
        long before = cell.dispatcher.examined().of(ExaminedCounts.Part.READY);
        cell.run(1_000);
        long perRound = (cell.dispatcher.examined().of(ExaminedCounts.Part.READY) - before) / 25;
        assertTrue(perRound <= 3 * 21, "examined " + perRound + " in each round for 21 steps");
    }

    @Test
    public void waitingStepsDoNotExamineFullWorkers() {
        SimulatedCell cell = busyCell(MANY_WORKERS);
        submitWaitingJobs(cell, 100);
        cell.run(100);
        long before = cell.dispatcher.examined().of(ExaminedCounts.Part.ROUND);
        cell.run(1_000);
        long perRound = (cell.dispatcher.examined().of(ExaminedCounts.Part.ROUND) - before) / 25;
        assertTrue(
                perRound <= 2 * (MANY_WORKERS + 100),
                "examined " + perRound + " in each round for 100 steps and " + MANY_WORKERS + " full workers");
    }

    @Test
    public void gangReservationDoesNotExamineWorkersForEachTask() {
        SimulatedCell cell = busyCell(MANY_WORKERS);
        int gangs = 10;
        int tasks = 20;
        for (int number = 0; number < gangs; number++) {
            cell.submit(cell.job("gang" + number, tasks, new Capacity(1_000, 1_000, 0), true));
        }
        cell.run(100);
        long before = cell.dispatcher.examined().of(ExaminedCounts.Part.ROUND);
        cell.run(1_000);
        long perRound = (cell.dispatcher.examined().of(ExaminedCounts.Part.ROUND) - before) / 25;
        assertTrue(
                perRound <= 3 * gangs * (MANY_WORKERS + tasks),
                "examined " + perRound + " in each round for " + gangs + " gangs of " + tasks + " tasks");
    }

    @Test
    public void eventsThatArriveTogetherCauseOneRound() {
        SimulatedCell cell = busyCell(FEW_WORKERS);
        cell.stepMillis = 1;
        long before = cell.dispatcher.examined().of(ExaminedCounts.Part.READY);
        for (int millis = 0; millis < 100; millis++) {
            cell.dispatcher.refused(JobCommand.newBuilder()
                    .setPlace(PlaceRuns.getDefaultInstance())
                    .build());
            cell.run(1);
        }
        long rounds = cell.dispatcher.examined().of(ExaminedCounts.Part.READY) - before;
        assertTrue(rounds <= 25, rounds + " rounds in 100 ms with an event each");
    }

    /** Guards against cost that grows with the workers times the waiting steps. */
    @Test
    public void itemsExaminedForStartedTaskHardlyGrowWithWorkers() {
        double few = itemsPerStartedTask(loadOf(50), 3_000);
        double many = itemsPerStartedTask(loadOf(1_000), 3_000);
        assertTrue(many < 1.5 * few, few + " items a started task with 50 workers, " + many + " with 1000");
    }

    /** Guards against cost that grows with the waiting steps, although nothing has changed for most of them. */
    @Test
    public void itemsExaminedForStartedTaskHardlyGrowWithBacklog() {
        double shortBacklog = itemsPerStartedTask(loadWithBacklog(10), 3_000);
        double longBacklog = itemsPerStartedTask(loadWithBacklog(500), 3_000);
        assertTrue(
                longBacklog < 1.5 * shortBacklog,
                shortBacklog + " items a started task with 10 waiting steps, " + longBacklog + " with 500");
    }

    /** Guards against cost that grows with the steps that wait for the quota of their organisation. */
    @Test(dataProvider = "organisations")
    public void itemsExaminedForStartedTaskHardlyGrowWithStepsAtQuota(int organisations) {
        double few = itemsPerStartedTask(loadAtQuota(organisations, organisations), 3_000);
        double many = itemsPerStartedTask(loadAtQuota(organisations, 1_000 + organisations), 3_000);
        assertTrue(
                many < 1.5 * few,
                few + " items a started task with one job for each of " + organisations + " organisations, " + many
                        + " with 1000 more");
    }

    @DataProvider
    public Object[][] organisations() {
        return new Object[][] {{20}, {260}};
    }

    /** Starts a load beside a backlog of organisations that may run 260 tasks of it together. */
    private static DeploymentLoad loadAtQuota(int organisations, int jobs) {
        DeploymentLoad load =
                new DeploymentLoad(1, DeploymentLoad.Deployment.PANEL, DeploymentLoad.Deployment.PANEL.workers, 0.7);
        Capacity task = new Capacity(6_900, 500, 0);
        load.cell.organisationOf = spec -> spec.getId().startsWith("backlog")
                ? "organisation" + Math.floorMod(spec.getId().hashCode(), organisations)
                : "";
        for (int number = 0; number < organisations; number++) {
            load.cell.putQuota("organisation" + number, task.times(260 / organisations));
        }
        load.submitBacklog(jobs);
        load.run(2_000);
        return load;
    }

    private static DeploymentLoad loadOf(int workers) {
        DeploymentLoad.Deployment panel = DeploymentLoad.Deployment.PANEL;
        DeploymentLoad load = new DeploymentLoad(1, panel, workers, (double) workers / panel.workers);
        load.run(2_000);
        return load;
    }

    /** Starts a load that leaves a part of the workers to a backlog of jobs that can wait for long. */
    private static DeploymentLoad loadWithBacklog(int jobs) {
        DeploymentLoad load =
                new DeploymentLoad(1, DeploymentLoad.Deployment.PANEL, DeploymentLoad.Deployment.PANEL.workers, 0.7);
        load.submitBacklog(jobs);
        load.run(2_000);
        return load;
    }

    private static double itemsPerStartedTask(DeploymentLoad load, long millis) {
        long itemsBefore = items(load.cell);
        long startsBefore =
                load.cell.starts.values().stream().mapToLong(Integer::longValue).sum();
        load.run(millis);
        long starts =
                load.cell.starts.values().stream().mapToLong(Integer::longValue).sum() - startsBefore;
        return (double) (items(load.cell) - itemsBefore) / starts;
    }

    private static long items(SimulatedCell cell) {
        return Arrays.stream(ExaminedCounts.Part.values())
                .mapToLong(cell.dispatcher.examined()::of)
                .sum();
    }

    private static SimulatedCell idleCell(int workers) {
        SimulatedCell cell = new SimulatedCell(1);
        cell.addresses(workers)
                .forEach(address -> cell.worker("w" + address, address, DeploymentLoad.Deployment.PANEL.worker));
        cell.run(DeploymentLoad.SETTLE_MILLIS);
        return cell;
    }

    /** Starts a cell whose workers each have one task that uses all of it for a long time. */
    private static SimulatedCell busyCell(int workers) {
        SimulatedCell cell = idleCell(workers);
        cell.workMillis(1_000_000);
        cell.submit(cell.job("busy", workers, DeploymentLoad.Deployment.PANEL.worker, false));
        cell.run(DeploymentLoad.SETTLE_MILLIS);
        return cell;
    }

    private static void submitWaitingJobs(SimulatedCell cell, int count) {
        int first = cell.table.jobs().size();
        for (int number = first; number < first + count; number++) {
            cell.submit(cell.job("waiting" + number, 10, new Capacity(1_000, 1_000, 0), false));
        }
    }
}
