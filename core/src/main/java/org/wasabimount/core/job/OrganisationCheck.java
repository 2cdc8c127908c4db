package org.wasabimount.core.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.wasabimount.core.Refusal;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.protocol.cell.Organisation;

import com.google.protobuf.ByteString;

/** Validates the organisations of a queue table before it takes effect. */
final class OrganisationCheck {

    /** Maximum number of organisations; bounds the leader's state and the cost of one change of the table. */
    static final int MAX_ORGANISATIONS = 4_096;

    private OrganisationCheck() {}

    /** Returns the reason for refusing the organisations, empty if they are valid. */
    static Optional<Refusal> check(List<Organisation> organisations) {
        if (organisations.size() > MAX_ORGANISATIONS) {
            return Optional.of(
                    Refusal.of(ResultCode.TOO_LARGE, "there are more than " + MAX_ORGANISATIONS + " organisations"));
        }
        Set<String> names = new HashSet<>();
        Map<ByteString, String> ownersBySecret = new HashMap<>();
        return organisations.stream()
                .map(organisation -> problem(organisation, names, ownersBySecret))
                .flatMap(Optional::stream)
                .findFirst();
    }

    private static Optional<Refusal> problem(
            Organisation organisation, Set<String> names, Map<ByteString, String> ownersBySecret) {
        String name = "organisation \"" + organisation.getName() + "\" ";
        if (organisation.getName().isEmpty() || !names.add(organisation.getName())) {
            return refuse(name + "has no name or is defined more than once");
        }
        if (organisation.getWeight() < 0) {
            return refuse(name + "has the negative weight " + organisation.getWeight());
        }
        if (!Capacity.NONE.fitsIn(Capacity.of(organisation.getQuota()))) {
            return refuse(name + "has a negative quota");
        }
        return organisation.getSecretHashesList().stream()
                .map(hash -> ownersBySecret.putIfAbsent(hash, organisation.getName()))
                .filter(owner -> owner != null && !owner.equals(organisation.getName()))
                .findFirst()
                .flatMap(owner -> refuse(name + "shares a secret with organisation \"" + owner + "\""));
    }

    private static Optional<Refusal> refuse(String detail) {
        return Optional.of(Refusal.of(ResultCode.INVALID_VALUE, detail));
    }
}
