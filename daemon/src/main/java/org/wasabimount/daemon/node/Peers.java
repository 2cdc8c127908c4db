package org.wasabimount.daemon.node;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.wasabimount.core.Clock;
import org.wasabimount.core.VmId;
import org.wasabimount.core.log.ReplicaIdentity;
import org.wasabimount.daemon.peer.PeerNetwork;
import org.wasabimount.protocol.peer.Envelope;
import org.wasabimount.protocol.peer.Presence;

/**
 * Discovers and tracks the other nodes; no node has a full list of them in its settings.
 *
 * <p>Each node sends its presence to the replicas that it knows, and replicas send theirs to every node that has
 * contacted them. A presence sent by a replica lists the replicas known to it, so one reachable seed is enough to
 * discover the others.
 */
final class Peers {

    private static final System.Logger LOG = System.getLogger("wasabimount.peers");

    /** Silence after which a node is considered unreachable, in milliseconds: about three presence intervals. */
    private static final long ALIVE_TIMEOUT_MILLIS = 800;

    /** Silence after which a link is reopened, in milliseconds, as it may be broken without an error. */
    private static final long RECONNECT_TIMEOUT_MILLIS = 2_500;

    /** Silence after which a node that is not a seed is forgotten, in milliseconds. */
    private static final long FORGET_TIMEOUT_MILLIS = 60_000;

    private final NodeSettings settings;
    private final PeerNetwork network;
    private final Supplier<Presence.Builder> ownPresence;
    private final Clock clock;
    private final Map<VmId, Peer> peers = new ConcurrentHashMap<>();
    private volatile Consumer<ReplicaIdentity> replicaListener = replica -> {};

    /** The state of another node. */
    private static final class Peer {
        private volatile Presence lastPresence = Presence.getDefaultInstance();
        private volatile long lastPresenceMillis;
        private volatile long lastFrameMillis;
        private volatile long connectedMillis;
        private volatile boolean alive;
    }

    /**
     * Creates the tracker.
     *
     * @param settings the node's settings
     * @param network the links to the other nodes
     * @param ownPresence supplies this node's presence
     * @param clock the monotonic clock
     */
    Peers(NodeSettings settings, PeerNetwork network, Supplier<Presence.Builder> ownPresence, Clock clock) {
        this.settings = settings;
        this.network = network;
        this.ownPresence = ownPresence;
        this.clock = clock;
        addSeeds(settings.seeds());
    }

    /** Adds seeds, either the initial ones or those of changed settings. */
    void addSeeds(Collection<VmId> seeds) {
        seeds.forEach(this::getOrAdd);
    }

    void setReplicaListener(Consumer<ReplicaIdentity> listener) {
        replicaListener = listener;
    }

    private Peer getOrAdd(VmId vm) {
        if (vm.equals(settings.vm())) {
            return null;
        }
        return peers.computeIfAbsent(vm, absent -> {
            Peer peer = new Peer();
            peer.connectedMillis = clock.millis();
            network.connect(vm, settings.peerAddress(vm));
            return peer;
        });
    }

    /** Records that a frame was received from a node. */
    void frameReceived(VmId from) {
        Peer peer = getOrAdd(from);
        if (peer != null) {
            peer.lastFrameMillis = clock.millis();
        }
    }

    /** Handles the presence of another node. */
    void receive(VmId from, Presence presence) {
        Peer peer = getOrAdd(from);
        if (peer == null) {
            return;
        }
        long nowMillis = clock.millis();
        peer.lastPresence = presence;
        peer.lastPresenceMillis = nowMillis;
        if (!peer.alive) {
            peer.alive = true;
            LOG.log(
                    System.Logger.Level.INFO,
                    "PEER regained vm={0} replica={1} leader={2}",
                    from,
                    presence.getReplica(),
                    presence.getLeader());
        }
        presence.getReplicaVmsList().stream().map(VmId::new).forEach(this::getOrAdd);
        boolean peerReceivesNothing = presence.getHeardMillisAgo() > RECONNECT_TIMEOUT_MILLIS
                && nowMillis - peer.connectedMillis > RECONNECT_TIMEOUT_MILLIS;
        if (peerReceivesNothing) {
            reopenLink(from, peer, "the peer receives no frames from this node");
        }
        if (!presence.getReplica().isEmpty()) {
            replicaListener.accept(ReplicaIdentity.parse(presence.getReplica()));
        }
    }

