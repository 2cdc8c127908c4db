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

/** The replicas that one daemon hosts: the cell's, and those of the ledgers that it votes in. */
public final class DaemonGroups {

    /** The name of the cell's group. */
    public static final String CELL = "cell";

    private static final System.Logger LOG = System.getLogger("wasabimount.member");
    private static final long RETRY_AFTER_MILLIS = 200;

    private final DaemonSettings settings;
    private final ReplicaIdentity identity;
    private final Clock clock;
    private final Clock wallClock;
    private final Map<String, GroupThread> groups = new LinkedHashMap<>();
    private final Map<String, Function<Operation, CompletableFuture<Reply>>> duties = new LinkedHashMap<>();
    private final Consumer<LogMessage> network;
    private final Consumer<IOException> fatal;
    private CellLeader cellLeader;
    private volatile Directory directory = Directory.EMPTY;
    private volatile Consumer<Directory> directoryListener = changed -> {};

    DaemonGroups(
            DaemonSettings settings,
            Clock clock,
            Clock wallClock,
            Consumer<LogMessage> network,
            Consumer<IOException> fatal)
            throws IOException {
        this.settings = settings;
        this.clock = clock;
        this.wallClock = wallClock;
        this.network = network;
        this.fatal = fatal;
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

    void onDirectory(Consumer<Directory> listener) {
        directoryListener = listener;
        listener.accept(directory);
    }

    boolean caughtUp() {
        return groups.get(CELL).caughtUp();
    }

    void start() {
        groups.values().forEach(GroupThread::start);
    }

    void tick() {
        groups.values().forEach(GroupThread::tick);
    }

    /** Adds a replica that was heard of to the groups that this VM leads, if it belongs there. */
    void replicaHeard(ReplicaIdentity replica) {
        groups.forEach((name, group) -> {
            boolean mayVote = votersOf(name).contains(replica.vm());
            if ((mayVote || name.equals(CELL)) && group.leading()) {
                group.submit(() -> admit(group.replica(), replica, mayVote));
            }
        });
    }

    private void admit(Replica leader, ReplicaIdentity replica, boolean mayVote) {
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

    /** Carries an operation out on the group's thread, or returns nothing if the group has no replica here. */
    Optional<CompletableFuture<Reply>> execute(Operation operation) {
        GroupThread group = groups.get(operation.getGroup());
        if (group == null) {
            return Optional.empty();
        }
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        boolean taken = group.submit(
                () -> duties.get(operation.getGroup()).apply(operation).thenAccept(reply::complete));
        if (!taken) {
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

    /** Hands leadership of every group to another replica. */
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
        duties.put(CELL, operation -> switch (operation.getBodyCase()) {
            case CELL_COMMAND -> cellLeader.write(operation.getCellCommand());
            case CELL_QUERY -> cellLeader.query(operation.getCellQuery());
            case WORKER_HEARTBEAT -> cellLeader.heartbeat(operation.getWorkerHeartbeat());
            default -> CompletableFuture.completedFuture(group.notLeader());
        });
    }

    private void hostLedger(String name, List<VmId> voters, DataFolder folder) throws IOException {
        GroupThread group = host(name, voters, Optional.of(folder), new LedgerStateMachine());
        LedgerLeader ledgerLeader = new LedgerLeader(group, clock, wallClock);
        duties.put(name, operation -> ledgerLeader.write(operation.getLedgerCommand()));
    }

    private GroupThread host(String name, List<VmId> voters, Optional<DataFolder> folder, StateMachine machine)
            throws IOException {
        LogStore store = folder.isPresent() ? folder.get().store(name) : new MemoryLogStore();
        ReplicaSettings replica = ReplicaSettings.of(
                name, identity.toString(), settings.limits().electionTimeoutMillis(), seed() + name.hashCode());
        GroupThread group = new GroupThread(replica, first(voters), store, machine, network, fatal, clock);
        groups.put(name, group);
        return group;
    }

    /** Returns the state of a group when the cell is made: no data, and the first voters. */
    private static LogSnapshot first(List<VmId> voters) {
        Membership.Builder membership = Membership.newBuilder();
        voters.forEach(
                vm -> membership.addVoters(new ReplicaIdentity(vm, ReplicaIdentity.FIRST_GENERATION).toString()));
        return LogSnapshot.newBuilder().setMembership(membership).build();
    }

    private long seed() {
        return identity.hashCode();
    }
}
