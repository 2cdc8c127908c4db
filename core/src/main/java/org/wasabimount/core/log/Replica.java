package org.wasabimount.core.log;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;

import org.wasabimount.protocol.log.AppendReply;
import org.wasabimount.protocol.log.AppendRequest;
import org.wasabimount.protocol.log.HardState;
import org.wasabimount.protocol.log.LogEntry;
import org.wasabimount.protocol.log.LogMessage;
import org.wasabimount.protocol.log.LogSnapshot;
import org.wasabimount.protocol.log.Membership;
import org.wasabimount.protocol.log.SnapshotRequest;
import org.wasabimount.protocol.log.TimeoutNow;
import org.wasabimount.protocol.log.VoteReply;
import org.wasabimount.protocol.log.VoteRequest;

import com.google.protobuf.ByteString;

/**
 * One replica of a replicated log: a deterministic Raft state machine with pre-vote, leader leases and learners.
 *
 * <p>A replica does no I/O. Its host calls {@link #receive}, {@link #tick} and {@link #propose}, then performs the work
 * returned by {@link #drain} in the order of its components, and reports the completed sync to {@link #persisted}.
 */
public final class Replica {

    private static final System.Logger LOG = System.getLogger("wasabimount.log");

    private static final int MAX_IN_FLIGHT = 16;
    private static final int SNAPSHOT_RESEND_HEARTBEATS = 25;

    /**
     * Maximum random part of the election timeout, as a fraction of the shortest timeout. It spans many round trips and
     * syncs, so that two replicas seldom start an election at the same time.
     */
    private static final double ELECTION_TIMEOUT_SPREAD = 0.4;

    private final ReplicaSettings settings;
    private final Random random;
    private final EntryLog log;
    private final MembershipHistory memberships;
    private final Map<String, PeerProgress> peers = new HashMap<>();
    private final Set<String> grantedVotes = new HashSet<>();
    private final HeartbeatRounds rounds = new HeartbeatRounds();

    private LogSnapshot snapshot;
    private Role role = Role.FOLLOWER;
    private long term;
    private String votedFor;
    private String leader = "";
    private long commitIndex;
    private long appliedIndex;
    private long persistedIndex;
    private long leaderCommitIndex;
    private long lastLeaderContactMillis;
    private long electionDueMillis;
    private long heartbeatDueMillis;
    private long leaseUntilMillis;
    private long leaderSinceMillis;
    private boolean transferringLeadership;
    private String successor = "";
    private boolean successorAsked;
    private long transferEndMillis;
    private boolean hardStateChanged;
    private LogSnapshot installedSnapshot;
    private List<LogMessage> messagesBeforeSync = new ArrayList<>();
    private List<LogMessage> messagesAfterSync = new ArrayList<>();

    /** The Raft role of a replica in its group. */
    public enum Role {
        /** Replicates the entries of a leader. */
        FOLLOWER,
        /** Asks the voters whether it could win an election, without starting a new term. */
        PRE_CANDIDATE,
        /** Requests votes in a new term. */
        CANDIDATE,
        /** Appends entries to the log and replicates them. */
        LEADER
    }

    /**
     * Restarts a replica from its persistent state.
     *
     * @param settings the fixed parameters
     * @param persisted the state that was synced before the restart
     * @param nowMillis the current monotonic time
     */
    public Replica(ReplicaSettings settings, PersistedLog persisted, long nowMillis) {
        this.settings = settings;
        this.random = new Random(settings.seed());
        this.snapshot = persisted.snapshot();
        this.term = persisted.hardState().getTerm();
        this.votedFor = persisted.hardState().getVote();
        this.log = new EntryLog(
                snapshot.getIndex(),
                snapshot.getTerm(),
                persisted.entries().stream()
                        .filter(entry -> entry.getIndex() > snapshot.getIndex())
                        .toList());
        this.memberships = new MembershipHistory(snapshot);
        log.slice(log.baseIndex() + 1, log.lastIndex()).forEach(memberships::addIfMembership);
        this.commitIndex = snapshot.getIndex();
        this.appliedIndex = snapshot.getIndex();
        this.persistedIndex = log.lastIndex();
        // Just before the restart, this voter may have acknowledged a heartbeat and so extended a leader's lease.
        // It must not vote for another candidate until an election timeout has passed.
        recordLeaderContact(nowMillis);
    }

