package org.wasabimount.core.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;

import org.testng.annotations.Test;
import org.wasabimount.protocol.log.AppendReply;
import org.wasabimount.protocol.log.HardState;
import org.wasabimount.protocol.log.LogEntry;
import org.wasabimount.protocol.log.LogMessage;
import org.wasabimount.protocol.log.LogSnapshot;
import org.wasabimount.protocol.log.Membership;
import org.wasabimount.protocol.log.VoteReply;
import org.wasabimount.protocol.log.VoteRequest;

import com.google.protobuf.ByteString;

/** Tests single rules of the replica that the random steps of {@link ReplicaFuzzTest} seldom reach. */
public class ReplicaTest {

    private static final ReplicaSettings SETTINGS = ReplicaSettings.of("group", "vm0/0", 400, 1);
    private static final long AFTER_TIMEOUT_MILLIS = 1_000;

    @Test
    public void doesNotCommitEntryOfOlderTermByCountingReplicas() {
        Replica leader = leaderWithOldEntry();
        accept(leader, "vm1/0", 1);
        assertEquals(leader.commitIndex(), 0);
        accept(leader, "vm1/0", 2);
        assertEquals(leader.commitIndex(), 2);
    }

    @Test
    public void decidesOnlyAfterItsOwnEntryIsApplied() {
        Replica leader = leaderWithOldEntry();
        accept(leader, "vm1/0", 1);
        leader.drain();
        assertFalse(leader.mayDecide(AFTER_TIMEOUT_MILLIS + 1));
        accept(leader, "vm1/0", 2);
        assertFalse(leader.mayDecide(AFTER_TIMEOUT_MILLIS + 1), "the state lacks entries that were committed earlier");
        leader.drain();
        assertTrue(leader.mayDecide(AFTER_TIMEOUT_MILLIS + 1));
    }

    @Test
    public void stopsDecidingWhenItsLeaseExpires() {
        Replica leader = leaderWithOldEntry();
        accept(leader, "vm1/0", 2);
        leader.drain();
        assertTrue(leader.mayDecide(AFTER_TIMEOUT_MILLIS + 1));
        assertFalse(leader.mayDecide(AFTER_TIMEOUT_MILLIS + 400));
    }

    @Test
    public void replyToHeartbeatSentBeforeSuspensionDoesNotRenewLease() {
        Replica leader = leaderWithOldEntry();
        accept(leader, "vm1/0", 2);
        leader.drain();
        assertTrue(leader.mayDecide(AFTER_TIMEOUT_MILLIS + 1));
        leader.hostWasSuspended(AFTER_TIMEOUT_MILLIS + 1);
        assertFalse(leader.mayDecide(AFTER_TIMEOUT_MILLIS + 1));
        accept(leader, "vm1/0", 2);
        assertFalse(leader.mayDecide(AFTER_TIMEOUT_MILLIS + 2), "that heartbeat was sent before the suspension");
        leader.tick(AFTER_TIMEOUT_MILLIS + 2);
        flush(leader);
        accept(leader, "vm1/0", 2, 2);
        assertTrue(leader.mayDecide(AFTER_TIMEOUT_MILLIS + 3));
    }

    /** Guards against a leader that appends nothing for the rest of its term, as its successor never catches up. */
    @Test
    public void continuesToLeadIfSuccessorDoesNotCatchUp() {
        Replica leader = leaderWithOldEntry();
        accept(leader, "vm1/0", 2);
        leader.drain();
        ByteString command = ByteString.copyFromUtf8("new");
        assertEquals(leader.propose(command, AFTER_TIMEOUT_MILLIS + 1), 3);
        assertTrue(leader.transferLeadership(AFTER_TIMEOUT_MILLIS + 1));
        assertEquals(leader.propose(command, AFTER_TIMEOUT_MILLIS + 1), -1);
        for (int round = 2; round <= 6; round++) {
            leader.tick(AFTER_TIMEOUT_MILLIS + 100 * (round - 1));
            flush(leader);
            accept(leader, "vm2/0", 2, round);
        }
        assertTrue(leader.mayDecide(AFTER_TIMEOUT_MILLIS + 501));
        assertEquals(leader.propose(command, AFTER_TIMEOUT_MILLIS + 501), 4);
    }

