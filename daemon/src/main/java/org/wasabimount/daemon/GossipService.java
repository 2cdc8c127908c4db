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
 * Tells the other entry VMs that this one is alive, and which backend servers announced themselves here.
 *
 * <p>Only announcements that were made at this VM since the last round are passed on: every server announces itself
 * again and again, so a lost frame is made good by the next.
 */
final class GossipService {

    private static final long ALIVE_MILLIS = 2_000;

    private final DaemonSettings settings;
    private final ReplicaIdentity identity;
    private final PeerNetwork network;
    private final RoutingThread routing;
    private final DaemonGroups groups;
    private final BooleanSupplier draining;
    private final Clock clock;
    private final Map<VmId, Long> heardMillis = new ConcurrentHashMap<>();
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

    /** Sends one round and refreshes which VMs are alive. */
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

    /** Takes another VM's round. */
    void receive(VmId from, Gossip gossip) {
        heardMillis.put(from, clock.millis());
        if (gossip.getDraining()) {
            drainingVms.add(from);
        } else {
            drainingVms.remove(from);
        }
        routing.forwardedAnnouncementsReceived(gossip.getBackendsList());
        groups.replicaHeard(ReplicaIdentity.parse(gossip.getReplica()));
    }

    /** Tells whether another VM was heard within the last seconds. */
    boolean heardLately(VmId vm) {
        return heardMillis.getOrDefault(vm, Long.MIN_VALUE) >= clock.millis() - ALIVE_MILLIS;
    }

    /** Returns the VMs that may serve requests, this one included unless it is draining. */
    Map<VmId, FailureDomainId> alive() {
        Map<VmId, FailureDomainId> alive = new LinkedHashMap<>();
        settings.allVms().forEach((vm, domain) -> {
            if (vm.equals(settings.vm()) || heardLately(vm) && !drainingVms.contains(vm)) {
                alive.put(vm, domain);
            }
        });
        return alive;
    }
}
