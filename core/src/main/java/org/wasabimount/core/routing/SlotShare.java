package org.wasabimount.core.routing;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.wasabimount.core.FailureDomainId;
import org.wasabimount.core.VmId;

/**
 * Divides the slots of each backend server among the entry VMs, by a formula that needs no communication.
 *
 * <p>A server's slots are divided among the live entry VMs of its own domain and of the domains that have no server of
 * the service. If there are no such entry VMs, they are divided among all live entry VMs.
 */
final class SlotShare {

    private SlotShare() {}

    /**
     * A live entry VM.
     *
     * @param vm the VM
     * @param domain its failure domain
     */
    record EntryVm(VmId vm, FailureDomainId domain) {}

    /** Returns how many of the server's slots are allotted to the entry VM {@code self}. */
    static int share(
            BackendServer server, VmId self, Collection<EntryVm> entryVms, Set<FailureDomainId> domainsWithServers) {
        List<VmId> owners = owners(server, entryVms, domainsWithServers);
        int position = owners.indexOf(self);
        if (position < 0) {
            return 0;
        }
        int slots = server.announcement().getSlots();
        int rotatedPosition = Math.floorMod(position + server.id().name().hashCode(), owners.size());
        return slots / owners.size() + (rotatedPosition < slots % owners.size() ? 1 : 0);
    }

    private static List<VmId> owners(
            BackendServer server, Collection<EntryVm> entryVms, Set<FailureDomainId> domainsWithServers) {
        FailureDomainId domain = server.domain();
        List<VmId> eligibleVms = entryVms.stream()
                .filter(entryVm -> entryVm.domain().equals(domain) || !domainsWithServers.contains(entryVm.domain()))
                .map(EntryVm::vm)
                .sorted()
                .collect(Collectors.toList());
        return eligibleVms.isEmpty()
                ? entryVms.stream().map(EntryVm::vm).sorted().toList()
                : eligibleVms;
    }
}
