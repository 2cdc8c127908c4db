package org.wasabimount.bench.overhead;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

import org.wasabimount.core.cell.CellState;
import org.wasabimount.core.ledger.Ledger;
import org.wasabimount.protocol.cell.CellCommand;
import org.wasabimount.protocol.cell.ClaimKey;
import org.wasabimount.protocol.cell.LedgerCommand;
import org.wasabimount.protocol.cell.Organisation;
import org.wasabimount.protocol.cell.PutOrganisation;
import org.wasabimount.protocol.cell.PutResource;
import org.wasabimount.protocol.cell.Quantity;
import org.wasabimount.protocol.cell.RegisterWorker;
import org.wasabimount.protocol.cell.ResourceKind;
import org.wasabimount.protocol.cell.ResourceSpec;
import org.wasabimount.protocol.cell.WorkerState;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;

/** Measures the heap use of the state machines as a function of the number of workers, tasks, resources and keys. */
final class StateMemory {

    private static final int[] SIZES = {2_000, 4_000, 8_000, 16_000};
    private static final long NOW_MILLIS = 1_000_000_000L;
    private static final Quantity TASK_SIZE =
            Quantity.newBuilder().setCpuMillis(100).setMemoryMegabytes(100).build();
    private static final Quantity UNLIMITED = Quantity.newBuilder()
            .setCpuMillis(1L << 40)
            .setMemoryMegabytes(1L << 40)
            .build();

    private StateMemory() {}

    /** Measures the bytes per worker, per task, per resource with one task, and per ledger key. */
    static void measure(ObjectNode slopes) {
        slopes.withObject("worker").put("stateBytes", slope(StateMemory::workers));
        slopes.withObject("task").put("stateBytes", slope(StateMemory::tasks));
        slopes.withObject("resource").put("stateBytes", slope(StateMemory::resources));
        slopes.withObject("ledgerKey").put("stateBytes", slope(StateMemory::ledgerKeys));
    }

    private interface StateFactory {
        Object create(int size);
    }

    private static double slope(StateFactory factory) {
        LinearFit slope = new LinearFit();
        factory.create(SIZES[0]);
        for (int size : SIZES) {
            long before = usedBytes();
            List<Object> retained = new ArrayList<>();
            retained.add(factory.create(size));
            slope.add(size, usedBytes() - before);
            retained.clear();
        }
        return slope.perUnit();
    }

    private static long usedBytes() {
        System.gc();
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static CellState newCellState() {
        CellState state = new CellState();
        state.apply(CellCommand.newBuilder()
                .setPutOrganisation(PutOrganisation.newBuilder()
                        .setOrganisation(Organisation.newBuilder()
                                .setName("org")
                                .setWeight(1)
                                .setQuota(UNLIMITED)))
                .build());
        return state;
    }

    private static Object workers(int count) {
        CellState state = newCellState();
        for (int number = 0; number < count; number++) {
            WorkerState worker = WorkerState.newBuilder()
                    .setWorker("worker-" + number)
                    .setIncarnation(1_700_000_000_000L)
                    .setDomain("domain-" + number % 11)
                    .setRack("rack-" + number / 8)
                    .setSize(UNLIMITED)
                    .build();
            state.apply(CellCommand.newBuilder()
                    .setRegisterWorker(RegisterWorker.newBuilder().setWorker(worker))
                    .build());
        }
        return state;
    }

    private static Object tasks(int count) {
        CellState state = newCellState();
        put(state, "wide", count);
        return state;
    }

    private static Object resources(int count) {
        CellState state = newCellState();
        for (int number = 0; number < count; number++) {
            put(state, "resource-" + number, 1);
        }
        return state;
    }

    private static void put(CellState state, String name, int tasks) {
        // A resource can have at most 10,000 tasks, so larger counts are split over several resources.
        for (int part = 0; part * 10_000 < tasks; part++) {
            ResourceSpec spec = ResourceSpec.newBuilder()
                    .setTaskSize(TASK_SIZE)
                    .setTaskCount(Math.min(10_000, tasks - part * 10_000))
                    .setMaxAttempts(3)
                    .build();
            state.apply(CellCommand.newBuilder()
                    .setTimeMillis(NOW_MILLIS)
                    .setPutResource(PutResource.newBuilder()
                            .setOrganisation("org")
                            .setKind(ResourceKind.BATCH)
                            .setName(name + "-" + part)
                            .setSpec(spec)
                            .setExpectedVersion(-1))
                    .build());
        }
    }

    private static Object ledgerKeys(int count) {
        Ledger ledger = new Ledger(Ledger.RETENTION_MILLIS);
        for (int number = 0; number < count; number++) {
            UUID key = new UUID(NOW_MILLIS << 16 | 0x7000L, Long.MIN_VALUE | number);
            ledger.apply(LedgerCommand.newBuilder()
                    .setTimeMillis(NOW_MILLIS)
                    .setOrganisation("org")
                    .setKey(key.toString())
                    .setClaim(ClaimKey.newBuilder()
                            .setAttempt(UUID.randomUUID().toString())
                            .setBodyHash(ByteString.copyFrom(new byte[32]))
                            .setDeadlineMillis(NOW_MILLIS + 1_000))
                    .build());
        }
        return ledger;
    }
}
