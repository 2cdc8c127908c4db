package org.wasabimount.core.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.protocol.log.AppendReply;
import org.wasabimount.protocol.log.HardState;
import org.wasabimount.protocol.log.LogMessage;
import org.wasabimount.protocol.log.LogSnapshot;
import org.wasabimount.protocol.log.Membership;
import org.wasabimount.protocol.log.VoteReply;

import com.google.protobuf.ByteString;

/** Tests which replicas become voters in a group for which only the number of voters is configured. */
public class MembershipPlanTest {

    private static final ReplicaIdentity JOINING = ReplicaIdentity.parse("vm3/fresh");
    private static final ReplicaIdentity REPLACED = ReplicaIdentity.parse("vm2/fresh");

    private Replica leader;
    private long nowMillis;

    @BeforeMethod
    public void startSingleVoter() {
        startLeader(List.of("vm0/0"));
    }

    /** Makes vm0 the leader of any voters by delivering vm1's votes and acknowledgement. */
    private void startLeader(List<String> voters) {
        LogSnapshot initialSnapshot = LogSnapshot.newBuilder()
                .setMembership(Membership.newBuilder().addAllVoters(voters))
                .build();
        leader = new Replica(
                ReplicaSettings.of("group", "vm0/0", 400, 1),
                new PersistedLog(HardState.getDefaultInstance(), initialSnapshot, List.of()),
                0);
        nowMillis = 1_000;
        leader.tick(nowMillis);
        flush();
        for (boolean preVote : new boolean[] {true, false}) {
            deliver(
                    "vm1/0",
                    message -> message.setVoteReply(
                            VoteReply.newBuilder().setPreVote(preVote).setGranted(true)));
            flush();
        }
        acknowledgeAllEntries("vm1/0");
        assertEquals(leader.role(), Replica.Role.LEADER);
    }

    private interface MessageBody {
        LogMessage.Builder addTo(LogMessage.Builder message);
    }

    private void deliver(String from, MessageBody body) {
        LogMessage.Builder message = LogMessage.newBuilder()
                .setGroup("group")
                .setFrom(from)
                .setTo("vm0/0")
                .setTerm(Math.max(1, leader.term()));
        leader.receive(body.addTo(message).build(), nowMillis);
    }

    /** Delivers a replica's acknowledgement of all entries of the leader. */
    private void acknowledgeAllEntries(String replica) {
        acknowledge(replica, leader.lastIndex(), 1);
    }

    private void acknowledge(String replica, long matchIndex, long round) {
        deliver(
                replica,
                message -> message.setAppendReply(AppendReply.newBuilder()
                        .setAccepted(true)
                        .setMatchIndex(matchIndex)
                        .setRound(round)));
        flush();
        flush();
    }

    private void flush() {
        leader.drain();
        leader.persisted(leader.lastIndex());
        leader.drain();
    }

    private Optional<Membership> applyNextStep(ReplicaIdentity replica, int voters, String... silent) {
        MembershipPlan.Target target =
                new MembershipPlan.Target(voters, vm -> List.of(silent).contains(vm.name()));
        Optional<Membership> next = MembershipPlan.next(leader, replica, target);
        next.ifPresent(change -> {
            leader.changeMembership(change, nowMillis);
            flush();
            acknowledgeAllEntries("vm1/0");
        });
        return next;
    }

    @Test
    public void newReplicaIsLearnerBeforeVoter() {
        assertEquals(applyNextStep(JOINING, 2).orElseThrow().getLearnersList(), List.of("vm3/fresh"));
        assertEquals(applyNextStep(JOINING, 2), Optional.empty(), "the learner has not caught up");
        acknowledgeAllEntries("vm3/fresh");
        assertEquals(applyNextStep(JOINING, 2).orElseThrow().getVotersList(), List.of("vm0/0", "vm3/fresh"));
    }

    @Test
    public void learnerStaysLearnerWhileThereAreEnoughVoters() {
        applyNextStep(JOINING, 1);
        acknowledgeAllEntries("vm3/fresh");
        assertEquals(applyNextStep(JOINING, 1), Optional.empty());
    }

    @Test
    public void learnerReplacesSilentVoter() {
        startLeader(List.of("vm0/0", "vm1/0", "vm2/0"));
        applyNextStep(JOINING, 3);
        acknowledgeAllEntries("vm3/fresh");
        assertEquals(applyNextStep(JOINING, 3, "vm2").orElseThrow().getVotersList(), List.of("vm0/0", "vm1/0"));
        assertEquals(
                applyNextStep(JOINING, 3, "vm2").orElseThrow().getVotersList(), List.of("vm0/0", "vm1/0", "vm3/fresh"));
    }

    @Test
    public void replicaThatLostItsDiskReplacesItsFormerIdentity() {
        startLeader(List.of("vm0/0", "vm1/0", "vm2/0"));
        applyNextStep(REPLACED, 3);
        acknowledgeAllEntries("vm2/fresh");
        assertEquals(applyNextStep(REPLACED, 3).orElseThrow().getVotersList(), List.of("vm0/0", "vm1/0"));
        assertEquals(applyNextStep(REPLACED, 3).orElseThrow().getVotersList(), List.of("vm0/0", "vm1/0", "vm2/fresh"));
    }

    /** Guards against a group that stays without its third voter for as long as the load lasts. */
    @Test
    public void learnerIsPromotedUnderLoad() {
        assertTrue(isPromotedUnderLoad(2), "a learner that lags 0.2 s behind 1,000 entries a second is not promoted");
    }

    @Test
    public void learnerThatLagsLongerThanElectionTimeoutIsNotPromoted() {
        assertFalse(isPromotedUnderLoad(5));
    }

    /** Appends 1,000 entries a second for 3 s; the learner acknowledges each after a number of heartbeats. */
    private boolean isPromotedUnderLoad(int lagHeartbeats) {
        startLeader(List.of("vm0/0", "vm1/0"));
        applyNextStep(JOINING, 3);
        List<Long> lastIndexByHeartbeat = new ArrayList<>();
        for (int heartbeat = 0; heartbeat < 30; heartbeat++) {
            nowMillis += 100;
            leader.tick(nowMillis);
            lastIndexByHeartbeat.add(leader.lastIndex());
            for (int entry = 0; entry < 100; entry++) {
                leader.propose(ByteString.copyFromUtf8("command"), nowMillis);
            }
            flush();
            acknowledge("vm1/0", leader.lastIndex(), heartbeat + 2);
            if (heartbeat >= lagHeartbeats) {
                acknowledge("vm3/fresh", lastIndexByHeartbeat.get(heartbeat - lagHeartbeats), 1);
            }
            Optional<Membership> next = MembershipPlan.next(leader, JOINING, new MembershipPlan.Target(3, vm -> false));
            if (next.isPresent()) {
                assertEquals(next.get().getVotersList(), List.of("vm0/0", "vm1/0", "vm3/fresh"));
                return true;
            }
        }
        return false;
    }
}
