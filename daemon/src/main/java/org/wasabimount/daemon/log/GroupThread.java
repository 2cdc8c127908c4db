package org.wasabimount.daemon.log;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.wasabimount.core.Clock;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.log.Replica;
import org.wasabimount.core.log.ReplicaOutput;
import org.wasabimount.core.log.ReplicaSettings;
import org.wasabimount.daemon.ring.TaskRing;
import org.wasabimount.protocol.cell.Reply;
import org.wasabimount.protocol.log.HardState;
import org.wasabimount.protocol.log.LogEntry;
import org.wasabimount.protocol.log.LogMessage;
import org.wasabimount.protocol.log.LogSnapshot;
import org.wasabimount.protocol.log.Membership;

import com.google.protobuf.ByteString;

/**
 * Drives one replica and its state machine on a dedicated thread that reads tasks from a bounded ring buffer.
 *
 * <p>Group commit: all tasks that arrive during a sync are handled in one batch after it.
 */
public final class GroupThread {

    private static final System.Logger LOG = System.getLogger("wasabimount.log");
    private static final int RING_SLOTS = 4_096;

    /** Longest time between two batches, in milliseconds: how old the state that other threads read may be. */
    private static final long MAX_IDLE_MILLIS = 1_000;

    private static final int SNAPSHOT_INTERVAL_ENTRIES = 8_192;

    /** Size of the applied commands after which a snapshot is taken; a small part of a control node's heap. */
    private static final long SNAPSHOT_INTERVAL_BYTES = 8 << 20;

    private static final int RETAINED_ENTRIES = 1_024;
    private static final long RETAINED_BYTES = 2 << 20;

    /** Interval between attempts to write a log that could not be written, in milliseconds; less than an election. */
    private static final long WRITE_RETRY_MILLIS = 200;

    /** Time after which a snapshot that could not be written is taken again, in milliseconds. */
    private static final long SNAPSHOT_RETRY_MILLIS = 5_000;

    private final String group;
    private final Clock clock;
    private final LogStore store;
    private final Replica replica;
    private final StateMachine stateMachine;
    private final Consumer<LogMessage> network;
    private final Consumer<IOException> fatal;
    private final TaskRing ring;
    private final TreeMap<Long, Proposal> proposals = new TreeMap<>();
    private final List<Runnable> afterFlush = new ArrayList<>();
    private volatile Runnable leaderListener = () -> {};
    private long maxLeaderIdleMillis = MAX_IDLE_MILLIS;
    private HardState hardState;
    private LogSnapshot lastSnapshot;
    private long appliedIndex;

    /** Size of the commands applied since the last snapshot, in bytes. */
    private volatile long appliedBytes;

    private volatile String leader = "";
    private volatile boolean leading;
    private volatile boolean caughtUp;
    private volatile long syncCount;
    private volatile long writeFailureCount;

    /** The output whose data could not be written; nothing is sent or applied until it is. */
    private ReplicaOutput unwritten;

    private long failingSinceMillis;
    private long writeRetryMillis;
    private long snapshotDueMillis = Long.MIN_VALUE;
    private volatile Membership membership = Membership.getDefaultInstance();
    private volatile long commitIndex;

    /** Performs the work of the replica and of the leader that is due when no task arrives. */
    private final class Idle implements TaskRing.Idler {

        @Override
        public long maxWaitMillis() {
            long nowMillis = clock.millis();
            if (unwritten != null) {
                return Math.max(1, writeRetryMillis - nowMillis);
            }
            long replicaDueMillis = Math.max(1, replica.tickDueMillis() - nowMillis);
            return Math.min(
                    replicaDueMillis, replica.role() == Replica.Role.LEADER ? maxLeaderIdleMillis : MAX_IDLE_MILLIS);
        }

        @Override
        public void waited() {
            handle(() -> {}, true);
        }
    }

    private record Proposal(long term, CompletableFuture<Reply> reply) {}

    /**
     * Recovers the replica; {@link #start} starts the thread.
     *
     * @param settings the replica's settings
     * @param initialState the state of the group before its first log entry
     * @param store the group's log
     * @param stateMachine the group's state machine
     * @param network sends messages to other replicas; must not block
     * @param fatal called when the group can't continue; the VM must stop
     * @param clock the monotonic clock
     * @throws IOException if the log cannot be recovered
     */
    public GroupThread(
            ReplicaSettings settings,
            LogSnapshot initialState,
            LogStore store,
            StateMachine stateMachine,
            Consumer<LogMessage> network,
            Consumer<IOException> fatal,
            Clock clock)
            throws IOException {
        this.group = settings.group();
        this.clock = clock;
        this.store = store;
        this.stateMachine = stateMachine;
        this.network = network;
        this.fatal = fatal;
        var persisted = store.recover(initialState);
        this.hardState = persisted.hardState();
        this.lastSnapshot = persisted.snapshot();
        this.appliedIndex = lastSnapshot.getIndex();
        stateMachine.restore(lastSnapshot.getState());
        this.replica = new Replica(settings, persisted, clock.millis());
        this.ring = new TaskRing("log-" + group, RING_SLOTS, this::handle, new Idle());
    }

