package org.wasabimount.bench.placement;

import org.wasabimount.core.ResultCode;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.cell.CellState;
import org.wasabimount.core.cell.Task;
import org.wasabimount.protocol.cell.BindTasks;
import org.wasabimount.protocol.cell.CellCommand;
import org.wasabimount.protocol.cell.DeleteResource;
import org.wasabimount.protocol.cell.LoseWorker;
import org.wasabimount.protocol.cell.Organisation;
import org.wasabimount.protocol.cell.PreemptTasks;
import org.wasabimount.protocol.cell.PutOrganisation;
import org.wasabimount.protocol.cell.PutResource;
import org.wasabimount.protocol.cell.RegisterWorker;
import org.wasabimount.protocol.cell.ReportTasks;
import org.wasabimount.protocol.cell.ResourceKind;
import org.wasabimount.protocol.cell.ResourceSpec;
import org.wasabimount.protocol.cell.TaskPhase;
import org.wasabimount.protocol.cell.TaskReport;
import org.wasabimount.protocol.cell.WorkerState;

/** The state of a cell in virtual time, with methods that apply commands to it. */
final class SimulatedCell {

    private static final long NO_LIMIT = 1_000_000_000_000L;

    private final CellState state = new CellState();
    private long nowMillis = 1_000_000;

    CellState state() {
        return state;
    }

    long nowMillis() {
        return nowMillis;
    }

    void advance(long millis) {
        nowMillis += millis;
    }

    void organisation(String name, int weight) {
        Organisation organisation = Organisation.newBuilder()
                .setName(name)
                .setWeight(weight)
                .setQuota(new Capacity(NO_LIMIT, NO_LIMIT, NO_LIMIT).toQuantity())
                .build();
        apply(CellCommand.newBuilder()
                .setPutOrganisation(PutOrganisation.newBuilder().setOrganisation(organisation)));
    }

    void worker(int number, int domains, Capacity size) {
        WorkerState worker = WorkerState.newBuilder()
                .setWorker("worker-" + number)
                .setIncarnation(1)
                .setDomain("domain-" + number % domains)
                .setRack("rack-" + number % domains + "-" + number / domains / 8)
                .setSize(size.toQuantity())
                .build();
        apply(CellCommand.newBuilder()
                .setRegisterWorker(RegisterWorker.newBuilder().setWorker(worker)));
    }

    boolean declare(String organisation, ResourceKind kind, String name, Capacity size, int count, boolean urgent) {
        ResourceSpec spec = ResourceSpec.newBuilder()
                .setTaskSize(size.toQuantity())
                .setTaskCount(count)
                .setUrgent(urgent)
                .setMaxAttempts(20)
                .build();
        return apply(CellCommand.newBuilder()
                .setPutResource(PutResource.newBuilder()
                        .setOrganisation(organisation)
                        .setKind(kind)
                        .setName(name)
                        .setSpec(spec)
                        .setExpectedVersion(-1)));
    }

    void delete(String organisation, ResourceKind kind, String name) {
        apply(CellCommand.newBuilder()
                .setDeleteResource(DeleteResource.newBuilder()
                        .setOrganisation(organisation)
                        .setKind(kind)
                        .setName(name)
                        .setExpectedVersion(-1)));
    }

    boolean bind(BindTasks bindings) {
        return apply(CellCommand.newBuilder().setBindTasks(bindings));
    }

    void preempt(PreemptTasks tasks) {
        apply(CellCommand.newBuilder().setPreemptTasks(tasks));
    }

    void report(Task task, TaskPhase phase) {
        apply(CellCommand.newBuilder()
                .setReportTasks(ReportTasks.newBuilder()
                        .addReports(TaskReport.newBuilder()
                                .setTask(task.id())
                                .setEpoch(task.epoch())
                                .setPhase(phase)
                                .setWorker(task.worker().id().name()))));
    }

    void loseWorker(String worker) {
        apply(CellCommand.newBuilder()
                .setLoseWorker(LoseWorker.newBuilder()
                        .setWorker(worker)
                        .setIncarnation(1)
                        .setFenced(true)));
    }

    private boolean apply(CellCommand.Builder command) {
        return state.apply(command.setTimeMillis(nowMillis).build()).getResultCode() == ResultCode.OK.number();
    }
}