    /**
     * Returns the current role of this replica.
     *
     * @return the role
     */
    public Role role() {
        return role;
    }

    /**
     * Returns the current term.
     *
     * @return the term
     */
    public long term() {
        return term;
    }

    /**
     * Returns the identity of the leader.
     *
     * @return the leader's identity, or an empty string if no leader is known
     */
    public String leader() {
        return leader;
    }

    /**
     * Returns the highest index that is known to be committed.
     *
     * @return the commit index
     */
    public long commitIndex() {
        return commitIndex;
    }

    /**
     * Returns the highest index that {@link #drain} has returned to be applied.
     *
     * @return the applied index
     */
    public long appliedIndex() {
        return appliedIndex;
    }

    /**
     * Returns the last index of the log, committed or not.
     *
     * @return the last index
     */
    public long lastIndex() {
        return log.lastIndex();
    }

    /**
     * Returns the current membership: that of the last membership entry in the log, committed or not.
     *
     * @return the membership
     */
    public Membership membership() {
        return memberships.current();
    }

    /**
     * Returns whether the current membership is committed.
     *
     * @return false while a membership change is in progress
     */
    public boolean membershipCommitted() {
        return memberships.lastChangeIndex() <= commitIndex;
    }

    /**
     * Returns the highest index that another replica is known to have replicated.
     *
     * @param replica the other replica's identity
     * @return the last index that it has synced; zero if it is unknown or this replica is not the leader
     */
    public long matchIndex(String replica) {
        PeerProgress progress = peers.get(replica);
        return progress == null ? 0 : progress.matchIndex;
    }

    /**
     * Returns whether another replica lags behind this leader by less than an election timeout, however many entries are
     * appended in that time.
     *
     * @param replica the other replica's identity
     * @return true if it has synced what the log held when the oldest heartbeat of the last election timeout was sent
     */
    boolean lagsLessThanElectionTimeout(String replica) {
        long heartbeats = settings.electionTimeoutMillis() / settings.heartbeatMillis() - 1;
        OptionalLong lastIndex = rounds.lastIndex(rounds.current() - heartbeats);
        return lastIndex.isPresent() && matchIndex(replica) >= lastIndex.getAsLong();
    }

    /**
     * Returns whether this replica may act on its applied state without asking the other replicas: it is the leader and
     * not transferring leadership, its lease excludes another leader, and the first entry of its term has been returned
     * by {@link #drain} to be applied.
     *
     * @param nowMillis the current monotonic time
     * @return true if the leader's lease is valid and its state includes all that was committed before its term
     */
    public boolean mayDecide(long nowMillis) {
        return role == Role.LEADER && !transferringLeadership && nowMillis < leaseUntilMillis && ownTermApplied();
    }

    /**
     * Returns when this replica became leader.
     *
     * @return the monotonic time in milliseconds; undefined while this replica is not the leader
     */
    public long leaderSinceMillis() {
        return leaderSinceMillis;
    }

    /**
     * Appends a command if this replica is the leader and is not transferring leadership.
     *
     * @param command the command's bytes
     * @param nowMillis the current monotonic time
     * @return the command's index, or -1 if this replica may not append
     */
    public long propose(ByteString command, long nowMillis) {
        checkLease(nowMillis);
        if (role != Role.LEADER || transferringLeadership) {
            return -1;
        }
        return append(LogEntry.Kind.COMMAND, command);
    }

    /**
     * Appends a membership change if this replica is the leader with a valid lease, no other membership change is in
     * progress, and at most one voter is added or removed.
     *
     * @param next the membership after the change
     * @param nowMillis the current monotonic time
     * @return the entry's index, or -1 if the change is not allowed now
     */
    public long changeMembership(Membership next, long nowMillis) {
        if (!mayDecide(nowMillis) || !membershipCommitted() || !memberships.changesAtMostOneVoter(next)) {
            return -1;
        }
        return append(LogEntry.Kind.MEMBERSHIP, next.toByteString());
    }

