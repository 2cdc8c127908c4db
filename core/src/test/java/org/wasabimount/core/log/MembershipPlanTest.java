package org.wasabimount.core.log;

import static org.testng.Assert.assertEquals;

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

/** Who votes in a group that is told no list of its members. */
public class MembershipPlanTest {

    private static final ReplicaIdentity JOINING = ReplicaIdentity.parse("vm3/fresh");
    private static final ReplicaIdentity REBORN = ReplicaIdentity.parse("vm2/fresh");

    private Replica leader;
    private long nowMillis;

    @BeforeMethod
    public void alone() {
        lead(List.of("vm0/0"));
    }

    /** Makes vm0 lead, whoever votes, by telling it that vm1 answers. */
    private void lead(List<String> voters) {
        LogSnapshot first = LogSnapshot.newBuilder()
                .setMembership(Membership.newBuilder().addAllVoters(voters))
                .build();
        leader = new Replica(
                ReplicaSettings.of("group", "vm0/0", 400, 1),
                new PersistedLog(HardState.getDefaultInstance(), first, List.of()),
                0);
        nowMillis = 1_000;
        leader.tick(nowMillis);
        flush();
        for (boolean preVote : new boolean[] {true, false}) {
            answer(
                    "vm1/0",
                    message -> message.setVoteReply(
                            VoteReply.newBuilder().setPreVote(preVote).setGranted(true)));
            flush();
        }
        follow("vm1/0");
        assertEquals(leader.role(), Replica.Role.LEADER);
    }

    private interface Body {
        LogMessage.Builder in(LogMessage.Builder message);
    }

    private void answer(String from, Body body) {
        LogMessage.Builder message = LogMessage.newBuilder()
                .setGroup("group")
                .setFrom(from)
                .setTo("vm0/0")
                .setTerm(Math.max(1, leader.term()));
        leader.receive(body.in(message).build(), nowMillis);
    }

    /** Tells the leader that a replica has synced all it holds. */
    private void follow(String replica) {
        answer(
                replica,
                message -> message.setAppendReply(AppendReply.newBuilder()
                        .setAccepted(true)
                        .setMatchIndex(leader.lastIndex())
                        .setRound(1)));
        flush();
        flush();
    }

    private void flush() {
        leader.drain();
        leader.persisted(leader.lastIndex());
        leader.drain();
    }

    private Optional<Membership> heard(ReplicaIdentity replica, int voters, String... gone) {
        MembershipPlan.Wish wish =
                new MembershipPlan.Wish(voters, vm -> List.of(gone).contains(vm.name()));
        Optional<Membership> next = MembershipPlan.next(leader, replica, wish);
        next.ifPresent(change -> {
            leader.changeMembership(change, nowMillis);
            flush();
            follow("vm1/0");
        });
        return next;
    }

    @Test
    public void newReplicaLearnsBeforeItVotes() {
        assertEquals(heard(JOINING, 2).orElseThrow().getLearnersList(), List.of("vm3/fresh"));
        assertEquals(heard(JOINING, 2), Optional.empty(), "it has not caught up");
        follow("vm3/fresh");
        assertEquals(heard(JOINING, 2).orElseThrow().getVotersList(), List.of("vm0/0", "vm3/fresh"));
    }

    @Test
    public void learnerStaysLearnerWhileEnoughVote() {
        heard(JOINING, 1);
        follow("vm3/fresh");
        assertEquals(heard(JOINING, 1), Optional.empty());
    }

    @Test
    public void waitingReplicaTakesPlaceOfSilentVoter() {
        lead(List.of("vm0/0", "vm1/0", "vm2/0"));
        heard(JOINING, 3);
        follow("vm3/fresh");
        assertEquals(heard(JOINING, 3, "vm2").orElseThrow().getVotersList(), List.of("vm0/0", "vm1/0"));
        assertEquals(heard(JOINING, 3, "vm2").orElseThrow().getVotersList(), List.of("vm0/0", "vm1/0", "vm3/fresh"));
    }

    @Test
    public void replicaWithoutItsDiskTakesItsOwnFormerPlace() {
        lead(List.of("vm0/0", "vm1/0", "vm2/0"));
        heard(REBORN, 3);
        follow("vm2/fresh");
        assertEquals(heard(REBORN, 3).orElseThrow().getVotersList(), List.of("vm0/0", "vm1/0"));
        assertEquals(heard(REBORN, 3).orElseThrow().getVotersList(), List.of("vm0/0", "vm1/0", "vm2/fresh"));
    }
}
