package org.wasabimount.daemon.node;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import org.wasabimount.core.FailureDomainId;
import org.wasabimount.core.Validate;
import org.wasabimount.core.VmId;
import org.wasabimount.core.dispatch.DispatchSettings;

/**
 * The settings of a node.
 *
 * @param vm this VM; VMs are named by their addresses, so that a peer can be reached by its name
 * @param domain this VM's failure domain
 * @param peerPort the port on which every node listens for its peers
 * @param seeds the VMs that held replicas when the settings were written
 * @param firstStart whether the whole deployment starts for the first time, with empty disks
 * @param dataFolder the folder for durable state, empty for an entry VM
 * @param voters the number of replicas that vote
 * @param dispatch the dispatcher's parameters
 */
public record NodeSettings(
        VmId vm,
        FailureDomainId domain,
        int peerPort,
        List<VmId> seeds,
        boolean firstStart,
        Optional<Path> dataFolder,
        int voters,
        DispatchSettings dispatch) {

    /** Validates the settings. */
    public NodeSettings {
        Validate.notNull(vm, "vm");
        Validate.positive(peerPort, "peerPort");
        Validate.positive(voters, "voters");
        seeds = List.copyOf(seeds);
    }

    /**
     * Returns the address on which a VM listens for its peers.
     *
     * @param peer the VM
     * @return its address and port
     */
    public InetSocketAddress peerAddress(VmId peer) {
        return new InetSocketAddress(peer.name(), peerPort);
    }
}
