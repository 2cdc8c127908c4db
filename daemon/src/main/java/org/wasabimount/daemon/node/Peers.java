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
 * Keeps track of the other nodes without a list of them.
 *
 * <p>Each node tells the replicas it knows that it is there, and replicas tell whoever tells them. A presence names the
 * replicas that its sender knows, so one reachable seed is enough to learn the rest.
 */
final class Peers {

    private static final System.Logger LOG = System.getLogger("wasabimount.peers");

    /** Silence after which a node counts as away, in milliseconds; three presences. */
    private static final long ALIVE_TIMEOUT_MILLIS = 800;

    /** Silence after which a link is opened anew, in milliseconds: it may be dead without a sign. */
    private static final long RECONNECT_TIMEOUT_MILLIS = 2_500;

    /** Silence after which a node that is no seed is forgotten, in milliseconds. */
    private static final long FORGET_TIMEOUT_MILLIS = 60_000;

    private final NodeSettings settings;
    private final PeerNetwork network;
    private final Supplier<Presence.Builder> ownPresence;
    private final Clock clock;
    private final Map<VmId, Peer> peers = new ConcurrentHashMap<>();
    private volatile Consumer<ReplicaIdentity> replicaListener = replica -> {};

    /** What one other node said last. */
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
     * @param network the links
     * @param ownPresence says what this node tells of itself
     * @param clock monotonic time
     */
    Peers(NodeSettings settings, PeerNetwork network, Supplier<Presence.Builder> ownPresence, Clock clock) {
        this.settings = settings;
        this.network = network;
        this.ownPresence = ownPresence;
        this.clock = clock;
        addSeeds(settings.seeds());
    }

    /** Adds seeds, also those of settings that changed. */
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

    /** Notes that a frame came from a node. */
    void frameReceived(VmId from) {
        Peer peer = getOrAdd(from);
        if (peer != null) {
            peer.lastFrameMillis = clock.millis();
        }
    }

    /** Takes the presence of another node. */
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
            reopenLink(from, peer, "it does not hear this node");
        }
        if (!presence.getReplica().isEmpty()) {
            replicaListener.accept(ReplicaIdentity.parse(presence.getReplica()));
        }
    }

    /** Tells the others that this node is there, and looks after the links. */
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
            reopenLink(vm, peer, "it is silent");
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

    /** Tells whether a node was heard lately. */
    boolean alive(VmId vm) {
        Peer peer = peers.get(vm);
        return peer != null
                && clock.millis() - peer.lastPresenceMillis <= ALIVE_TIMEOUT_MILLIS
                && peer.lastPresenceMillis > 0;
    }

    /** Returns how long a node has been silent, in milliseconds. */
    long silentMillis(VmId vm) {
        Peer peer = peers.get(vm);
        return peer == null ? Long.MAX_VALUE : clock.millis() - Math.max(peer.lastPresenceMillis, peer.connectedMillis);
    }

    /** Returns every node that was heard lately and is not draining. */
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

    /** Returns the replicas' leader as the others see it: first who says so of itself, then who others name. */
    String leader() {
        List<Presence> latestFirst = peers.entrySet().stream()
                .filter(peer -> alive(peer.getKey()))
                .map(Map.Entry::getValue)
                .filter(peer -> !peer.lastPresence.getLeader().isEmpty())
                .sorted(Comparator.comparingLong((Peer peer) -> peer.lastPresenceMillis)
                        .reversed())
                .map(peer -> peer.lastPresence)
                .toList();
        // A leader that was cut off or suspended may have spoken of itself before its successor did.
        Optional<String> selfDeclaredLeader = latestFirst.stream()
                .filter(presence -> presence.getLeader().equals(presence.getReplica()))
                .map(Presence::getLeader)
                .findFirst();
        return selfDeclaredLeader
                .or(() -> latestFirst.stream().map(Presence::getLeader).findFirst())
                .orElse("");
    }

    /** Returns the VMs to tell others of. */
    Stream<String> replicaNames() {
        return replicas().stream().filter(this::alive).map(VmId::name);
    }
}
