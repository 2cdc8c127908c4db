package org.wasabimount.core.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.Organisations;
import org.wasabimount.core.job.RunId;

/**
 * The part of each organisation's quota that is free: neither held by placed tasks nor by placements that are being committed.
 *
 * <p>Placed tasks hold their size until they have surely ended, also on workers that are silent or while they are being stopped.
 */
final class FreeQuota {

    private final Organisations organisations;
    private final Map<RunId, Proposal> proposals = new HashMap<>();
    private final Map<String, Capacity> proposed = new HashMap<>();

    private record Proposal(String organisation, Capacity size) {}

    FreeQuota(Organisations organisations) {
        this.organisations = organisations;
    }

    /** Returns the free quota of an organisation, negative where it holds more than its quota; empty if it has no quota. */
    Optional<Capacity> of(String organisation) {
        return organisations
                .account(organisation)
                .map(account -> account.quota()
                        .minus(account.used())
                        .minus(proposed.getOrDefault(organisation, Capacity.NONE)));
    }

    /** Records that the placement of a run is being committed. */
    void proposed(RunId run, String organisation, Capacity size) {
        if (proposals.put(run, new Proposal(organisation, size)) == null) {
            proposed.merge(organisation, size, Capacity::plus);
        }
    }

    /** Records that the placement of a run was committed or rejected; returns false if it was not known. */
    boolean settled(RunId run) {
        Proposal proposal = proposals.remove(run);
        if (proposal == null) {
            return false;
        }
        proposed.computeIfPresent(proposal.organisation, (name, sum) -> {
            Capacity rest = sum.minus(proposal.size);
            return rest.equals(Capacity.NONE) ? null : rest;
        });
        return true;
    }
}
