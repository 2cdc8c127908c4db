package org.wasabimount.core.log;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import org.wasabimount.core.VmId;
import org.wasabimount.protocol.log.Membership;

/**
 * Plans how a replica comes into a group, one safe step at a time.
 *
 * <p>It is first a learner. Once it has caught up, the voter that the same VM was before it lost its disk is removed, and
 * only then does the learner become a voter. Each step changes one voter, so that any two majorities overlap.
 */
public final class MembershipPlan {

    private static final long MAX_LAG_ENTRIES = 100;

    private MembershipPlan() {}

    /**
     * Plans the next step for a replica.
     *
     * @param leader the group's leader
     * @param replica the replica that was heard of
     * @param mayVote whether the replica's VM is meant to vote in the group
     * @return the members after the step, or nothing if there is none to take now
     */
    public static Optional<Membership> next(Replica leader, ReplicaIdentity replica, boolean mayVote) {
        Membership current = leader.membership();
        String id = replica.toString();
        if (current.getVotersList().contains(id)) {
            return Optional.empty();
        }
        if (!current.getLearnersList().contains(id)) {
            return Optional.of(withLearner(current, replica));
        }
        boolean caughtUp = leader.matchIndex(id) + MAX_LAG_ENTRIES >= leader.lastIndex() && leader.matchIndex(id) > 0;
        Optional<String> formerIdentity = formerIdentity(current, replica);
        if (!caughtUp || !mayVote) {
            return Optional.empty();
        }
        if (formerIdentity.isPresent()) {
            return Optional.of(withoutVoter(current, formerIdentity.get()));
        }
        return Optional.of(promoted(current, id));
    }

    /**
     * What a group without a list of its members is to look like.
     *
     * @param voters how many replicas are to vote
     * @param silent tells which VMs have been silent for so long that their vote may go to another
     */
    public record Target(int voters, Predicate<VmId> silent) {}

    /**
     * Plans the next step for a replica of a group that is told only how many voters it is to have.
     *
     * @param leader the group's leader
     * @param replica the replica that was heard of
     * @param target what the group is to look like
     * @return the members after the step, or nothing if there is none to take now
     */
    public static Optional<Membership> next(Replica leader, ReplicaIdentity replica, Target target) {
        Membership current = leader.membership();
        boolean voterMissing = current.getVotersCount() < target.voters()
                || formerIdentity(current, replica).isPresent();
        Optional<String> silent = current.getVotersList().stream()
                .filter(voter ->
                        target.silent().test(ReplicaIdentity.parse(voter).vm()))
                .findFirst();
        boolean isLearner = current.getLearnersList().contains(replica.toString());
        if (voterMissing || silent.isEmpty() || !isLearner) {
            return next(leader, replica, voterMissing);
        }
        boolean caughtUp = leader.matchIndex(replica.toString()) + MAX_LAG_ENTRIES >= leader.lastIndex();
        return caughtUp ? Optional.of(withoutVoter(current, silent.get())) : Optional.empty();
    }

    private static Optional<String> formerIdentity(Membership current, ReplicaIdentity replica) {
        return current.getVotersList().stream()
                .filter(voter -> ReplicaIdentity.parse(voter).vm().equals(replica.vm()))
                .findFirst();
    }

    private static Membership withLearner(Membership current, ReplicaIdentity replica) {
        List<String> others = current.getLearnersList().stream()
                .filter(learner -> !ReplicaIdentity.parse(learner).vm().equals(replica.vm()))
                .toList();
        return current.toBuilder()
                .clearLearners()
                .addAllLearners(others)
                .addLearners(replica.toString())
                .build();
    }

    private static Membership withoutVoter(Membership current, String voter) {
        List<String> voters =
                current.getVotersList().stream().filter(id -> !id.equals(voter)).toList();
        return current.toBuilder().clearVoters().addAllVoters(voters).build();
    }

    private static Membership promoted(Membership current, String learner) {
        List<String> learners = current.getLearnersList().stream()
                .filter(id -> !id.equals(learner))
                .toList();
        return current.toBuilder()
                .clearLearners()
                .addAllLearners(learners)
                .addVoters(learner)
                .build();
    }
}
