package org.wasabimount.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/** The ways to choose a backend server; all but the first are baselines without admission. */
public enum RoutingPolicy {
    /** Takes a slot of the healthiest and emptiest server, and lets requests wait in fair queues. */
    FAIR_SLOTS(true) {
        @Override
        Optional<BackendServer> choose(List<BackendServer> servers, RoutedRequest request, Choice choice) {
            double usual = usualLatencyMillis(servers);
            return servers.stream()
                    .filter(server -> server.freeSlots(choice.nowMillis()) > 0)
                    .min(Comparator.comparing((BackendServer server) -> server == request.lastServer())
                            .thenComparing(server -> server.latencyMillis() > SLOW_FACTOR * usual)
                            .thenComparingDouble(RoutingPolicy::load)
                            .thenComparing(server -> server.id()));
        }
    },
    /** Takes each server in turn. */
    ROUND_ROBIN(false) {
        @Override
        Optional<BackendServer> choose(List<BackendServer> servers, RoutedRequest request, Choice choice) {
            return servers.isEmpty()
                    ? Optional.empty()
                    : Optional.of(servers.get(Math.floorMod(choice.turn(), servers.size())));
        }
    },
    /** Takes any server. */
    RANDOM(false) {
        @Override
        Optional<BackendServer> choose(List<BackendServer> servers, RoutedRequest request, Choice choice) {
            return servers.isEmpty()
                    ? Optional.empty()
                    : Optional.of(servers.get(choice.random().nextInt(servers.size())));
        }
    },
    /** Takes the server with the fewest requests of this entry VM. */
    LEAST_OUTSTANDING(false) {
        @Override
        Optional<BackendServer> choose(List<BackendServer> servers, RoutedRequest request, Choice choice) {
            return servers.stream().min(Comparator.comparingInt(BackendServer::inFlight));
        }
    };

    private static final double SLOW_FACTOR = 3;

    private final boolean admits;

    RoutingPolicy(boolean admits) {
        this.admits = admits;
    }

    /**
     * What a choice may depend on besides the servers.
     *
     * @param nowMillis monotonic time
     * @param turn a number that grows with each choice
     * @param random a source of random numbers
     */
    record Choice(long nowMillis, int turn, Random random) {}

    /** Tells whether admission, slots, retries and ejection are in force. */
    boolean admits() {
        return admits;
    }

    abstract Optional<BackendServer> choose(List<BackendServer> servers, RoutedRequest request, Choice choice);

    private static double load(BackendServer server) {
        return (double) server.inFlight() / Math.max(1, server.slotShare());
    }

    private static double usualLatencyMillis(List<BackendServer> servers) {
        double[] known = servers.stream()
                .mapToDouble(BackendServer::latencyMillis)
                .filter(latency -> latency > 0)
                .sorted()
                .toArray();
        return known.length == 0 ? Double.MAX_VALUE : known[known.length / 2];
    }
}