    /**
     * Begins to transfer leadership if {@link #mayDecide} holds: to the voter that has replicated the most, among equals to
     * the one that has acknowledged the latest heartbeat, of those heard within an election timeout.
     *
     * <p>This replica appends nothing more, and asks the successor to start an election as soon as its log is complete.
     * It continues to lead if the log is not complete within an election timeout.
     *
     * @param nowMillis the current monotonic time
     * @return true if a transfer has begun
     */
    public boolean transferLeadership(long nowMillis) {
        if (!mayDecide(nowMillis)) {
            return false;
        }
        Optional<String> candidate = otherVoters()
                .filter(id -> acknowledgedLately(id, nowMillis))
                .max(Comparator.comparingLong(this::matchIndex).thenComparingLong(id -> peers.get(id).ackedRound));
        candidate.ifPresent(id -> {
            transferringLeadership = true;
            successor = id;
            transferEndMillis = nowMillis + settings.electionTimeoutMillis();
            askSuccessorIfComplete(nowMillis);
        });
        return candidate.isPresent();
    }

    private boolean acknowledgedLately(String voter, long nowMillis) {
        OptionalLong sentMillis = rounds.sentMillis(peers.get(voter).ackedRound);
        return sentMillis.isPresent() && nowMillis - sentMillis.getAsLong() < settings.electionTimeoutMillis();
    }

    private void askSuccessorIfComplete(long nowMillis) {
        if (transferringLeadership && !successorAsked && matchIndex(successor) == log.lastIndex()) {
            successorAsked = true;
            // The request may arrive at any later time, so this replica must not decide again in this term.
            leaseUntilMillis = nowMillis;
            messagesAfterSync.add(message(successor)
                    .setTimeoutNow(TimeoutNow.getDefaultInstance())
                    .build());
        }
    }

    private void endTransfer() {
        transferringLeadership = false;
        successor = "";
        successorAsked = false;
    }

    /**
     * Records that the entries of the current log up to an index are synced.
     *
     * @param index the last synced index
     */
    public void persisted(long index) {
        persistedIndex = Math.min(index, log.lastIndex());
        if (role == Role.LEADER) {
            advanceCommit();
        }
    }

    /**
     * Discards entries that a snapshot covers, except for the most recent ones, which slow followers may still need.
     *
     * @param taken a synced snapshot of the state at an applied index
     * @param maxKeptEntries the maximum number of entries up to the snapshot's index that are retained
     * @param maxKeptBytes the maximum size of those entries, in bytes
     */
    public void compact(LogSnapshot taken, long maxKeptEntries, long maxKeptBytes) {
        snapshot = taken;
        long base = log.indexBefore(taken.getIndex(), maxKeptEntries, maxKeptBytes);
        log.compactTo(base);
        memberships.compactTo(base);
    }

    /**
     * Returns the membership as of an index of the retained log.
     *
     * @param index the index
     * @return the membership
     */
    public Membership membershipAt(long index) {
        return memberships.at(index);
    }

    /**
     * Returns the term of the entry at an index.
     *
     * @param index the index
     * @return the term, or -1 if the log does not retain the index
     */
    public long termAt(long index) {
        return log.term(index);
    }

    /**
     * Returns the entries after an index.
     *
     * @param index an index of the retained log
     * @return the entries, oldest first
     */
    public List<LogEntry> entriesAfter(long index) {
        return log.slice(index + 1, log.lastIndex());
    }

    /**
     * Returns whether this replica has applied all entries up to the commit index in its leader's last append request.
     *
     * @return true if a leader is known and its last reported commit index is applied here
     */
    public boolean caughtUpWithLeader() {
        return !leader.isEmpty() && leaderCommitIndex > 0 && appliedIndex >= leaderCommitIndex;
    }

    /**
     * Revokes the leader's lease, because the host may have been suspended for a time that its monotonic clock did not
     * count.
     *
     * <p>Only a heartbeat round that starts now or later can renew the lease.
     *
     * @param nowMillis the current monotonic time
     */
    public void hostWasSuspended(long nowMillis) {
        if (role == Role.LEADER) {
            leaseUntilMillis = nowMillis;
            rounds.clear();
            heartbeatDueMillis = nowMillis;
        }
    }