    /** Starts the thread. */
    public void start() {
        ring.start();
    }

    /** Stops the thread once all tasks in the ring have run. */
    public void stop() {
        ring.stop();
    }

    /**
     * Runs a task on the group's thread.
     *
     * @param task the task
     * @return false if the ring is full and the task will not run
     */
    public boolean submit(Runnable task) {
        return ring.submit(task);
    }

    /**
     * Receives a message from another replica. It is dropped if the ring is full; replicas tolerate lost messages.
     *
     * @param message the message
     */
    public void receive(LogMessage message) {
        submit(() -> replica.receive(message, clock.millis()));
    }

    /**
     * Appends a command. Called on the group's thread only.
     *
     * @param command the command's bytes
     * @return completed with the state machine's reply once the command is applied, or with a refusal
     */
    public CompletableFuture<Reply> propose(ByteString command) {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        long index = replica.propose(command, clock.millis());
        if (index < 0) {
            reply.complete(notLeader());
        } else {
            proposals.put(index, new Proposal(replica.term(), reply));
        }
        return reply;
    }

    /**
     * Registers a task to run on the group's thread after each batch, once all committed entries are applied. Called
     * before {@link #start}.
     *
     * @param task the task
     * @param maxIntervalMillis the longest time between two runs while this replica leads, in milliseconds
     */
    public void afterEachFlush(Runnable task, long maxIntervalMillis) {
        afterFlush.add(task);
        maxLeaderIdleMillis = Math.min(maxLeaderIdleMillis, maxIntervalMillis);
    }

    /**
     * Sets the listener that is called whenever another leader, or none, is known.
     *
     * @param listener called on the group's thread; must not block
     */
    public void setLeaderListener(Runnable listener) {
        leaderListener = listener;
    }

    /**
     * Returns a refusal that names the leader if it is known.
     *
     * @return a reply with {@link ResultCode#NOT_LEADER} and the leader's identity, or an empty string, as detail
     */
    public Reply notLeader() {
        return Reply.newBuilder()
                .setResultCode(ResultCode.NOT_LEADER.number())
                .setDetail(replica.role() == Replica.Role.LEADER ? "" : replica.leader())
                .build();
    }

    /**
     * Returns the replica. Used on the group's thread only.
     *
     * @return the replica
     */
    public Replica replica() {
        return replica;
    }

    /**
     * Returns the leader's identity as of the last batch. May be called from any thread.
     *
     * @return the identity, or an empty string if no leader is known
     */
    public String leader() {
        return leader;
    }

    /**
     * Returns whether this replica was the leader as of the last batch. May be called from any thread.
     *
     * @return true for the leader
     */
    public boolean leading() {
        return leading;
    }

    /**
     * Returns whether the state has ever been as recent as the leader's. May be called from any thread.
     *
     * @return true from then on
     */
    public boolean caughtUp() {
        return caughtUp;
    }

    /**
     * Returns the current membership as of the last batch. May be called from any thread.
     *
     * @return the voters and learners
     */
    public Membership membership() {
        return membership;
    }

    /**
     * Returns the commit index as of the last batch. May be called from any thread.
     *
     * @return the highest index known to be stored on a majority
     */
    public long commitIndex() {
        return commitIndex;
    }

    /**
     * Returns how many batches were synced to the log.
     *
     * @return the count since the node started
     */
    public long syncCount() {
        return syncCount;
    }

    /**
     * Returns how many writes to the log have failed. May be called from any thread.
     *
     * @return the count since the node started
     */
    public long writeFailureCount() {
        return writeFailureCount;
    }

    /**
     * Returns the size of the commands that were applied since the last snapshot. May be called from any thread.
     *
     * @return the size in bytes
     */
    public long appliedBytes() {
        return appliedBytes;
    }

    private void handle(Runnable task, boolean endOfBatch) {
        try {
            task.run();
            if (endOfBatch && (unwritten == null || writeAgain())) {
                replica.tick(clock.millis());
                boolean flushed = flush();
                if (flushed) {
                    afterFlush.forEach(Runnable::run);
                }
                if (flushed && replica.hasOutput()) {
                    flush();
                } else {
                    updateRole();
                }
            }
        } catch (IOException e) {
            fatal.accept(e);
        } catch (RuntimeException | Error e) {
            fatal.accept(new IOException("group " + group + " failed", e));
        }
    }

    /** Carries out the replica's output; returns false if the log could not be written. */
    private boolean flush() throws IOException {
        boolean more = true;
        while (more) {
            ReplicaOutput output = replica.drain();
            output.messagesBeforeSync().forEach(network);
            if (output.needsSync() && !write(output)) {
                updateRole();
                return false;
            }
            output.messagesAfterSync().forEach(network);
            replica.persisted(replica.lastIndex());
            apply(output.committedEntries());
            more = output.needsSync() || !output.committedEntries().isEmpty();
        }
        updateRole();
        compactIfDue();
        return true;
    }

