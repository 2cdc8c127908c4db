package org.wasabimount.core.log;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import org.wasabimount.core.VmId;
import org.wasabimount.protocol.log.LogMessage;
import org.wasabimount.protocol.log.LogSnapshot;
import org.wasabimount.protocol.log.Membership;

/** Replicas in virtual time, on a simulated network that loses, duplicates, delays and reorders messages on demand. */
final class FakeCluster {

    private static final double[] CLOCK_RATES = {1.0, 0.97, 1.03, 1.0, 0.98};
    private static final long SETTLE_STEP_MILLIS = 20;
    private static final int SETTLE_STEPS = 200;

    private final Oracle oracle = new Oracle();
    private final List<FakeNode> nodes;
    private final List<LogMessage> inFlight = new ArrayList<>();
    private final Set<String> cutLinks = new HashSet<>();
    private final Set<String> lostIdentities = new HashSet<>();
    private long nowMillis = 1_000;
    private int nextCommand;

    FakeCluster(int voters) {
        Membership.Builder membership = Membership.newBuilder();
        IntStream.range(0, voters).forEach(node -> membership.addVoters("vm" + node + "/0"));
        LogSnapshot initialSnapshot =
                LogSnapshot.newBuilder().setMembership(membership).build();
        nodes = IntStream.range(0, voters)
                .mapToObj(node ->
                        new FakeNode(new VmId("vm" + node), CLOCK_RATES[node], initialSnapshot, this::send, oracle))
                .toList();
        nodes.forEach(node -> node.start(nowMillis));
    }

    Oracle oracle() {
        return oracle;
    }

    FakeNode node(int number) {
        return nodes.get(Math.floorMod(number, nodes.size()));
    }

    void advance(long millis) {
        nowMillis += millis;
        nodes.stream().filter(FakeNode::isRunning).forEach(node -> {
            node.tick(nowMillis);
            node.flush(FakeNode.CrashPoint.NONE);
        });
        checkAtMostOneDecidingLeader();
    }

    void deliver(int number, boolean duplicate, FakeNode.CrashPoint crashPoint) {
        if (inFlight.isEmpty()) {
            return;
        }
        int index = Math.floorMod(number, inFlight.size());
        LogMessage message = duplicate ? inFlight.get(index) : inFlight.remove(index);
        nodes.stream()
                .filter(node -> node.isRunning() && node.identity().toString().equals(message.getTo()))
                .forEach(node -> {
                    node.replica().receive(message, node.localMillis(nowMillis));
                    node.flush(crashPoint);
                });
        checkAtMostOneDecidingLeader();
    }

    /** Advances the time and delivers the messages in flight, except for about one in {@code lossOneIn}. */
    void run(long millis, int lossSeed, int lossOneIn) {
        advance(millis);
        List<LogMessage> batch = new ArrayList<>(inFlight);
        inFlight.clear();
        for (int index = 0; index < batch.size(); index++) {
            if (Math.floorMod(lossSeed + 31 * index, lossOneIn) != 0) {
                inFlight.add(0, batch.get(index));
                deliver(0, false, FakeNode.CrashPoint.NONE);
            }
        }
    }

    /** Cuts a node's links to all other nodes, in one or both directions. */
    void isolate(int number, boolean outgoing, boolean incoming) {
        for (int other = 0; other < nodes.size(); other++) {
            if (outgoing) {
                cut(number, other);
            }
            if (incoming) {
                cut(other, number);
            }
        }
    }

    void drop(int number) {
        if (!inFlight.isEmpty()) {
            inFlight.remove(Math.floorMod(number, inFlight.size()));
        }
    }

    void propose(int number, FakeNode.CrashPoint crashPoint) {
        FakeNode node = node(number);
        if (node.isRunning()) {
            nextCommand++;
            node.propose("<" + nextCommand + ">", nowMillis);
            node.flush(crashPoint);
        }
    }

    void crash(int number) {
        node(number).crash();
    }

    void restart(int number) {
        if (!node(number).isUp()) {
            node(number).start(nowMillis);
        }
    }

    void pause(int number, boolean paused) {
        node(number).pause(paused);
        checkAtMostOneDecidingLeader();
    }

    void cut(int from, int to) {
        cutLinks.add(node(from).identity().vm() + ">" + node(to).identity().vm());
    }

    void endFaults() {
        cutLinks.clear();
        nodes.forEach(node -> node.pause(false));
        IntStream.range(0, nodes.size()).forEach(this::restart);
        checkAtMostOneDecidingLeader();
    }

