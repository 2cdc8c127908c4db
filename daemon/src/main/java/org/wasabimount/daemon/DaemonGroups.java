package org.wasabimount.daemon;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import org.wasabimount.core.Clock;
import org.wasabimount.core.FailureDomainId;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.VmId;
import org.wasabimount.core.log.MembershipPlan;
import org.wasabimount.core.log.Replica;
import org.wasabimount.core.log.ReplicaIdentity;
import org.wasabimount.core.log.ReplicaSettings;
import org.wasabimount.daemon.cell.CellLeader;
import org.wasabimount.daemon.cell.CellStateMachine;
import org.wasabimount.daemon.cell.Directory;
import org.wasabimount.daemon.cell.LedgerLeader;
import org.wasabimount.daemon.cell.LedgerStateMachine;
import org.wasabimount.daemon.log.DataFolder;
import org.wasabimount.daemon.log.GroupThread;
import org.wasabimount.daemon.log.LogStore;
import org.wasabimount.daemon.log.MemoryLogStore;
import org.wasabimount.daemon.log.StateMachine;
import org.wasabimount.daemon.routing.UnrepeatableCalls;
import org.wasabimount.daemon.settings.DaemonSettings;
import org.wasabimount.protocol.cell.Operation;
import org.wasabimount.protocol.cell.Reply;
import org.wasabimount.protocol.log.LogMessage;
import org.wasabimount.protocol.log.LogSnapshot;
import org.wasabimount.protocol.log.Membership;

/** The replicas that one daemon hosts: that of the cell, and those of the ledgers in which this VM is a voter. */
public final class DaemonGroups {

    /** The name of the group that replicates the cell's state. */
    public static final String CELL = "cell";

    private static final System.Logger LOG = System.getLogger("wasabimount.member");
    private static final long RETRY_AFTER_MILLIS = 200;

    private final DaemonSettings settings;
    private final ReplicaIdentity identity;
    private final Clock clock;
    private final Clock wallClock;
    private final Map<String, GroupThread> groups = new LinkedHashMap<>();
    private final Map<String, Function<Operation, CompletableFuture<Reply>>> operationHandlers = new LinkedHashMap<>();
    private final Consumer<LogMessage> messageSender;
    private final Consumer<IOException> fatalErrorHandler;
    private CellLeader cellLeader;
    private volatile Directory directory = Directory.EMPTY;
    private volatile Consumer<Directory> directoryListener = changed -> {};

    DaemonGroups(
            DaemonSettings settings,
            Clock clock,
            Clock wallClock,
            Consumer<LogMessage> messageSender,
            Consumer<IOException> fatalErrorHandler)
            throws IOException {
        this.settings = settings;
        this.clock = clock;
        this.wallClock = wallClock;
        this.messageSender = messageSender;
        this.fatalErrorHandler = fatalErrorHandler;
        Optional<DataFolder> folder = settings.dataFolder().map(DataFolder::new);
        this.identity = folder.isPresent()
                ? folder.get().identity(settings.vm())
                : new ReplicaIdentity(settings.vm(), UUID.randomUUID().toString());
        hostCell(folder);
        for (Map.Entry<FailureDomainId, List<VmId>> ledger :
                settings.ledgerVoters().entrySet()) {
            if (ledger.getValue().contains(settings.vm()) && folder.isPresent()) {
                hostLedger(UnrepeatableCalls.group(ledger.getKey()), ledger.getValue(), folder.get());
            }
        }
    }

    ReplicaIdentity identity() {
        return identity;
    }

    Map<String, GroupThread> all() {
        return groups;
    }

    CellLeader cellLeader() {
        return cellLeader;
    }

    Supplier<Directory> directory() {
        return () -> directory;
    }

    void setDirectoryListener(Consumer<Directory> listener) {
        directoryListener = listener;
        listener.accept(directory);
    }

    boolean caughtUp() {
        return groups.get(CELL).caughtUp();
    }

    void start() {
        groups.values().forEach(GroupThread::start);
    }

    /** Adds a discovered replica to those groups that this VM leads and that the replica is to join. */
    void replicaDiscovered(ReplicaIdentity replica) {
        groups.forEach((name, group) -> {
            boolean mayVote = votersOf(name).contains(replica.vm());
            if ((mayVote || name.equals(CELL)) && group.leading()) {
                group.submit(() -> addToMembership(group.replica(), replica, mayVote));
            }
        });
    }

