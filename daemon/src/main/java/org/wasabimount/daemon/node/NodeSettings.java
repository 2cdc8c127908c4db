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
 * What a node is told at its start.
 *
 * @param vm this VM, named by its address so that its peers can be reached by their names
 * @param domain this VM's failure domain
 * @param peerPort the port on which every node listens for the others
 * @param seeds VMs that held replicas when the settings were written
 * @param firstStart true if the whole deployment starts for the first time, with empty disks
 * @param dataFolder the folder for durable state, empty for an entry VM
 * @param voters how many replicas vote
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

    /** Checks the settings. */
    public NodeSettings {
        Validate.notNull(vm, "vm");
        Validate.positive(peerPort, "peerPort");
        Validate.positive(voters, "voters");
        seeds = List.copyOf(seeds);
    }

    /**
     * Returns where a VM listens for its peers.
     *
     * @param peer the VM
     * @return its address and port
     */
    public InetSocketAddress peerAddress(VmId peer) {
        return new InetSocketAddress(peer.name(), peerPort);
    }
}
