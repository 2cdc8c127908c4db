package org.wasabimount.daemon;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;

import org.wasabimount.core.Clock;
import org.wasabimount.core.FailureDomainId;
import org.wasabimount.core.VmId;
import org.wasabimount.core.log.ReplicaIdentity;
import org.wasabimount.daemon.peer.PeerNetwork;
import org.wasabimount.daemon.routing.RoutingThread;
import org.wasabimount.daemon.settings.DaemonSettings;
import org.wasabimount.protocol.peer.Envelope;
import org.wasabimount.protocol.peer.Gossip;

/**
 * Periodically informs the other entry VMs that this VM is alive and which backend servers announced themselves to it.
 *
 * <p>A round contains only the announcements that this VM received since the previous round. Every backend server
 * repeats its announcement, so that a later round makes up for a lost frame.
 */
final class GossipService {

    private static final long ALIVE_TIMEOUT_MILLIS = 2_000;

    private final DaemonSettings settings;
    private final ReplicaIdentity identity;
    private final PeerNetwork network;
    private final RoutingThread routing;
    private final DaemonGroups groups;
    private final BooleanSupplier draining;
    private final Clock clock;
    private final Map<VmId, Long> lastSeenMillis = new ConcurrentHashMap<>();
    private final Set<VmId> drainingVms = ConcurrentHashMap.newKeySet();

    GossipService(
            DaemonSettings settings,
            DaemonGroups groups,
            PeerNetwork network,
            RoutingThread routing,
            BooleanSupplier draining,
            Clock clock) {
        this.settings = settings;
        this.identity = groups.identity();
        this.network = network;
        this.routing = routing;
        this.groups = groups;
        this.draining = draining;
        this.clock = clock;
    }

    /** Sends one round of gossip and updates the set of live VMs of the router. */
    void round() {
        routing.takeLocalAnnouncements().thenAccept(announcements -> {
            Gossip gossip = Gossip.newBuilder()
                    .setDomain(settings.domain().name())
                    .setDraining(draining.getAsBoolean())
                    .setReplica(identity.toString())
                    .addAllBackends(announcements)
                    .build();
            network.peers()
                    .forEach(peer -> network.send(peer, Envelope.newBuilder().setGossip(gossip)));
        });
        routing.entryVms(alive());
    }

    /** Handles the gossip of another VM. */
    void receive(VmId from, Gossip gossip) {
        lastSeenMillis.put(from, clock.millis());
        if (gossip.getDraining()) {
            drainingVms.add(from);
        } else {
            drainingVms.remove(from);
        }
        routing.forwardedAnnouncementsReceived(gossip.getBackendsList());
        groups.replicaDiscovered(ReplicaIdentity.parse(gossip.getReplica()));
    }

    /** Returns whether gossip of another VM was received within {@link #ALIVE_TIMEOUT_MILLIS}. */
    boolean recentlySeen(VmId vm) {
        return lastSeenMillis.getOrDefault(vm, Long.MIN_VALUE) >= clock.millis() - ALIVE_TIMEOUT_MILLIS;
    }

    /** Returns this VM and the live VMs that are not draining, with their failure domains. */
    Map<VmId, FailureDomainId> alive() {
        Map<VmId, FailureDomainId> alive = new LinkedHashMap<>();
        settings.allVms().forEach((vm, domain) -> {
            if (vm.equals(settings.vm()) || recentlySeen(vm) && !drainingVms.contains(vm)) {
                alive.put(vm, domain);
            }
        });
        return alive;
    }
}
