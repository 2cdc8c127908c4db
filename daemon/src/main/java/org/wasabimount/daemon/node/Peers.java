package org.wasabimount.daemon.node;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.wasabimount.core.Clock;
import org.wasabimount.core.VmId;
import org.wasabimount.core.log.ReplicaIdentity;
import org.wasabimount.daemon.peer.PeerLinks;
import org.wasabimount.protocol.peer.Envelope;
import org.wasabimount.protocol.peer.Presence;

/**
 * Discovers and tracks the other nodes; no node has a full list of them in its settings.
 *
 * <p>Each node sends its presence to the replicas that it knows, and replicas send theirs to every node that has
 * contacted them: in every round between the leader and each other node and between replicas and voters, which must
 * notice quickly that the other is lost, and seldom between all others. Changes are announced at once. A presence sent
 * by a replica lists the replicas known to it, so one reachable seed is enough to discover the others.
 */
final class Peers {

    private static final System.Logger LOG = System.getLogger("wasabimount.peers");

    /** Interval of the rounds, in milliseconds: the longest time between presences of the leader. */
    static final long ROUND_INTERVAL_MILLIS = 250;

    /** Interval of presences between nodes of which neither leads nor votes, in milliseconds: twelve rounds. */
    private static final long SELDOM_INTERVAL_MILLIS = 3_000;

    /** Silence after which a node is considered unreachable, in milliseconds: about three rounds. */
    private static final long ALIVE_TIMEOUT_MILLIS = 800;

    /** Silence after which a link is reopened, in milliseconds, as it may be broken without an error. */
    private static final long RECONNECT_TIMEOUT_MILLIS = 2_500;

    /**
     * Silence after which a node that sends its presence seldom is considered unreachable and the link to it is
     * reopened, in milliseconds: three seldom intervals.
     */
    private static final long SELDOM_TIMEOUT_MILLIS = 9_000;

    /** Silence after which a node that is not a seed is forgotten, in milliseconds. */
    private static final long FORGET_TIMEOUT_MILLIS = 60_000;

    private final NodeSettings settings;
    private final PeerLinks links;
    private final Self self;
    private final Clock clock;
    private final Map<VmId, Peer> peers = new ConcurrentHashMap<>();
    private volatile Consumer<ReplicaIdentity> replicaListener = replica -> {};
    private volatile Runnable leaderListener = () -> {};
    private volatile boolean leading;
    private volatile long leadingChangedMillis;
    private boolean announcedDraining;

    /** What the tracker has to know about its own node. */
    interface Self {

        /** Returns the node's presence without the fields that depend on the receiver. */
        Presence presence();

        /** Returns the identity of the leader known to the node, empty if none is known. */
        String leader();

        /** Returns the VMs of the voters known to the node, empty if it holds no replica. */
        Set<VmId> voters();
    }

    /** The state of another node. */
    private static final class Peer {
        private volatile Presence lastPresence = Presence.getDefaultInstance();
        private volatile long lastPresenceMillis;
        private volatile long lastFrameMillis;
        private volatile long connectedMillis;
        private volatile boolean alive;
        /** When a presence was last sent on the current connection, zero if none was. */
        private volatile long sentMillis;
        /** When the oldest presence was sent of which the node has not confirmed the receipt, zero if none. */
        private volatile long unconfirmedMillis;

        private volatile List<String> sentReplicaNames = List.of();
        private volatile long sentReplicaNamesMillis;

        private boolean replica() {
            return !lastPresence.getReplica().isEmpty();
        }

        private boolean leads() {
            return replica() && lastPresence.getLeader().equals(lastPresence.getReplica());
        }
    }