    /** Sends this node's presence and checks the other nodes and the links to them. */
    void round() {
        long nowMillis = clock.millis();
        boolean replica = settings.dataFolder().isPresent();
        peers.forEach((vm, peer) -> {
            boolean shouldSendPresence = replica || mayHoldReplica(vm, peer);
            if (shouldSendPresence) {
                long sinceLastFrameMillis = peer.lastFrameMillis == 0 ? -1 : nowMillis - peer.lastFrameMillis;
                network.send(
                        vm,
                        Envelope.newBuilder().setPresence(ownPresence.get().setHeardMillisAgo(sinceLastFrameMillis)));
            }
            checkPeer(vm, peer, nowMillis);
        });
    }

    private void checkPeer(VmId vm, Peer peer, long nowMillis) {
        long silentMillis = nowMillis - peer.lastPresenceMillis;
        if (peer.alive && silentMillis > ALIVE_TIMEOUT_MILLIS) {
            peer.alive = false;
            LOG.log(System.Logger.Level.INFO, "PEER lost vm={0} silentMillis={1}", vm, Long.toString(silentMillis));
        }
        if (silentMillis > FORGET_TIMEOUT_MILLIS
                && nowMillis - peer.connectedMillis > FORGET_TIMEOUT_MILLIS
                && !settings.seeds().contains(vm)) {
            peers.remove(vm);
            network.disconnect(vm);
        } else if (silentMillis > RECONNECT_TIMEOUT_MILLIS
                && nowMillis - peer.connectedMillis > RECONNECT_TIMEOUT_MILLIS) {
            reopenLink(vm, peer, "no presence received");
        }
    }

    private void reopenLink(VmId vm, Peer peer, String reason) {
        LOG.log(System.Logger.Level.DEBUG, "PEER link opened anew vm={0} reason={1}", vm, reason);
        peer.connectedMillis = clock.millis();
        network.reconnect(vm);
    }

    private boolean mayHoldReplica(VmId vm, Peer peer) {
        return peer.lastPresenceMillis == 0 || !peer.lastPresence.getReplica().isEmpty();
    }

    /** Returns whether a presence of a node was received within the last {@link #ALIVE_TIMEOUT_MILLIS}. */
    boolean alive(VmId vm) {
        Peer peer = peers.get(vm);
        return peer != null
                && clock.millis() - peer.lastPresenceMillis <= ALIVE_TIMEOUT_MILLIS
                && peer.lastPresenceMillis > 0;
    }

    /** Returns the time since a node's last presence or last link opening, whichever is later, in milliseconds. */
    long silentMillis(VmId vm) {
        Peer peer = peers.get(vm);
        return peer == null ? Long.MAX_VALUE : clock.millis() - Math.max(peer.lastPresenceMillis, peer.connectedMillis);
    }

    /** Returns the nodes that are alive and not draining. */
    Set<VmId> available() {
        return peers.entrySet().stream()
                .filter(peer ->
                        alive(peer.getKey()) && !peer.getValue().lastPresence.getDraining())
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** Returns the nodes that may hold replicas. */
    List<VmId> replicas() {
        return peers.entrySet().stream()
                .filter(peer -> mayHoldReplica(peer.getKey(), peer.getValue()))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /**
     * Returns the leader according to the other nodes: preferably one that reports itself as the leader, otherwise one
     * that another node reports; empty if there is none.
     */
    String leader() {
        List<Presence> latestFirst = peers.entrySet().stream()
                .filter(peer -> alive(peer.getKey()))
                .map(Map.Entry::getValue)
                .filter(peer -> !peer.lastPresence.getLeader().isEmpty())
                .sorted(Comparator.comparingLong((Peer peer) -> peer.lastPresenceMillis)
                        .reversed())
                .map(peer -> peer.lastPresence)
                .toList();
        // Latest first, as a leader that was cut off or suspended may have reported itself before its successor did.
        Optional<String> selfDeclaredLeader = latestFirst.stream()
                .filter(presence -> presence.getLeader().equals(presence.getReplica()))
                .map(Presence::getLeader)
                .findFirst();
        return selfDeclaredLeader
                .or(() -> latestFirst.stream().map(Presence::getLeader).findFirst())
                .orElse("");
    }

    /** Returns the names of the VMs to list in this node's presence: those that are alive and may hold replicas. */
    Stream<String> replicaNames() {
        return replicas().stream().filter(this::alive).map(VmId::name);
    }
}
