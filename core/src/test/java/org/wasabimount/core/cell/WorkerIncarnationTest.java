package org.wasabimount.core.cell;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.ResultCode;
import org.wasabimount.protocol.cell.BindTasks;
import org.wasabimount.protocol.cell.Binding;
import org.wasabimount.protocol.cell.CellCommand;
import org.wasabimount.protocol.cell.Organisation;
import org.wasabimount.protocol.cell.PutOrganisation;
import org.wasabimount.protocol.cell.PutResource;
import org.wasabimount.protocol.cell.RegisterWorker;
import org.wasabimount.protocol.cell.Reply;
import org.wasabimount.protocol.cell.ResourceKind;
import org.wasabimount.protocol.cell.ResourceSpec;
import org.wasabimount.protocol.cell.WorkerState;

/** Checks what happens to tasks when a later incarnation of their worker registers. */
public class WorkerIncarnationTest {

    private static final Capacity SIZE = new Capacity(1_000, 1_000, 0);

    private CellState state;

    @BeforeMethod
    public void bindTaskToSecondIncarnation() {
        state = new CellState();
        apply(CellCommand.newBuilder()
                .setPutOrganisation(PutOrganisation.newBuilder()
                        .setOrganisation(Organisation.newBuilder()
                                .setName("org")
                                .setWeight(1)
                                .setQuota(SIZE.toQuantity()))));
        register(1);
        register(2);
        apply(CellCommand.newBuilder()
                .setPutResource(PutResource.newBuilder()
                        .setOrganisation("org")
                        .setKind(ResourceKind.BATCH)
                        .setName("codes")
                        .setExpectedVersion(0)
                        .setSpec(ResourceSpec.newBuilder()
                                .setTaskSize(SIZE.toQuantity())
                                .setTaskCount(1)
                                .setMaxAttempts(1))));
        apply(CellCommand.newBuilder()
                .setBindTasks(BindTasks.newBuilder()
                        .addBindings(Binding.newBuilder()
                                .setTask("org/batches/codes/0")
                                .setWorker("worker")
                                .setIncarnation(2))));
    }

    @Test
    public void heartbeatOfEarlierIncarnationReleasesNothing() {
        assertFalse(state.needsRegistration(announced(1)) && !state.isFromEarlierIncarnation(announced(1)));
        assertEquals(register(1).getResultCode(), ResultCode.VERSION_CONFLICT.number());
        assertEquals(task().state(), TaskState.BOUND);
        assertEquals(task().worker().incarnation(), 2);
    }

    @Test
    public void laterIncarnationReleasesTasks() {
        register(3);
        assertEquals(task().state(), TaskState.PENDING);
    }

    /** Guards against a task that crashes one worker after the other and is started again at once each time. */
    @Test
    public void taskUnderWhichWorkersCrashIsGivenUp() {
        long incarnation = 3;
        register(incarnation);
        assertEquals(task().notBeforeMillis(), 0, "most crashes are not the task's doing");
        while (task().state() == TaskState.PENDING) {
            bind(incarnation);
            incarnation++;
            register(incarnation);
            state = CellState.restore(state.snapshot());
        }
        assertEquals(task().state(), TaskState.FAILED);
        assertEquals(incarnation, 7, "the task crashed incarnations 2 to 6");
    }

    @Test
    public void restartsAfterCrashesAreDelayedMoreAndMore() {
        long firstDelayMillis = crashAgain(3);
        long secondDelayMillis = crashAgain(4);
        long thirdDelayMillis = crashAgain(5);
        assertEquals(firstDelayMillis, 0);
        assertTrue(secondDelayMillis > 0);
        assertTrue(thirdDelayMillis > secondDelayMillis);
    }

    /** Replaces the task's worker by the next incarnation and binds the task to it; returns the delay of its restart. */
    private long crashAgain(long nextIncarnation) {
        register(nextIncarnation);
        long delayMillis = task().notBeforeMillis();
        bind(nextIncarnation);
        return delayMillis;
    }

    @Test
    public void workerThatLeftSaysNothingAboutItsTasks() {
        apply(CellCommand.newBuilder()
                .setRegisterWorker(RegisterWorker.newBuilder()
                        .setWorker(announced(2).toBuilder().setLeaving(true))));
        register(3);
        assertEquals(task().state(), TaskState.PENDING);
        assertEquals(task().crashes(), 0);
    }

    private void bind(long incarnation) {
        apply(CellCommand.newBuilder()
                .setTimeMillis(task().notBeforeMillis())
                .setBindTasks(BindTasks.newBuilder()
                        .addBindings(Binding.newBuilder()
                                .setTask("org/batches/codes/0")
                                .setWorker("worker")
                                .setIncarnation(incarnation))));
    }

    private Task task() {
        return state.task("org/batches/codes/0").orElseThrow();
    }

    private Reply register(long incarnation) {
        return apply(CellCommand.newBuilder()
                .setRegisterWorker(RegisterWorker.newBuilder().setWorker(announced(incarnation))));
    }

    private static WorkerState announced(long incarnation) {
        return WorkerState.newBuilder()
                .setWorker("worker")
                .setIncarnation(incarnation)
                .setDomain("domain")
                .setRack("rack")
                .setSize(SIZE.toQuantity())
                .build();
    }

    private Reply apply(CellCommand.Builder command) {
        return state.apply(command.build());
    }
}
