package org.wasabimount.core.log;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import org.wasabimount.core.VmId;
import org.wasabimount.protocol.log.Membership;

/**
 * Plans the membership changes by which a replica joins a group.
 *
 * <p>The replica first becomes a learner. Once it has caught up, the voter with the identity that its VM had before it
 * lost its disk is removed, and only then is the learner promoted to voter. Each step changes at most one voter, so
 * that any two majorities overlap.
 */
public final class MembershipPlan {

    private static final long MAX_LAG_ENTRIES = 100;

    private MembershipPlan() {}

    /**
     * Returns the next membership change for a replica.
     *
     * @param leader the group's leader
     * @param replica the replica that is to join
     * @param mayVote whether the replica's VM may become a voter of the group
     * @return the membership after the change, or empty if no change is possible now
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
        Optional<String> formerIdentity = formerIdentity(current, replica);
        if (!caughtUp(leader, id) || !mayVote) {
            return Optional.empty();
        }
        if (formerIdentity.isPresent()) {
            return Optional.of(withoutVoter(current, formerIdentity.get()));
        }
        return Optional.of(promoted(current, id));
    }

    /**
     * The target membership of a group whose voters are not listed in the settings.
     *
     * @param voters the target number of voters
     * @param silent returns true for a VM that has been silent for so long that its vote may go to another replica
     */
    public record Target(int voters, Predicate<VmId> silent) {}

    /**
     * Returns the next membership change for a replica of a group for which only the number of voters is configured.
     *
     * @param leader the group's leader
     * @param replica the replica that is to join
     * @param target the target membership
     * @return the membership after the change, or empty if no change is possible now
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
        return caughtUp(leader, replica.toString())
                ? Optional.of(withoutVoter(current, silent.get()))
                : Optional.empty();
    }

    private static boolean caughtUp(Replica leader, String replica) {
        boolean lacksFewEntries = leader.matchIndex(replica) + MAX_LAG_ENTRIES >= leader.lastIndex();
        return leader.matchIndex(replica) > 0 && (lacksFewEntries || leader.lagsLessThanElectionTimeout(replica));
    }

    /** Returns the voter on a replica's VM, usually the identity that the VM had before it lost its disk. */
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