    @Test
    public void ignoresVoteRequestWhileLeaderIsAlive() {
        Replica follower = follower();
        follower.receive(
                message("vm1/0", 5)
                        .setAppendRequest(org.wasabimount.protocol.log.AppendRequest.getDefaultInstance())
                        .build(),
                100);
        follower.receive(
                message("vm2/0", 9)
                        .setVoteRequest(VoteRequest.newBuilder().setLastIndex(9).setLastTerm(9))
                        .build(),
                200);
        assertEquals(follower.term(), 5);
    }

    /**
     * Guards against a long wait for an election: in weesteps-sched scale-1, after all processes had been killed,
     * this wait made up 0.8 s of the outage.
     */
    @Test
    public void startsPreVoteSoonAfterElectionTimeout() {
        for (int seed = 0; seed < 50; seed++) {
            Replica follower = follower(ReplicaSettings.of("group", "vm0/0", 400, seed));
            follower.tick(399);
            assertEquals(follower.role(), Replica.Role.FOLLOWER, "seed " + seed);
            follower.tick(560);
            assertEquals(follower.role(), Replica.Role.PRE_CANDIDATE, "seed " + seed);
        }
    }

    @Test
    public void refusesVoteForOlderLog() {
        Replica follower = follower();
        follower.receive(
                message("vm2/0", 9)
                        .setVoteRequest(VoteRequest.getDefaultInstance())
                        .build(),
                AFTER_TIMEOUT_MILLIS);
        List<LogMessage> replies = follower.drain().messagesAfterSync();
        assertFalse(replies.get(0).getVoteReply().getGranted());
    }

    @Test
    public void dropsMessagesForAnotherIdentity() {
        Replica follower = follower();
        follower.receive(
                message("vm1/0", 5)
                        .setTo("vm0/1")
                        .setAppendRequest(org.wasabimount.protocol.log.AppendRequest.getDefaultInstance())
                        .build(),
                100);
        assertEquals(follower.term(), 3);
    }

    private static Replica follower() {
        return follower(SETTINGS);
    }

    private static Replica follower(ReplicaSettings settings) {
        Membership membership = Membership.newBuilder()
                .addAllVoters(List.of("vm0/0", "vm1/0", "vm2/0"))
                .build();
        LogEntry oldEntry = LogEntry.newBuilder()
                .setIndex(1)
                .setTerm(2)
                .setKind(LogEntry.Kind.COMMAND)
                .setData(ByteString.copyFromUtf8("old"))
                .build();
        LogSnapshot initialSnapshot =
                LogSnapshot.newBuilder().setMembership(membership).build();
        HardState hardState = HardState.newBuilder().setTerm(3).build();
        return new Replica(settings, new PersistedLog(hardState, initialSnapshot, List.of(oldEntry)), 0);
    }

    private static Replica leaderWithOldEntry() {
        Replica replica = follower();
        replica.tick(AFTER_TIMEOUT_MILLIS);
        flush(replica);
        replica.receive(
                message("vm1/0", 4)
                        .setVoteReply(VoteReply.newBuilder().setPreVote(true).setGranted(true))
                        .build(),
                AFTER_TIMEOUT_MILLIS);
        flush(replica);
        replica.receive(
                message("vm1/0", 4)
                        .setVoteReply(VoteReply.newBuilder().setGranted(true))
                        .build(),
                AFTER_TIMEOUT_MILLIS);
        flush(replica);
        assertEquals(replica.role(), Replica.Role.LEADER);
        return replica;
    }

    private static void accept(Replica leader, String from, long matchIndex) {
        accept(leader, from, matchIndex, 1);
    }

    private static void accept(Replica leader, String from, long matchIndex, long round) {
        AppendReply reply = AppendReply.newBuilder()
                .setAccepted(true)
                .setMatchIndex(matchIndex)
                .setRound(round)
                .build();
        leader.receive(message(from, leader.term()).setAppendReply(reply).build(), AFTER_TIMEOUT_MILLIS);
    }

    private static void flush(Replica replica) {
        replica.drain();
        replica.persisted(replica.lastIndex());
    }

    private static LogMessage.Builder message(String from, long term) {
        return LogMessage.newBuilder()
                .setGroup("group")
                .setFrom(from)
                .setTo("vm0/0")
                .setTerm(term);
    }
}