    /**
     * Performs the work that is due at a time: sends heartbeats, starts elections and expires the lease.
     *
     * @param nowMillis the current monotonic time
     */
    public void tick(long nowMillis) {
        checkLease(nowMillis);
        if (role == Role.LEADER) {
            if (nowMillis >= heartbeatDueMillis) {
                heartbeat(nowMillis);
            }
        } else if (nowMillis >= electionDueMillis && memberships.isVoter(settings.self())) {
            campaign(nowMillis, true, false);
        }
    }

    /**
     * Returns when {@link #tick} must be called next, unless another call changes it before.
     *
     * @return the monotonic time in milliseconds, {@link Long#MAX_VALUE} if nothing will be due
     */
    public long tickDueMillis() {
        if (role == Role.LEADER) {
            return Math.min(heartbeatDueMillis, Math.max(leaseUntilMillis, electionDueMillis));
        }
        return memberships.isVoter(settings.self()) ? electionDueMillis : Long.MAX_VALUE;
    }

    /**
     * Returns whether {@link #drain} would return any work.
     *
     * @return false if nothing has to be sent, written or applied
     */
    public boolean hasOutput() {
        return !messagesBeforeSync.isEmpty()
                || !messagesAfterSync.isEmpty()
                || hardStateChanged
                || installedSnapshot != null
                || persistedIndex < log.lastIndex()
                || appliedIndex < Math.min(commitIndex, persistedIndex)
                || role == Role.LEADER && peers.values().stream().anyMatch(this::mayReceiveEntries);
    }

