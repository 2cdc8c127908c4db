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
    private static final long ALIVE_MILLIS = 800;

    /** Silence after which a link is opened anew, in milliseconds: it may be dead without a sign. */
    private static final long RECONNECT_MILLIS = 2_500;

    /** Silence after which a node that is no seed is forgotten, in milliseconds. */
    private static final long FORGET_MILLIS = 60_000;

    private final NodeSettings settings;
    private final PeerNetwork network;
    private final Supplier<Presence.Builder> self;
    private final Clock clock;
    private final Map<VmId, Peer> peers = new ConcurrentHashMap<>();
    private volatile Consumer<ReplicaIdentity> replicaHeard = replica -> {};

    /** What one other node said last. */
    private static final class Peer {
        private volatile Presence last = Presence.getDefaultInstance();
        private volatile long heardMillis;
        private volatile long frameMillis;
        private volatile long linkedMillis;
        private volatile boolean alive;
    }

    /**
     * Creates the tracker.
     *
     * @param settings the node's settings
     * @param network the links
     * @param self says what this node tells of itself
     * @param clock monotonic time
     */
    Peers(NodeSettings settings, PeerNetwork network, Supplier<Presence.Builder> self, Clock clock) {
        this.settings = settings;
        this.network = network;
        this.self = self;
        this.clock = clock;
        addSeeds(settings.seeds());
    }

    /** Adds seeds, also those of settings that changed. */
    void addSeeds(Collection<VmId> seeds) {
        seeds.forEach(this::meet);
    }

    void onReplica(Consumer<ReplicaIdentity> listener) {
        replicaHeard = listener;
    }

    private Peer meet(VmId vm) {
        if (vm.equals(settings.vm())) {
            return null;
        }
        return peers.computeIfAbsent(vm, absent -> {
            Peer peer = new Peer();
            peer.linkedMillis = clock.millis();
            network.connect(vm, settings.peerAddress(vm));
            return peer;
        });
    }

    /** Notes that a frame came from a node. */
    void heard(VmId from) {
        Peer peer = meet(from);
        if (peer != null) {
            peer.frameMillis = clock.millis();
        }
    }

    /** Takes the presence of another node. */
    void receive(VmId from, Presence presence) {
        Peer peer = meet(from);
        if (peer == null) {
            return;
        }
        long nowMillis = clock.millis();
        peer.last = presence;
        peer.heardMillis = nowMillis;
        if (!peer.alive) {
            peer.alive = true;
            LOG.log(
                    System.Logger.Level.INFO,
                    "PEER regained vm={0} replica={1} leader={2}",
                    from,
                    presence.getReplica(),
                    presence.getLeader());
        }
        presence.getReplicaVmsList().stream().map(VmId::new).forEach(this::meet);
        boolean deaf =
                presence.getHeardMillisAgo() > RECONNECT_MILLIS && nowMillis - peer.linkedMillis > RECONNECT_MILLIS;
        if (deaf) {
            relink(from, peer, "it does not hear this node");
        }
        if (!presence.getReplica().isEmpty()) {
            replicaHeard.accept(ReplicaIdentity.parse(presence.getReplica()));
        }
    }

    /** Tells the others that this node is there, and looks after the links. */
    void round() {
        long nowMillis = clock.millis();
        boolean replica = settings.dataFolder().isPresent();
        peers.forEach((vm, peer) -> {
            boolean interested = replica || holdsReplica(vm, peer);
            if (interested) {
                long agoMillis = peer.frameMillis == 0 ? -1 : nowMillis - peer.frameMillis;
                network.send(vm, Envelope.newBuilder().setPresence(self.get().setHeardMillisAgo(agoMillis)));
            }
            watch(vm, peer, nowMillis);
        });
    }

    private void watch(VmId vm, Peer peer, long nowMillis) {
        long silentMillis = nowMillis - peer.heardMillis;
        if (peer.alive && silentMillis > ALIVE_MILLIS) {
            peer.alive = false;
            LOG.log(System.Logger.Level.INFO, "PEER lost vm={0} silentMillis={1}", vm, Long.toString(silentMillis));
        }
        if (silentMillis > FORGET_MILLIS
                && nowMillis - peer.linkedMillis > FORGET_MILLIS
                && !settings.seeds().contains(vm)) {
            peers.remove(vm);
            network.disconnect(vm);
        } else if (silentMillis > RECONNECT_MILLIS && nowMillis - peer.linkedMillis > RECONNECT_MILLIS) {
            relink(vm, peer, "it is silent");
        }
    }

    private void relink(VmId vm, Peer peer, String reason) {
        LOG.log(System.Logger.Level.DEBUG, "PEER link opened anew vm={0} reason={1}", vm, reason);
        peer.linkedMillis = clock.millis();
        network.reconnect(vm);
    }

    private boolean holdsReplica(VmId vm, Peer peer) {
        return peer.heardMillis == 0 || !peer.last.getReplica().isEmpty();
    }

    /** Tells whether a node was heard lately. */
    boolean alive(VmId vm) {
        Peer peer = peers.get(vm);
        return peer != null && clock.millis() - peer.heardMillis <= ALIVE_MILLIS && peer.heardMillis > 0;
    }

    /** Returns how long a node has been silent, in milliseconds. */
    long silentMillis(VmId vm) {
        Peer peer = peers.get(vm);
        return peer == null ? Long.MAX_VALUE : clock.millis() - Math.max(peer.heardMillis, peer.linkedMillis);
    }

    /** Returns every node that was heard lately and is not draining. */
    Set<VmId> present() {
        return peers.entrySet().stream()
                .filter(peer -> alive(peer.getKey()) && !peer.getValue().last.getDraining())
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** Returns the nodes that may hold replicas. */
    List<VmId> replicas() {
        return peers.entrySet().stream()
                .filter(peer -> holdsReplica(peer.getKey(), peer.getValue()))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /** Returns the replicas' leader as the others see it: first who says so of itself, then who others name. */
    String leader() {
        List<Presence> latestFirst = peers.entrySet().stream()
                .filter(peer -> alive(peer.getKey()))
                .map(Map.Entry::getValue)
                .filter(peer -> !peer.last.getLeader().isEmpty())
                .sorted(Comparator.comparingLong((Peer peer) -> peer.heardMillis)
                        .reversed())
                .map(peer -> peer.last)
                .toList();
        // A leader that was cut off or suspended may have spoken of itself before its successor did.
        Optional<String> itself = latestFirst.stream()
                .filter(presence -> presence.getLeader().equals(presence.getReplica()))
                .map(Presence::getLeader)
                .findFirst();
        return itself.or(() -> latestFirst.stream().map(Presence::getLeader).findFirst())
                .orElse("");
    }

    /** Returns the VMs to tell others of. */
    Stream<String> replicaNames() {
        return replicas().stream().filter(this::alive).map(VmId::name);
    }
}
