package org.wasabimount.core.cell;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

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