    /**
     * Creates the tracker.
     *
     * @param settings the node's settings
     * @param links the links to the other nodes
     * @param self the node
     * @param clock the monotonic clock
     */
    Peers(NodeSettings settings, PeerLinks links, Self self, Clock clock) {
        this.settings = settings;
        this.links = links;
        this.self = self;
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

    /**
     * Sets the listener that is called after each presence. Also a presence that repeats what its sender said before may
     * change which leader is known, as the latest counts.
     */
    void setLeaderListener(Runnable listener) {
        leaderListener = listener;
    }

    private Peer getOrAdd(VmId vm) {
        if (vm.equals(settings.vm())) {
            return null;
        }
        return peers.computeIfAbsent(vm, absent -> {
            Peer peer = new Peer();
            peer.connectedMillis = clock.millis();
            links.connect(vm, settings.peerAddress(vm));
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
        confirmReceipt(from, peer, presence.getHeardMillisAgo(), nowMillis);
        if (peer.replica()) {
            replicaListener.accept(ReplicaIdentity.parse(presence.getReplica()));
        }
        leaderListener.run();
    }

    /** Reopens the link to a node that has not received what was sent on it. */
    private void confirmReceipt(VmId vm, Peer peer, long heardMillisAgo, long nowMillis) {
        long unconfirmedMillis = peer.unconfirmedMillis;
        boolean confirmed = heardMillisAgo >= 0 && nowMillis - heardMillisAgo >= unconfirmedMillis;
        if (confirmed) {
            peer.unconfirmedMillis = 0;
        } else if (unconfirmedMillis > 0
                && nowMillis - unconfirmedMillis > RECONNECT_TIMEOUT_MILLIS
                && nowMillis - peer.connectedMillis > RECONNECT_TIMEOUT_MILLIS) {
            reopenLink(vm, peer, "the peer receives no frames from this node");
        }
    }

    /** Announces this node to a peer to which a connection was just established. */
    void linkOpened(VmId vm) {
        Peer peer = peers.get(vm);
        if (peer != null) {
            peer.sentMillis = 0;
            peer.unconfirmedMillis = 0;
            peer.sentReplicaNames = List.of();
            if (shouldSendPresence(vm, peer)) {
                sendPresence(vm, peer, self.presence(), replicaNames(), clock.millis());
            }
        }
    }

    /**
     * Sends this node's presence to the nodes that are due to receive it, and checks the other nodes and the links to
     * them. Called at each {@link #ROUND_INTERVAL_MILLIS}, and whenever something changed that others must know.
     */
    synchronized void round() {
        long nowMillis = clock.millis();
        Presence presence = self.presence();
        boolean changed = recordChange(presence, nowMillis);
        List<String> replicaNames = replicaNames();
        Set<VmId> frequentReceivers = frequentReceivers();
        boolean toAll = changed || leading;
        peers.forEach((vm, peer) -> {
            boolean due = toAll
                    || frequentReceivers.contains(vm)
                    || peer.sentMillis == 0
                    || nowMillis - peer.sentMillis >= SELDOM_INTERVAL_MILLIS;
            if (due && shouldSendPresence(vm, peer)) {
                sendPresence(vm, peer, presence, replicaNames, nowMillis);
            }
            checkPeer(vm, peer, nowMillis);
        });
    }

    /** Returns whether this node has begun or ceased to lead, or begun to drain, since the previous call. */
    private boolean recordChange(Presence presence, long nowMillis) {
        boolean nowLeading =
                !presence.getReplica().isEmpty() && presence.getLeader().equals(presence.getReplica());
        boolean changed = nowLeading != leading || presence.getDraining() != announcedDraining;
        if (nowLeading != leading) {
            leadingChangedMillis = nowMillis;
        }
        leading = nowLeading;
        announcedDraining = presence.getDraining();
        return changed;
    }

    /** Returns the nodes that must notice quickly if this one is lost, unless it leads: then all must. */
    private Set<VmId> frequentReceivers() {
        String leader = self.leader();
        if (leader.isEmpty()) {
            return Set.copyOf(replicas());
        }
        Set<VmId> receivers = new HashSet<>(self.voters());
        receivers.add(ReplicaIdentity.parse(leader).vm());
        return receivers;
    }

    private boolean shouldSendPresence(VmId vm, Peer peer) {
        return settings.dataFolder().isPresent() || mayHoldReplica(vm, peer);
    }

    private void sendPresence(VmId vm, Peer peer, Presence presence, List<String> replicaNames, long nowMillis) {
        Presence.Builder message = presence.toBuilder()
                .setHeardMillisAgo(peer.lastFrameMillis == 0 ? -1 : nowMillis - peer.lastFrameMillis);
        boolean listsReplicas = settings.dataFolder().isPresent()
                && (!replicaNames.equals(peer.sentReplicaNames)
                        || nowMillis - peer.sentReplicaNamesMillis >= SELDOM_INTERVAL_MILLIS);
        if (listsReplicas) {
            message.addAllReplicaVms(replicaNames);
        }
        if (links.send(vm, Envelope.newBuilder().setPresence(message))) {
            peer.sentMillis = nowMillis;
            if (listsReplicas) {
                peer.sentReplicaNames = replicaNames;
                peer.sentReplicaNamesMillis = nowMillis;
            }
            if (peer.unconfirmedMillis == 0) {
                peer.unconfirmedMillis = nowMillis;
            }
        }
    }

    private void checkPeer(VmId vm, Peer peer, long nowMillis) {
        boolean frequent = sendsFrequently(peer);
        long silentMillis = nowMillis - peer.lastPresenceMillis;
        long sinceExpectedMillis = frequent ? nowMillis - leadingChangedMillis : Long.MAX_VALUE;
        long lostTimeoutMillis = frequent ? ALIVE_TIMEOUT_MILLIS : SELDOM_TIMEOUT_MILLIS;
        long reconnectTimeoutMillis = frequent ? RECONNECT_TIMEOUT_MILLIS : SELDOM_TIMEOUT_MILLIS;
        if (peer.alive && Math.min(silentMillis, sinceExpectedMillis) > lostTimeoutMillis) {
            peer.alive = false;
            LOG.log(System.Logger.Level.INFO, "PEER lost vm={0} silentMillis={1}", vm, Long.toString(silentMillis));
        }
        if (silentMillis > FORGET_TIMEOUT_MILLIS
                && nowMillis - peer.connectedMillis > FORGET_TIMEOUT_MILLIS
                && !settings.seeds().contains(vm)) {
            peers.remove(vm);
            links.disconnect(vm);
        } else if (silentMillis > reconnectTimeoutMillis
                && sinceExpectedMillis > ALIVE_TIMEOUT_MILLIS
                && nowMillis - peer.connectedMillis > RECONNECT_TIMEOUT_MILLIS) {
            reopenLink(vm, peer, "no presence received");
        }
    }

    /** Returns whether a node sends its presence to this one in every round. */
    private boolean sendsFrequently(Peer peer) {
        return leading || peer.leads() || peer.replica() && self.voters().contains(settings.vm());
    }

    private void reopenLink(VmId vm, Peer peer, String reason) {
        LOG.log(System.Logger.Level.DEBUG, "PEER link opened anew vm={0} reason={1}", vm, reason);
        peer.connectedMillis = clock.millis();
        links.reconnect(vm);
    }

    private boolean mayHoldReplica(VmId vm, Peer peer) {
        return peer.lastPresenceMillis == 0 || !peer.lastPresence.getReplica().isEmpty();
    }

    /** Returns whether a presence of a node was received within the last {@link #ALIVE_TIMEOUT_MILLIS}. */
    boolean alive(VmId vm) {
        Peer peer = peers.get(vm);
        return peer != null && alive(peer, clock.millis());
    }

    private static boolean alive(Peer peer, long nowMillis) {
        return nowMillis - peer.lastPresenceMillis <= ALIVE_TIMEOUT_MILLIS && peer.lastPresenceMillis > 0;
    }

    /** Returns the time since a node's last frame or last link opening, whichever is later, in milliseconds. */
    long silentMillis(VmId vm) {
        Peer peer = peers.get(vm);
        return peer == null ? Long.MAX_VALUE : clock.millis() - Math.max(peer.lastFrameMillis, peer.connectedMillis);
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
        long nowMillis = clock.millis();
        Peer selfDeclaredLeader = null;
        Peer latest = null;
        for (Peer peer : peers.values()) {
            if (alive(peer, nowMillis) && !peer.lastPresence.getLeader().isEmpty()) {
                // The latest one, as a leader that was cut off or suspended may have reported itself before its
                // successor did.
                latest = later(peer, latest);
                selfDeclaredLeader = peer.leads() ? later(peer, selfDeclaredLeader) : selfDeclaredLeader;
            }
        }
        Peer source = selfDeclaredLeader == null ? latest : selfDeclaredLeader;
        return source == null ? "" : source.lastPresence.getLeader();
    }

    private static Peer later(Peer peer, Peer other) {
        return other == null || peer.lastPresenceMillis > other.lastPresenceMillis ? peer : other;
    }

    /** Returns the names of the VMs to list in this node's presence: those that may hold replicas and are not lost. */
    private List<String> replicaNames() {
        return peers.entrySet().stream()
                .filter(peer -> peer.getValue().alive && peer.getValue().replica())
                .map(peer -> peer.getKey().name())
                .sorted()
                .toList();
    }
}