    /**
     * Writes an output's data. After a failure the replica neither ticks nor sends, as if it were cut off, so that the
     * others elect another leader; it still receives messages and learns who leads.
     */
    private boolean write(ReplicaOutput output) {
        try {
            persist(output);
            return true;
        } catch (IOException e) {
            writeFailureCount++;
            if (unwritten == null) {
                failingSinceMillis = clock.millis();
                LOG.log(System.Logger.Level.WARNING, "LOG group " + group + " can't be written, trying again", e);
            }
            unwritten = output;
            writeRetryMillis = clock.millis() + WRITE_RETRY_MILLIS;
            return false;
        }
    }

    /**
     * Writes the data that could not be written, if an attempt is due; returns whether it is written. The messages of
     * that output are dropped: what they say may be out of date.
     */
    private boolean writeAgain() throws IOException {
        if (clock.millis() < writeRetryMillis || !write(unwritten)) {
            updateRole();
            return false;
        }
        ReplicaOutput written = unwritten;
        unwritten = null;
        LOG.log(
                System.Logger.Level.INFO,
                "LOG group {0} is written again after {1} ms",
                group,
                Long.toString(clock.millis() - failingSinceMillis));
        apply(written.committedEntries());
        return true;
    }

    private void persist(ReplicaOutput output) throws IOException {
        output.hardState().ifPresent(changed -> hardState = changed);
        if (output.installedSnapshot().isPresent()) {
            LogSnapshot installed = output.installedSnapshot().get();
            store.replace(installed, hardState, output.appendedEntries());
            lastSnapshot = installed;
            stateMachine.restore(installed.getState());
            appliedIndex = installed.getIndex();
            appliedBytes = 0;
        } else {
            store.append(output.hardState(), output.appendedEntries());
        }
        syncCount++;
    }

    private void apply(List<LogEntry> committedEntries) throws IOException {
        for (LogEntry entry : committedEntries) {
            Reply reply = Reply.getDefaultInstance();
            if (entry.getKind() == LogEntry.Kind.COMMAND) {
                reply = stateMachine.apply(entry.getData());
            }
            appliedIndex = entry.getIndex();
            appliedBytes += entry.getSerializedSize();
            completeProposals(entry, reply);
        }
    }

    private void completeProposals(LogEntry entry, Reply reply) {
        Map<Long, Proposal> settled = proposals.headMap(entry.getIndex(), true);
        settled.forEach((index, proposal) -> {
            boolean own = index == entry.getIndex() && proposal.term() == entry.getTerm();
            proposal.reply().complete(own ? reply : refusal(ResultCode.COMMIT_UNKNOWN));
        });
        settled.clear();
    }

    private void updateRole() {
        boolean nowLeading = replica.role() == Replica.Role.LEADER;
        if (nowLeading != leading) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "LOG group {0} {1} in term {2}",
                    group,
                    nowLeading ? "leads" : "follows",
                    Long.toString(replica.term()));
        }
        if (leading && !nowLeading) {
            proposals.values().forEach(proposal -> proposal.reply().complete(refusal(ResultCode.COMMIT_UNKNOWN)));
            proposals.clear();
        }
        leading = nowLeading;
        membership = replica.membership();
        commitIndex = replica.commitIndex();
        boolean leaderChanged = !replica.leader().equals(leader);
        leader = replica.leader();
        boolean upToDate = nowLeading ? replica.mayDecide(clock.millis()) : replica.caughtUpWithLeader();
        caughtUp = caughtUp || upToDate;
        if (leaderChanged) {
            leaderListener.run();
        }
    }

    private void compactIfDue() {
        boolean grown = appliedIndex - lastSnapshot.getIndex() >= SNAPSHOT_INTERVAL_ENTRIES
                || appliedBytes >= SNAPSHOT_INTERVAL_BYTES;
        if (!grown || clock.millis() < snapshotDueMillis) {
            return;
        }
        LogSnapshot newSnapshot = LogSnapshot.newBuilder()
                .setIndex(appliedIndex)
                .setTerm(replica.termAt(appliedIndex))
                .setMembership(replica.membershipAt(appliedIndex))
                .setState(stateMachine.snapshot())
                .build();
        try {
            store.replace(newSnapshot, hardState, replica.entriesAfter(appliedIndex));
        } catch (IOException e) {
            writeFailureCount++;
            snapshotDueMillis = clock.millis() + SNAPSHOT_RETRY_MILLIS;
            LOG.log(System.Logger.Level.WARNING, "LOG group " + group + " keeps its log: no snapshot was written", e);
            return;
        }
        replica.compact(newSnapshot, RETAINED_ENTRIES, RETAINED_BYTES);
        lastSnapshot = newSnapshot;
        appliedBytes = 0;
    }

    private static Reply refusal(ResultCode code) {
        return Reply.newBuilder()
                .setResultCode(code.number())
                .setDetail("the leader changed")
                .build();
    }
}