    /**
     * Handles a message from another replica.
     *
     * @param message the message; dropped if it is addressed to another group or identity
     * @param nowMillis the current monotonic time
     */
    public void receive(LogMessage message, long nowMillis) {
        if (!message.getGroup().equals(settings.group()) || !message.getTo().equals(settings.self())) {
            return;
        }
        Optional<String> problem = LogMessageCheck.problem(message, settings.self());
        if (problem.isPresent() || contradictsCommittedEntries(message)) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "LOG dropped a malformed message from {0}: {1}",
                    message.getFrom(),
                    problem.orElse("it contradicts committed entries"));
            return;
        }
        checkLease(nowMillis);
        if (message.getTerm() > term && !admitHigherTerm(message, nowMillis)) {
            return;
        }
        if (message.getTerm() < term) {
            replyToStaleMessage(message);
            return;
        }
        dispatch(message, nowMillis);
    }

    /** Returns whether a message claims that an entry which is committed here is another one. */
    private boolean contradictsCommittedEntries(LogMessage message) {
        boolean conflicting = message.getAppendRequest().getEntriesList().stream()
                .anyMatch(entry -> entry.getIndex() > log.baseIndex()
                        && entry.getIndex() <= commitIndex
                        && entry.getTerm() != log.term(entry.getIndex()));
        boolean acknowledgesUnknown = role == Role.LEADER
                && message.getTerm() == term
                && message.getAppendReply().getAccepted()
                && message.getAppendReply().getMatchIndex() > log.lastIndex();
        return conflicting || acknowledgesUnknown;
    }

    /**
     * Returns and clears the work for the host that has accumulated since the last call.
     *
     * @return the work, in the order in which the host must perform it
     */
    public ReplicaOutput drain() {
        if (role == Role.LEADER) {
            peers.keySet().forEach(this::sendEntries);
        }
        if (hardStateChanged) {
            // A crash could lose an unsynced term or vote, so no message may be sent in the new term before the sync.
            messagesAfterSync.addAll(0, messagesBeforeSync);
            messagesBeforeSync = new ArrayList<>();
        }
        Optional<HardState> hardState = hardStateChanged
                ? Optional.of(
                        HardState.newBuilder().setTerm(term).setVote(votedFor).build())
                : Optional.empty();
        List<LogEntry> appendedEntries = log.slice(Math.max(persistedIndex, log.baseIndex()) + 1, log.lastIndex());
        long applyTo = Math.min(commitIndex, persistedIndex);
        List<LogEntry> committedEntries = applyTo > appliedIndex ? log.slice(appliedIndex + 1, applyTo) : List.of();
        appliedIndex = Math.max(appliedIndex, applyTo);
        ReplicaOutput output = new ReplicaOutput(
                messagesBeforeSync,
                Optional.ofNullable(installedSnapshot),
                hardState,
                appendedEntries,
                messagesAfterSync,
                committedEntries);
        messagesBeforeSync = new ArrayList<>();
        messagesAfterSync = new ArrayList<>();
        hardStateChanged = false;
        installedSnapshot = null;
        return output;
    }

    /** Returns true after moving to a message's higher term, or false if the message needs no further handling. */
    private boolean admitHigherTerm(LogMessage message, long nowMillis) {
        if (message.hasVoteRequest()) {
            boolean leaderAlive = nowMillis - lastLeaderContactMillis < settings.electionTimeoutMillis()
                    || role == Role.LEADER && nowMillis < leaseUntilMillis;
            if (leaderAlive && !message.getVoteRequest().getLeadershipTransfer()) {
                return false;
            }
            if (message.getVoteRequest().getPreVote()) {
                handleVoteRequest(message);
                return false;
            }
        }
        if (message.hasVoteReply()
                && message.getVoteReply().getPreVote()
                && message.getVoteReply().getGranted()) {
            handlePreVoteGrant(message, nowMillis);
            return false;
        }
        boolean fromLeader = message.hasAppendRequest() || message.hasSnapshotRequest();
        becomeFollower(message.getTerm(), fromLeader ? message.getFrom() : "", nowMillis);
        return true;
    }

    private void replyToStaleMessage(LogMessage message) {
        if (message.hasAppendRequest() || message.hasSnapshotRequest()) {
            sendAppendReply(message, AppendReply.newBuilder().setAccepted(false).setMatchIndex(log.lastIndex()));
        } else if (message.hasVoteRequest()) {
            VoteReply.Builder rejection =
                    VoteReply.newBuilder().setPreVote(message.getVoteRequest().getPreVote());
            messagesAfterSync.add(
                    message(message.getFrom()).setVoteReply(rejection).build());
        }
    }

    private void dispatch(LogMessage message, long nowMillis) {
        switch (message.getBodyCase()) {
            case VOTE_REQUEST -> handleVoteRequest(message);
            case VOTE_REPLY -> handleVoteReply(message, nowMillis);
            case APPEND_REQUEST -> handleAppendRequest(message, nowMillis);
            case APPEND_REPLY -> handleAppendReply(message, nowMillis);
            case SNAPSHOT_REQUEST -> handleSnapshotRequest(message, nowMillis);
            case TIMEOUT_NOW -> {
                if (memberships.isVoter(settings.self())) {
                    campaign(nowMillis, false, true);
                }
            }
            default -> {}
        }
    }

    private void campaign(long nowMillis, boolean preVote, boolean transfer) {
        role = preVote ? Role.PRE_CANDIDATE : Role.CANDIDATE;
        leader = "";
        grantedVotes.clear();
        grantedVotes.add(settings.self());
        electionDueMillis = nowMillis + randomTimeout();
        if (!preVote) {
            setHardState(term + 1, settings.self());
        }
        if (memberships.hasQuorum(grantedVotes)) {
            onMajorityGranted(nowMillis);
            return;
        }
        VoteRequest request = VoteRequest.newBuilder()
                .setPreVote(preVote)
                .setLastIndex(log.lastIndex())
                .setLastTerm(log.lastTerm())
                .setLeadershipTransfer(transfer)
                .build();
        long requestTerm = preVote ? term + 1 : term;
        otherVoters()
                .forEach(id -> messagesAfterSync.add(
                        message(id).setTerm(requestTerm).setVoteRequest(request).build()));
    }

    private void onMajorityGranted(long nowMillis) {
        if (role == Role.PRE_CANDIDATE) {
            campaign(nowMillis, false, false);
        } else {
            becomeLeader(nowMillis);
        }
    }

    private void handleVoteRequest(LogMessage message) {
        VoteRequest request = message.getVoteRequest();
        boolean logUpToDate = request.getLastTerm() > log.lastTerm()
                || request.getLastTerm() == log.lastTerm() && request.getLastIndex() >= log.lastIndex();
        if (request.getPreVote()) {
            boolean granted = logUpToDate && message.getTerm() > term;
            long replyTerm = granted ? message.getTerm() : term;
            VoteReply preVote =
                    VoteReply.newBuilder().setPreVote(true).setGranted(granted).build();
            messagesAfterSync.add(message(message.getFrom())
                    .setTerm(replyTerm)
                    .setVoteReply(preVote)
                    .build());
            return;
        }
        boolean mayGrantVote = votedFor.isEmpty() && leader.isEmpty() || votedFor.equals(message.getFrom());
        boolean granted = logUpToDate && mayGrantVote && role == Role.FOLLOWER;
        if (granted) {
            setHardState(term, message.getFrom());
        }
        messagesAfterSync.add(message(message.getFrom())
                .setVoteReply(VoteReply.newBuilder().setGranted(granted))
                .build());
    }

    private void handlePreVoteGrant(LogMessage message, long nowMillis) {
        if (role == Role.PRE_CANDIDATE && message.getTerm() == term + 1) {
            grantedVotes.add(message.getFrom());
            if (memberships.hasQuorum(grantedVotes)) {
                onMajorityGranted(nowMillis);
            }
        }
    }

    private void handleVoteReply(LogMessage message, long nowMillis) {
        VoteReply reply = message.getVoteReply();
        if (role == Role.CANDIDATE && !reply.getPreVote() && reply.getGranted()) {
            grantedVotes.add(message.getFrom());
            if (memberships.hasQuorum(grantedVotes)) {
                onMajorityGranted(nowMillis);
            }
        }
    }

    private void becomeFollower(long newTerm, String newLeader, long nowMillis) {
        role = Role.FOLLOWER;
        leader = newLeader;
        endTransfer();
        leaseUntilMillis = Long.MIN_VALUE;
        peers.clear();
        rounds.clear();
        if (newTerm > term) {
            setHardState(newTerm, "");
        }
        electionDueMillis = nowMillis + randomTimeout();
    }

    private void becomeLeader(long nowMillis) {
        role = Role.LEADER;
        leader = settings.self();
        leaderSinceMillis = nowMillis;
        endTransfer();
        leaseUntilMillis = nowMillis;
        // Until a majority has acknowledged the first heartbeat round, this deadline is all that makes a leader without
        // contact to the other voters step down.
        electionDueMillis = nowMillis + 2 * settings.electionTimeoutMillis();
        peers.clear();
        refreshPeers();
        append(LogEntry.Kind.NO_OP, ByteString.EMPTY);
        heartbeat(nowMillis);
    }

    private void checkLease(long nowMillis) {
        if (role == Role.LEADER && nowMillis >= Math.max(leaseUntilMillis, electionDueMillis)) {
            becomeFollower(term, "", nowMillis);
        }
    }

    private void heartbeat(long nowMillis) {
        if (transferringLeadership && !successorAsked && nowMillis >= transferEndMillis) {
            endTransfer();
        }
        rounds.begin(nowMillis, log.lastIndex());
        heartbeatDueMillis = nowMillis + settings.heartbeatMillis();
        extendLease();
        for (Map.Entry<String, PeerProgress> peer : peers.entrySet()) {
            peer.getValue().inFlight = 0;
            if (peer.getValue().nextIndex <= log.baseIndex()) {
                sendSnapshot(peer.getKey(), peer.getValue(), nowMillis);
            } else {
                sendAppend(peer.getKey(), peer.getValue());
            }
        }
    }

    private void sendEntries(String peer) {
        PeerProgress progress = peers.get(peer);
        while (mayReceiveEntries(progress)) {
            sendAppend(peer, progress);
        }
    }

    private boolean mayReceiveEntries(PeerProgress progress) {
        return progress.nextIndex > log.baseIndex()
                && progress.nextIndex <= log.lastIndex()
                && progress.inFlight < MAX_IN_FLIGHT;
    }

    private void sendAppend(String peer, PeerProgress progress) {
        long previous = progress.nextIndex - 1;
        List<LogEntry> batch = log.slice(progress.nextIndex, settings.maxBatchEntries(), settings.maxBatchBytes());
        AppendRequest request = AppendRequest.newBuilder()
                .setPreviousIndex(previous)
                .setPreviousTerm(log.term(previous))
                .setCommitIndex(commitIndex)
                .addAllEntries(batch)
                .setRound(rounds.current())
                .build();
        progress.nextIndex += batch.size();
        progress.inFlight++;
        messagesBeforeSync.add(message(peer).setAppendRequest(request).build());
    }

    private void sendSnapshot(String peer, PeerProgress progress, long nowMillis) {
        long resendMillis = SNAPSHOT_RESEND_HEARTBEATS * settings.heartbeatMillis();
        boolean sendNow = progress.snapshotSentMillis == Long.MIN_VALUE
                || nowMillis - progress.snapshotSentMillis >= resendMillis;
        if (sendNow) {
            progress.snapshotSentMillis = nowMillis;
            SnapshotRequest request = SnapshotRequest.newBuilder()
                    .setSnapshot(snapshot)
                    .setRound(rounds.current())
                    .build();
            messagesBeforeSync.add(message(peer).setSnapshotRequest(request).build());
        } else {
            // While the snapshot is being transferred, empty append requests renew the lease and keep the follower from
            // starting an election.
            AppendRequest empty = AppendRequest.newBuilder()
                    .setPreviousIndex(snapshot.getIndex())
                    .setPreviousTerm(snapshot.getTerm())
                    .setRound(rounds.current())
                    .build();
            messagesBeforeSync.add(message(peer).setAppendRequest(empty).build());
        }
    }

    private void handleAppendRequest(LogMessage message, long nowMillis) {
        if (role != Role.FOLLOWER) {
            becomeFollower(term, message.getFrom(), nowMillis);
        }
        leader = message.getFrom();
        recordLeaderContact(nowMillis);
        AppendRequest request = message.getAppendRequest();
        AppendReply.Builder reply = AppendReply.newBuilder().setRound(request.getRound());
        long previous = request.getPreviousIndex();
        leaderCommitIndex = request.getCommitIndex();
        if (previous < log.baseIndex()) {
            // Compacted entries are committed, and the committed prefix of the log is the same on every replica.
            sendAppendReply(message, reply.setAccepted(true).setMatchIndex(commitIndex));
        } else if (log.term(previous) != request.getPreviousTerm()) {
            sendAppendReply(message, reply.setAccepted(false).setMatchIndex(rejectionHint(previous)));
        } else {
            request.getEntriesList().forEach(this::storeEntry);
            long match = previous + request.getEntriesCount();
            commitIndex = Math.max(commitIndex, Math.min(request.getCommitIndex(), match));
            sendAppendReply(message, reply.setAccepted(true).setMatchIndex(match));
        }
    }

    /**
     * Returns the index after which the leader is to retry: the last index of a shorter log, or the last one before the
     * entries of the conflicting term, but not less than the commit index.
     */
    private long rejectionHint(long previous) {
        if (previous > log.lastIndex()) {
            return log.lastIndex();
        }
        long conflictTerm = log.term(previous);
        long index = previous;
        while (index > commitIndex && log.term(index) == conflictTerm) {
            index--;
        }
        return index;
    }

    private void storeEntry(LogEntry entry) {
        long index = entry.getIndex();
        if (log.holds(index)) {
            if (log.term(index) == entry.getTerm()) {
                return;
            }
            if (index <= commitIndex) {
                throw new IllegalStateException("leader sent a conflicting entry for committed index " + index);
            }
            log.truncateFrom(index);
            memberships.truncateFrom(index);
            persistedIndex = Math.min(persistedIndex, index - 1);
        }
        log.append(entry);
        memberships.addIfMembership(entry);
    }

    private void handleSnapshotRequest(LogMessage message, long nowMillis) {
        if (role != Role.FOLLOWER) {
            becomeFollower(term, message.getFrom(), nowMillis);
        }
        leader = message.getFrom();
        recordLeaderContact(nowMillis);
        LogSnapshot received = message.getSnapshotRequest().getSnapshot();
        if (received.getIndex() > commitIndex) {
            log.resetTo(received.getIndex(), received.getTerm());
            memberships.reset(received);
            snapshot = received;
            installedSnapshot = received;
            commitIndex = received.getIndex();
            appliedIndex = received.getIndex();
            persistedIndex = received.getIndex();
        }
        sendAppendReply(
                message,
                AppendReply.newBuilder()
                        .setAccepted(true)
                        .setMatchIndex(commitIndex)
                        .setRound(message.getSnapshotRequest().getRound()));
    }

    private void handleAppendReply(LogMessage message, long nowMillis) {
        PeerProgress progress = peers.get(message.getFrom());
        if (role != Role.LEADER || progress == null) {
            return;
        }
        AppendReply reply = message.getAppendReply();
        progress.ackedRound = Math.max(progress.ackedRound, reply.getRound());
        progress.inFlight = Math.max(0, progress.inFlight - 1);
        if (reply.getAccepted()) {
            progress.onAppendAccepted(reply.getMatchIndex());
            if (progress.nextIndex > log.baseIndex()) {
                progress.snapshotSentMillis = Long.MIN_VALUE;
            }
            advanceCommit();
            askSuccessorIfComplete(nowMillis);
        } else {
            progress.onAppendRejected(reply.getMatchIndex());
        }
        extendLease();
    }

    private void extendLease() {
        long ackedRound = quorumValue(progress -> progress.ackedRound, rounds.current());
        OptionalLong sentMillis = rounds.sentMillis(ackedRound);
        if (sentMillis.isEmpty() || successorAsked) {
            return;
        }
        long until = sentMillis.getAsLong() + settings.electionTimeoutMillis() - settings.leaseMarginMillis();
        leaseUntilMillis = Math.max(leaseUntilMillis, until);
        electionDueMillis = Math.max(electionDueMillis, sentMillis.getAsLong() + 2 * settings.electionTimeoutMillis());
    }

    private void advanceCommit() {
        long candidate = quorumValue(progress -> progress.matchIndex, persistedIndex);
        if (candidate > commitIndex && log.term(candidate) == term) {
            commitIndex = candidate;
            if (!memberships.isVoter(settings.self()) && memberships.lastChangeIndex() <= commitIndex) {
                role = Role.FOLLOWER;
                leader = "";
            }
        }
    }

    /** Returns the highest value that a majority of the voters has reached; {@code own} is this replica's value. */
    private long quorumValue(ToLongFunction<PeerProgress> value, long own) {
        long[] reachedValues = membership().getVotersList().stream()
                .mapToLong(id -> id.equals(settings.self()) ? own : value.applyAsLong(peers.get(id)))
                .sorted()
                .toArray();
        return reachedValues.length == 0 ? 0 : reachedValues[(reachedValues.length - 1) / 2];
    }

    private long append(LogEntry.Kind kind, ByteString data) {
        LogEntry entry = LogEntry.newBuilder()
                .setIndex(log.lastIndex() + 1)
                .setTerm(term)
                .setKind(kind)
                .setData(data)
                .build();
        log.append(entry);
        memberships.addIfMembership(entry);
        refreshPeers();
        return entry.getIndex();
    }

    private void refreshPeers() {
        Set<String> others = new HashSet<>(membership().getVotersList());
        others.addAll(membership().getLearnersList());
        others.remove(settings.self());
        peers.keySet().retainAll(others);
        others.forEach(id -> peers.computeIfAbsent(id, absent -> new PeerProgress(log.lastIndex() + 1)));
    }

    /** Returns true once an entry of the current term is applied: the state then has all earlier committed entries. */
    private boolean ownTermApplied() {
        return log.term(appliedIndex) == term;
    }

    private Stream<String> otherVoters() {
        return membership().getVotersList().stream().filter(id -> !id.equals(settings.self()));
    }

    private void setHardState(long newTerm, String newVote) {
        term = newTerm;
        votedFor = newVote;
        hardStateChanged = true;
    }

    private void recordLeaderContact(long nowMillis) {
        lastLeaderContactMillis = nowMillis;
        electionDueMillis = nowMillis + randomTimeout();
    }

    private long randomTimeout() {
        long base = settings.electionTimeoutMillis();
        return base + (long) (random.nextDouble() * ELECTION_TIMEOUT_SPREAD * base);
    }

    private LogMessage.Builder message(String to) {
        return LogMessage.newBuilder()
                .setGroup(settings.group())
                .setFrom(settings.self())
                .setTo(to)
                .setTerm(term);
    }

    private void sendAppendReply(LogMessage request, AppendReply.Builder reply) {
        messagesAfterSync.add(message(request.getFrom()).setAppendReply(reply).build());
    }
}
