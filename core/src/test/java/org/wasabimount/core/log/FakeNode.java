package org.wasabimount.core.log;

import static org.testng.Assert.assertEquals;

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

/** A replica and its host with an in-memory disk, which can crash between events and before or after a sync. */
final class FakeNode {

    /** The point in {@link #flush} at which the host crashes. */
    enum CrashPoint {
        NONE,
        BEFORE_SYNC,
        AFTER_SYNC
    }

    private static final long ELECTION_TIMEOUT_MILLIS = 400;
    private static final long HEARTBEAT_MILLIS = 80;
    private static final long LEASE_MARGIN_MILLIS = 40;
    private static final int MAX_BATCH_ENTRIES = 1;

    private static final ReplicaOutput NO_OUTPUT =
            new ReplicaOutput(List.of(), Optional.empty(), Optional.empty(), List.of(), List.of(), List.of());

    private final VmId vm;
    private final double clockRate;
    private final LogSnapshot initialSnapshot;
    private final Consumer<LogMessage> network;
    private final Oracle oracle;
    private final Map<Long, LogEntry> proposals = new HashMap<>();
    private int generation;
    private int starts;
    private Replica replica;
    private HardState diskHardState = HardState.getDefaultInstance();
    private LogSnapshot diskSnapshot;
    private List<LogEntry> diskEntries = new ArrayList<>();
    private String state = "";
    private long appliedIndex;
    private boolean paused;

    FakeNode(VmId vm, double clockRate, LogSnapshot initialSnapshot, Consumer<LogMessage> network, Oracle oracle) {
        this.vm = vm;
        this.clockRate = clockRate;
        this.initialSnapshot = initialSnapshot;
        this.diskSnapshot = initialSnapshot;
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

    boolean isUp() {
        return replica != null;
    }

    boolean isRunning() {
        return isUp() && !paused;
    }

    void pause(boolean newPaused) {
        paused = newPaused;
    }

    long localMillis(long globalMillis) {
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
        replica = new Replica(
                settings, new PersistedLog(diskHardState, diskSnapshot, diskEntries), localMillis(globalMillis));
        state = diskSnapshot.getState().toStringUtf8();
        appliedIndex = diskSnapshot.getIndex();
        paused = false;
    }

    void crash() {
        replica = null;
        proposals.clear();
        paused = false;
    }

    void loseDisk() {
        crash();
        generation++;
        diskHardState = HardState.getDefaultInstance();
        diskSnapshot = initialSnapshot;
        diskEntries = new ArrayList<>();
    }

    /** Ticks the replica, and checks that it does nothing before it said that a tick is due. */
    void tick(long globalMillis) {
        long nowMillis = localMillis(globalMillis);
        boolean due = nowMillis >= replica.tickDueMillis();
        boolean hadOutput = replica.hasOutput();
        Replica.Role role = replica.role();
        replica.tick(nowMillis);
        if (!due) {
            assertEquals(replica.hasOutput(), hadOutput, "a tick that was not due made work");
            assertEquals(replica.role(), role, "a tick that was not due changed the role");
        }
    }

    void propose(String command, long globalMillis) {
        long index = replica.propose(ByteString.copyFromUtf8(command), localMillis(globalMillis));
        if (index > 0) {
            LogEntry entry = LogEntry.newBuilder()
                    .setTerm(replica.term())
                    .setData(ByteString.copyFromUtf8(command))
                    .build();
            proposals.put(index, entry);
        }
    }

    /** Performs the work that a replica has for its host after an event, up to a crash point. */
    void flush(CrashPoint crashPoint) {
        boolean moreOutput = true;
        while (moreOutput) {
            boolean hadOutput = replica.hasOutput();
            ReplicaOutput output = replica.drain();
            assertEquals(hadOutput, !output.equals(NO_OUTPUT), "hasOutput differs from what is drained");
            output.messagesBeforeSync().forEach(network);
            if (crashPoint == CrashPoint.BEFORE_SYNC) {
                crash();
                return;
            }
            write(output);
            if (crashPoint == CrashPoint.AFTER_SYNC) {
                crash();
                return;
            }
            output.messagesAfterSync().forEach(network);
            replica.persisted(replica.lastIndex());
            output.committedEntries().forEach(this::apply);
            moreOutput = output.needsSync() || !output.committedEntries().isEmpty();
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
        replica.compact(taken, 2, Long.MAX_VALUE);
    }

    private void write(ReplicaOutput output) {
        output.hardState().ifPresent(changed -> diskHardState = changed);
        Optional<LogSnapshot> installedSnapshot = output.installedSnapshot();
        if (installedSnapshot.isPresent()) {
            diskSnapshot = installedSnapshot.get();
            diskEntries = new ArrayList<>();
            state = diskSnapshot.getState().toStringUtf8();
            appliedIndex = diskSnapshot.getIndex();
        }
        for (LogEntry entry : output.appendedEntries()) {
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
        LogEntry proposal = proposals.remove(entry.getIndex());
        if (proposal != null && proposal.getTerm() == entry.getTerm()) {
            oracle.acknowledged(entry.getData().toStringUtf8());
        }
    }
}
