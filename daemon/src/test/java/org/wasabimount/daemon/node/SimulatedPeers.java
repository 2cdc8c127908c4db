package org.wasabimount.daemon.node;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.BooleanSupplier;

import org.wasabimount.core.FailureDomainId;
import org.wasabimount.core.VmId;
import org.wasabimount.core.dispatch.DispatchSettings;
import org.wasabimount.core.log.ReplicaIdentity;
import org.wasabimount.daemon.peer.PeerLinks;
import org.wasabimount.protocol.peer.Envelope;
import org.wasabimount.protocol.peer.Presence;

/** The {@link Peers} of a cell in virtual time, with links that can be cut silently. */
final class SimulatedPeers {

    static final long LINK_DELAY_MILLIS = 2;

    private final Map<VmId, Node> nodes = new LinkedHashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
    private final Set<VmId> voters;
    private final List<VmId> seeds;
    private long nowMillis = 1_000;
    private long eventCount;
    private long messageCount;
    private long byteCount;

    private record Event(long atMillis, long number, Runnable task) {}

    SimulatedPeers(List<VmId> seeds) {
        this.seeds = seeds;
        this.voters = Set.copyOf(seeds);
    }

    /** One node with its links. */
    final class Node implements PeerLinks, Peers.Self {

        private final VmId vm;
        private final boolean replica;
        private final Peers peers;
        private final Set<VmId> upLinks = new HashSet<>();
        private final Set<VmId> silentLinks = new HashSet<>();
        private String groupLeader = "";
        private String lastSeenLeader = "";
        private boolean draining;
        private boolean stopped;
        private int reconnects;
        private final List<String> followedLeaders = new ArrayList<>();

        private Node(VmId vm, boolean replica, List<VmId> seeds) {
            this.vm = vm;
            this.replica = replica;
            NodeSettings settings = new NodeSettings(
                    vm,
                    new FailureDomainId("z"),
                    1,
                    seeds,
                    true,
                    replica ? Optional.of(Path.of("unused")) : Optional.empty(),
                    voters.size(),
                    new DispatchSettings(6_000, 3_000, 120_000, 2_000, 200, 1_500, 3_000));
            this.peers = new Peers(settings, this, this, () -> nowMillis);
            peers.setLeaderListener(this::followLeader);
        }

        Peers peers() {
            return peers;
        }

        /** Returns all leaders that were known one after another. */
        List<String> followedLeaders() {
            return followedLeaders;
        }

        int reconnects() {
            return reconnects;
        }

        String identity() {
            return new ReplicaIdentity(vm, "0").toString();
        }

        /** Makes this replica know a leader of its group. */
        void follow(String identity) {
            groupLeader = identity;
            followLeader();
        }

        void drain() {
            draining = true;
            peers.round();
        }

        /** Drops all frames on the current connection to a node without an error, until it is opened anew. */
        void silenceLinkTo(Node other) {
            silentLinks.add(other.vm);
        }

        private void run() {
            if (!stopped) {
                peers.round();
                followLeader();
                schedule(Peers.ROUND_INTERVAL_MILLIS, this::run);
            }
        }

        private void followLeader() {
            if (!leader().equals(lastSeenLeader)) {
                lastSeenLeader = leader();
                followedLeaders.add(lastSeenLeader);
                peers.round();
            }
        }

        private void receive(VmId from, Presence presence) {
            if (!stopped) {
                peers.frameReceived(from);
                peers.receive(from, presence);
            }
        }

        @Override
        public Presence presence() {
            return Presence.newBuilder()
                    .setReplica(replica ? identity() : "")
                    .setEntry(!replica)
                    .setLeader(groupLeader)
                    .setDraining(draining)
                    .build();
        }

        @Override
        public String leader() {
            return groupLeader.isEmpty() ? peers.leader() : groupLeader;
        }

        @Override
        public Set<VmId> voters() {
            return replica ? voters : Set.of();
        }

        @Override
        public void connect(VmId other, InetSocketAddress address) {
            schedule(LINK_DELAY_MILLIS, () -> {
                Node target = nodes.get(other);
                if (target == null || target.stopped) {
                    connect(other, address);
                } else if (upLinks.add(other)) {
                    silentLinks.remove(other);
                    peers.linkOpened(other);
                }
            });
        }

        @Override
        public void disconnect(VmId other) {
            upLinks.remove(other);
        }

        @Override
        public void reconnect(VmId other) {
            reconnects++;
            upLinks.remove(other);
            connect(other, null);
        }

        @Override
        public boolean send(VmId to, Envelope.Builder frame) {
            if (stopped || !upLinks.contains(to)) {
                return false;
            }
            Envelope envelope = frame.setFromVm(vm.name()).build();
            messageCount++;
            byteCount += envelope.getSerializedSize();
            if (!silentLinks.contains(to)) {
                schedule(LINK_DELAY_MILLIS, () -> nodes.get(to).receive(vm, envelope.getPresence()));
            }
            return true;
        }
    }

    Node addReplica(String name, List<VmId> knownSeeds) {
        return add(new VmId(name), true, knownSeeds);
    }

    Node addReplica(String name) {
        return addReplica(name, seeds);
    }

    Node addEntry(String name, List<VmId> knownSeeds) {
        return add(new VmId(name), false, knownSeeds);
    }

    Node addEntry(String name) {
        return addEntry(name, seeds);
    }

    private Node add(VmId vm, boolean replica, List<VmId> knownSeeds) {
        Node node = new Node(vm, replica, knownSeeds);
        nodes.put(vm, node);
        // Nodes that start together do not run their rounds at the same moment.
        schedule(Math.floorMod(vm.hashCode(), Peers.ROUND_INTERVAL_MILLIS), node::run);
        return node;
    }

    /** Stops a node without a word; connections to it stay open. */
    void stop(Node node) {
        node.stopped = true;
    }

    /** Lets a stopped node go on as if it had been suspended. */
    void resume(Node node) {
        node.stopped = false;
        schedule(1, node::run);
    }

    /** Makes all replicas that run follow a leader. */
    void elect(Node leader) {
        nodes.values().stream()
                .filter(node -> node.replica && !node.stopped)
                .forEach(node -> node.follow(leader.identity()));
    }

    private void schedule(long delayMillis, Runnable task) {
        events.add(new Event(nowMillis + delayMillis, eventCount++, task));
    }

    void runFor(long millis) {
        long untilMillis = nowMillis + millis;
        while (!events.isEmpty() && events.peek().atMillis() <= untilMillis) {
            Event next = events.poll();
            nowMillis = next.atMillis();
            next.task().run();
        }
        nowMillis = untilMillis;
    }

    /** Runs until a condition holds or a time has passed; returns the time that it took. */
    long runUntil(BooleanSupplier condition, long maxMillis) {
        long startMillis = nowMillis;
        while (!condition.getAsBoolean() && nowMillis - startMillis < maxMillis) {
            runFor(1);
        }
        return nowMillis - startMillis;
    }

    long messageCount() {
        return messageCount;
    }

    long byteCount() {
        return byteCount;
    }
}
