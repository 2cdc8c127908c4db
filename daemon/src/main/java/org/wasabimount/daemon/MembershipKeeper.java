package org.wasabimount.daemon;

import java.util.List;
import java.util.Optional;

import org.wasabimount.core.log.Replica;
import org.wasabimount.core.log.ReplicaIdentity;
import org.wasabimount.protocol.log.Membership;

/**
 * Brings replicas into a group one step at a time: first as a learner, then in place of the voter that the same VM was
 * before it lost its disk, once the learner has caught up.
 */
final class MembershipKeeper {

    private static final System.Logger LOG = System.getLogger("wasabimount.member");
    private static final long MAX_LAG_ENTRIES = 100;

    /** Takes the next step for a replica that was heard of. Called on the leader's thread. */
    void heard(Replica leader, ReplicaIdentity replica, boolean mayVote, long nowMillis) {
        next(leader, replica, mayVote).ifPresent(change -> {
            if (leader.changeMembership(change, nowMillis) > 0) {
                LOG.log(
                        System.Logger.Level.INFO,
                        "MEMBER voters {0}, learners {1}",
                        change.getVotersList(),
                        change.getLearnersList());
            }
        });
    }

    private static Optional<Membership> next(Replica leader, ReplicaIdentity replica, boolean mayVote) {
        Membership current = leader.membership();
        String id = replica.toString();
        if (current.getVotersList().contains(id)) {
            return Optional.empty();
        }
        if (!current.getLearnersList().contains(id)) {
            return Optional.of(withLearner(current, replica));
        }
        boolean caughtUp = leader.matchIndex(id) + MAX_LAG_ENTRIES >= leader.lastIndex() && leader.matchIndex(id) > 0;
        Optional<String> formerSelf = current.getVotersList().stream()
                .filter(voter -> ReplicaIdentity.parse(voter).vm().equals(replica.vm()))
                .findFirst();
        if (!caughtUp || !mayVote) {
            return Optional.empty();
        }
        if (formerSelf.isPresent()) {
            return Optional.of(withoutVoter(current, formerSelf.get()));
        }
        return Optional.of(promoted(current, id));
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
