package org.wasabimount.core.log;

import java.util.ArrayList;
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
 * One replica of a replicated log, as a pure state machine after Raft with pre-vote, leader lease and learners.
 *
 * <p>The host calls {@link #receive}, {@link #tick} and {@link #propose}, then takes {@link #drain}, carries it out in
 * order, and confirms the sync with {@link #persisted}.
 */
public final class Replica {

    private static final int MAX_IN_FLIGHT = 16;
    private static final int SNAPSHOT_RESEND_HEARTBEATS = 25;

    /** Share of the election timeout by which it varies: many round trips and syncs, so that few elections collide. */
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
    private boolean hardStateChanged;
    private LogSnapshot installedSnapshot;
    private List<LogMessage> messagesBeforeSync = new ArrayList<>();
    private List<LogMessage> messagesAfterSync = new ArrayList<>();

    /** The part that a replica plays in its group. */
    public enum Role {
        /** Takes entries from a leader. */
        FOLLOWER,
        /** Asks whether an election could be won, without a new term. */
        PRE_CANDIDATE,
        /** Asks for votes in a new term. */
        CANDIDATE,
        /** Orders the entries. */
        LEADER
    }

    /**
     * Restarts a replica from what it had synced.
     *
     * @param settings the fixed parameters
     * @param persisted what was synced
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
        // A voter that restarts may have promised a leader its silence just before.
        recordLeaderContact(nowMillis);
    }

    /**
     * Returns the part that this replica plays.
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
     * @return the leader as far as it is known, or an empty string
     */
    public String leader() {
        return leader;
    }

    /**
     * Returns the last index that is known to be on a majority.
     *
     * @return the commit index
     */
    public long commitIndex() {
        return commitIndex;
    }

    /**
     * Returns the last index that was handed out to be applied.
     *
     * @return the applied index
     */
    public long appliedIndex() {
        return appliedIndex;
    }

    /**
     * Returns the last index held, committed or not.
     *
     * @return the last index
     */
    public long lastIndex() {
        return log.lastIndex();
    }

    /**
     * Returns the members in force: those of the last membership entry held, committed or not.
     *
     * @return the membership
     */
    public Membership membership() {
        return memberships.current();
    }

    /**
     * Tells whether the members in force are those of a committed entry.
     *
     * @return false while a change of members is open
     */
    public boolean membershipCommitted() {
        return memberships.lastChangeIndex() <= commitIndex;
    }

    /**
     * Returns how far another replica is known to follow.
     *
     * @param replica the other replica's identity
     * @return the last index it has synced, zero if this replica is not the leader
     */
    public long matchIndex(String replica) {
        PeerProgress progress = peers.get(replica);
        return progress == null ? 0 : progress.matchIndex;
    }

    /**
     * Tells whether this replica may decide alone: it leads, no other can, and its own first entry was handed out.
     *
     * @param nowMillis the current monotonic time
     * @return true while the leader's lease holds
     */
    public boolean mayDecide(long nowMillis) {
        return role == Role.LEADER && !transferringLeadership && nowMillis < leaseUntilMillis && ownTermApplied();
    }

    /**
     * Returns when this replica became leader.
     *
     * @return the monotonic time in milliseconds; without meaning while it does not lead
     */
    public long leaderSinceMillis() {
        return leaderSinceMillis;
    }

    /**
     * Appends a command if this replica leads.
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
     * Appends a change of members if this replica leads, no other change is open, and one voter changes at most.
     *
     * @param next the members afterwards
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
     * Hands leadership to the voter that follows best, if this replica leads.
     *
     * @param nowMillis the current monotonic time
     * @return true if a successor was asked to start an election
     */
    public boolean transferLeadership(long nowMillis) {
        if (!mayDecide(nowMillis)) {
            return false;
        }
        Optional<String> successor = otherVoters()
                .filter(id -> peers.get(id).matchIndex == log.lastIndex())
                .findFirst();
        successor.ifPresent(id -> {
            transferringLeadership = true;
            leaseUntilMillis = nowMillis;
            messagesAfterSync.add(
                    message(id).setTimeoutNow(TimeoutNow.getDefaultInstance()).build());
        });
        return successor.isPresent();
    }

    /**
     * Tells the replica that entries up to an index of the current log are synced.
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
     * Drops entries that a snapshot covers, but for a tail that slow followers may still need.
     *
     * @param taken a synced snapshot of the state at an applied index
     * @param keptEntries how many entries before the snapshot's index stay
     */
    public void compact(LogSnapshot taken, long keptEntries) {
        snapshot = taken;
        long base = Math.max(log.baseIndex(), taken.getIndex() - keptEntries);
        log.compactTo(base);
        memberships.compactTo(base);
    }

    /**
     * Returns the membership in force at an index that is held.
     *
     * @param index the index
     * @return the membership
     */
    public Membership membershipAt(long index) {
        return memberships.at(index);
    }

    /**
     * Returns the term of an index that is held.
     *
     * @param index the index
     * @return the term, or -1 if the index is not held
     */
    public long termAt(long index) {
        return log.term(index);
    }

    /**
     * Returns the entries held after an index.
     *
     * @param index an index that is held
     * @return the entries, oldest first
     */
    public List<LogEntry> entriesAfter(long index) {
        return log.slice(index + 1, log.lastIndex());
    }

    /**
     * Tells whether this replica has applied all that its leader had committed when it last spoke.
     *
     * @return true if a leader is known and nothing it committed is missing
     */
    public boolean caughtUpWithLeader() {
        return !leader.isEmpty() && leaderCommitIndex > 0 && appliedIndex >= leaderCommitIndex;
    }

    /**
     * Takes back the lease, because the host may have stood still for a time that its monotonic clock did not count.
     *
     * <p>Only a round of heartbeats that begins now can renew it.
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
     * Lets time pass: heartbeats, elections and the end of leases.
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
     * Takes a message from another replica.
     *
     * @param message the message, dropped if it is for another group or identity
     * @param nowMillis the current monotonic time
     */
    public void receive(LogMessage message, long nowMillis) {
        if (!message.getGroup().equals(settings.group()) || !message.getTo().equals(settings.self())) {
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

    /**
     * Takes everything that the host has to carry out since the last call.
     *
     * @return the work, in order
     */
    public ReplicaOutput drain() {
        if (role == Role.LEADER) {
            peers.keySet().forEach(this::sendEntries);
        }
        if (hardStateChanged) {
            // Nothing may be said in a term that could be forgotten.
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
            case APPEND_REPLY -> handleAppendReply(message);
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
        transferringLeadership = false;
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
        transferringLeadership = false;
        leaseUntilMillis = nowMillis;
        // Until the first heartbeat round is answered, only the timeout below makes a lonely leader step down.
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
        rounds.begin(nowMillis);
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
        while (progress.nextIndex > log.baseIndex()
                && progress.nextIndex <= log.lastIndex()
                && progress.inFlight < MAX_IN_FLIGHT) {
            sendAppend(peer, progress);
        }
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
            // Keeps the lease and the follower's patience alive while the snapshot is on its way.
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
            // All that is compacted is committed, and committed prefixes are equal everywhere.
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
                throw new IllegalStateException("leader contradicts committed index " + index);
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

    private void handleAppendReply(LogMessage message) {
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
        } else {
            progress.onAppendRejected(reply.getMatchIndex());
        }
        extendLease();
    }

    private void extendLease() {
        long ackedRound = quorumValue(progress -> progress.ackedRound, rounds.current());
        OptionalLong sentMillis = rounds.sentMillis(ackedRound);
        if (sentMillis.isEmpty() || transferringLeadership) {
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

    /** Returns the highest value that a majority of the voters has reached. */
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

    /** Tells whether the state holds all that earlier leaders committed: it does once an entry of this term is in it. */
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
