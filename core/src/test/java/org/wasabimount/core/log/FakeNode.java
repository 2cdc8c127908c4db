package org.wasabimount.core.log;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.wasabimount.core.VmId;
import org.wasabimount.protocol.log.HardState;
import org.wasabimount.protocol.log.LogEntry;
import org.wasabimount.protocol.log.LogMessage;
import org.wasabimount.protocol.log.LogSnapshot;

import com.google.protobuf.ByteString;

/** A replica with a disk in memory, which may crash between any two steps of its host. */
final class FakeNode {

    /** Where a host stops when it crashes. */
    enum CrashPoint {
        NONE,
        BEFORE_SYNC,
        AFTER_SYNC
    }

    private static final long ELECTION_TIMEOUT_MILLIS = 400;
    private static final long HEARTBEAT_MILLIS = 80;
    private static final long LEASE_MARGIN_MILLIS = 40;
    private static final int MAX_BATCH_ENTRIES = 1;

    private final VmId vm;
    private final double clockRate;
    private final LogSnapshot first;
    private final Consumer<LogMessage> network;
    private final Oracle oracle;
    private final Map<Long, LogEntry> proposed = new HashMap<>();
    private int generation;
    private int starts;
    private Replica replica;
    private HardState disk = HardState.getDefaultInstance();
    private LogSnapshot diskSnapshot;
    private List<LogEntry> diskEntries = new ArrayList<>();
    private String state = "";
    private long appliedIndex;
    private boolean paused;

    FakeNode(VmId vm, double clockRate, LogSnapshot first, Consumer<LogMessage> network, Oracle oracle) {
        this.vm = vm;
        this.clockRate = clockRate;
        this.first = first;
        this.diskSnapshot = first;
        this.network = network;
        this.oracle = oracle;
    }

    ReplicaIdentity identity() {
        return new ReplicaIdentity(vm, Integer.toString(generation));
    }

    Replica replica() {
        return replica;
    }

    String state() {
        return state;
    }

    boolean up() {
        return replica != null;
    }

    boolean runs() {
        return up() && !paused;
    }

    void pause(boolean nowPaused) {
        paused = nowPaused;
    }

    long now(long globalMillis) {
        return (long) (globalMillis * clockRate);
    }

    void start(long globalMillis) {
        starts++;
        ReplicaSettings settings = new ReplicaSettings(
                "group",
                identity().toString(),
                ELECTION_TIMEOUT_MILLIS,
                HEARTBEAT_MILLIS,
                LEASE_MARGIN_MILLIS,
                MAX_BATCH_ENTRIES,
                Long.MAX_VALUE,
                vm.hashCode() * 31L + starts);
        replica = new Replica(settings, new PersistedLog(disk, diskSnapshot, diskEntries), now(globalMillis));
        state = diskSnapshot.getState().toStringUtf8();
        appliedIndex = diskSnapshot.getIndex();
        paused = false;
    }

    void crash() {
        replica = null;
        proposed.clear();
        paused = false;
    }

    void loseDisk() {
        crash();
        generation++;
        disk = HardState.getDefaultInstance();
        diskSnapshot = first;
        diskEntries = new ArrayList<>();
    }

    void propose(String command, long globalMillis) {
        long index = replica.propose(ByteString.copyFromUtf8(command), now(globalMillis));
        if (index > 0) {
            LogEntry entry = LogEntry.newBuilder()
                    .setTerm(replica.term())
                    .setData(ByteString.copyFromUtf8(command))
                    .build();
            proposed.put(index, entry);
        }
    }

    /** Does what a host does after each event, or only a part of it. */
    void flush(CrashPoint crashPoint) {
        boolean more = true;
        while (more) {
            ReplicaOutput output = replica.drain();
            output.beforeSync().forEach(network);
            if (crashPoint == CrashPoint.BEFORE_SYNC) {
                crash();
                return;
            }
            write(output);
            if (crashPoint == CrashPoint.AFTER_SYNC) {
                crash();
                return;
            }
            output.afterSync().forEach(network);
            replica.persisted(replica.lastIndex());
            output.committed().forEach(this::apply);
            more = output.needsSync() || !output.committed().isEmpty();
        }
    }

    void compact() {
        if (appliedIndex <= diskSnapshot.getIndex()) {
            return;
        }
        LogSnapshot taken = LogSnapshot.newBuilder()
                .setIndex(appliedIndex)
                .setTerm(replica.termAt(appliedIndex))
                .setMembership(replica.membershipAt(appliedIndex))
                .setState(ByteString.copyFromUtf8(state))
                .build();
        diskSnapshot = taken;
        diskEntries = new ArrayList<>(replica.entriesAfter(appliedIndex));
        replica.compact(taken, 2);
    }

    private void write(ReplicaOutput output) {
        output.hardState().ifPresent(changed -> disk = changed);
        Optional<LogSnapshot> installed = output.installed();
        if (installed.isPresent()) {
            diskSnapshot = installed.get();
            diskEntries = new ArrayList<>();
            state = diskSnapshot.getState().toStringUtf8();
            appliedIndex = diskSnapshot.getIndex();
        }
        for (LogEntry entry : output.appended()) {
            diskEntries.removeIf(held -> held.getIndex() >= entry.getIndex());
            diskEntries.add(entry);
        }
    }

    private void apply(LogEntry entry) {
        appliedIndex = entry.getIndex();
        if (entry.getKind() == LogEntry.Kind.COMMAND) {
            state = state + entry.getData().toStringUtf8();
        }
        oracle.applied(entry, state);
        LogEntry own = proposed.remove(entry.getIndex());
        if (own != null && own.getTerm() == entry.getTerm()) {
            oracle.acknowledged(entry.getData().toStringUtf8());
        }
    }
}