    private void addToMembership(Replica leader, ReplicaIdentity replica, boolean mayVote) {
        MembershipPlan.next(leader, replica, mayVote)
                .filter(change -> leader.changeMembership(change, clock.millis()) > 0)
                .ifPresent(change -> LOG.log(
                        System.Logger.Level.INFO,
                        "MEMBER voters {0}, learners {1}",
                        change.getVotersList(),
                        change.getLearnersList()));
    }

    void receive(LogMessage message) {
        GroupThread group = groups.get(message.getGroup());
        if (group != null) {
            group.receive(message);
        }
    }

    /** Executes an operation on its group's thread; returns an empty result if the group has no replica here. */
    Optional<CompletableFuture<Reply>> execute(Operation operation) {
        GroupThread group = groups.get(operation.getGroup());
        if (group == null) {
            return Optional.empty();
        }
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        boolean accepted = group.submit(() ->
                operationHandlers.get(operation.getGroup()).apply(operation).thenAccept(reply::complete));
        if (!accepted) {
            reply.complete(Reply.newBuilder()
                    .setResultCode(ResultCode.QUEUE_FULL.number())
                    .setDetail("the leader is overloaded")
                    .setRetryAfterMillis(RETRY_AFTER_MILLIS)
                    .build());
        }
        return Optional.of(reply);
    }

    String knownLeader(String group) {
        GroupThread hosted = groups.get(group);
        return hosted == null ? "" : hosted.leader();
    }

    List<VmId> votersOf(String group) {
        return settings.ledgerVoters().entrySet().stream()
                .filter(ledger -> UnrepeatableCalls.group(ledger.getKey()).equals(group))
                .map(Map.Entry::getValue)
                .findFirst()
                .orElse(settings.cellVoters());
    }

    /** Starts to transfer the leadership of every group to another replica. */
    void transferLeaderships() {
        groups.values().forEach(group -> group.submit(() -> group.replica().transferLeadership(clock.millis())));
    }

    boolean leadsAny() {
        return groups.values().stream().anyMatch(GroupThread::leading);
    }

    void stop() {
        groups.values().forEach(GroupThread::stop);
    }

    private void hostCell(Optional<DataFolder> folder) throws IOException {
        CellStateMachine machine = new CellStateMachine(changed -> {
            directory = changed;
            directoryListener.accept(changed);
        });
        GroupThread group = host(CELL, settings.cellVoters(), folder, machine);
        cellLeader = new CellLeader(group, machine, clock, wallClock, seed());
        operationHandlers.put(CELL, operation -> switch (operation.getBodyCase()) {
            case CELL_COMMAND -> cellLeader.write(operation.getCellCommand());
            case CELL_QUERY -> cellLeader.query(operation.getCellQuery());
            case WORKER_HEARTBEAT -> cellLeader.heartbeat(operation.getWorkerHeartbeat());
            default -> CompletableFuture.completedFuture(group.notLeader());
        });
    }

    private void hostLedger(String name, List<VmId> voters, DataFolder folder) throws IOException {
        GroupThread group = host(name, voters, Optional.of(folder), new LedgerStateMachine());
        LedgerLeader ledgerLeader = new LedgerLeader(group, clock, wallClock);
        operationHandlers.put(name, operation -> ledgerLeader.write(operation.getLedgerCommand()));
    }

    private GroupThread host(String name, List<VmId> voters, Optional<DataFolder> folder, StateMachine machine)
            throws IOException {
        LogStore store = folder.isPresent() ? folder.get().store(name) : new MemoryLogStore();
        ReplicaSettings replica = ReplicaSettings.of(
                name, identity.toString(), settings.limits().electionTimeoutMillis(), seed() + name.hashCode());
        GroupThread group =
                new GroupThread(replica, initialState(voters), store, machine, messageSender, fatalErrorHandler, clock);
        groups.put(name, group);
        return group;
    }

    /** Returns the initial state of a group in a new cell: no data, and the first voters. */
    private static LogSnapshot initialState(List<VmId> voters) {
        Membership.Builder membership = Membership.newBuilder();
        voters.forEach(
                vm -> membership.addVoters(new ReplicaIdentity(vm, ReplicaIdentity.FIRST_GENERATION).toString()));
        return LogSnapshot.newBuilder().setMembership(membership).build();
    }

    private long seed() {
        return identity.hashCode();
    }
}