    void compact(int number) {
        if (node(number).isRunning()) {
            node(number).compact();
        }
    }

    /** Loses a node's disk, unless an earlier loss is not yet repaired: a majority must keep its disks. */
    void loseDisk(int number) {
        Optional<FakeNode> leader = decidingLeader();
        boolean earlierLossRepaired = leader.isPresent()
                && nodes.stream().allMatch(FakeNode::isRunning)
                && nodes.stream()
                        .allMatch(node -> isVoter(leader.get(), node.identity().toString()))
                && leader.get().replica().membershipCommitted()
                && lostIdentities.stream().noneMatch(lost -> isVoter(leader.get(), lost));
        if (earlierLossRepaired) {
            FakeNode node = node(number);
            lostIdentities.add(node.identity().toString());
            node.loseDisk();
            node.start(nowMillis);
        }
    }

    /** Lets the leader make the next membership change for a node's current identity. */
    void admit(int number) {
        decidingLeader().ifPresent(leader -> {
            MembershipPlan.next(leader.replica(), node(number).identity(), true)
                    .ifPresent(change -> leader.replica().changeMembership(change, leader.localMillis(nowMillis)));
            leader.flush(FakeNode.CrashPoint.NONE);
        });
    }

    /** Lets the leader demote a voter to learner; {@link #admit} promotes it again. */
    void demote(int number) {
        String id = node(number).identity().toString();
        decidingLeader().ifPresent(leader -> {
            Membership current = leader.replica().membership();
            List<String> voters = current.getVotersList().stream()
                    .filter(voter -> !voter.equals(id))
                    .toList();
            boolean noVoterLostItsDisk = current.getVotersList().stream().noneMatch(lostIdentities::contains);
            if (noVoterLostItsDisk && voters.size() < current.getVotersCount() && voters.size() >= 2) {
                Membership next = current.toBuilder()
                        .clearVoters()
                        .addAllVoters(voters)
                        .addLearners(id)
                        .build();
                leader.replica().changeMembership(next, leader.localMillis(nowMillis));
                leader.flush(FakeNode.CrashPoint.NONE);
            }
        });
    }

    void transfer() {
        decidingLeader().ifPresent(leader -> {
            leader.replica().transferLeadership(leader.localMillis(nowMillis));
            leader.flush(FakeNode.CrashPoint.NONE);
        });
    }

    /** Ends all faults, waits, and checks that the cluster accepts a write and has lost no acknowledged command. */
    void endFaultsAndCheck() {
        endFaults();
        settle();
        int before = oracle.acknowledgedCount();
        decidingLeader().ifPresent(leader -> leader.propose("<last>", nowMillis));
        settle();
        assertTrue(oracle.acknowledgedCount() > before, "no command is acknowledged after the faults ended");
        nodes.forEach(node -> oracle.checkAcknowledgedKept(node.state()));
    }

    void settle() {
        for (int step = 0; step < SETTLE_STEPS; step++) {
            run(SETTLE_STEP_MILLIS, 1, Integer.MAX_VALUE);
            admit(step);
        }
    }

    private void send(LogMessage message) {
        String from = ReplicaIdentity.parse(message.getFrom()).vm().name();
        String to = ReplicaIdentity.parse(message.getTo()).vm().name();
        if (!cutLinks.contains(from + ">" + to)) {
            inFlight.add(message);
        }
    }

    private Optional<FakeNode> decidingLeader() {
        return nodes.stream()
                .filter(FakeNode::isRunning)
                .filter(node -> node.replica().mayDecide(node.localMillis(nowMillis)))
                .findFirst();
    }

    /** Returns the number of a node that is leader, or the given number if there is none. */
    int leaderOr(int number) {
        return IntStream.range(0, nodes.size())
                .filter(node ->
                        nodes.get(node).isRunning() && nodes.get(node).replica().role() == Replica.Role.LEADER)
                .findFirst()
                .orElse(number);
    }

    private void checkAtMostOneDecidingLeader() {
        long decidingLeaders = nodes.stream()
                .filter(FakeNode::isRunning)
                .filter(node -> node.replica().mayDecide(node.localMillis(nowMillis)))
                .count();
        assertTrue(decidingLeaders <= 1, "two replicas may decide at the same time");
    }

    private static boolean isVoter(FakeNode leader, String identity) {
        return leader.replica().membership().getVotersList().contains(identity);
    }
}
