package org.wasabimount.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/** The policies for choosing a backend server; all but the first are baselines without admission control. */
public enum RoutingPolicy {
    /**
     * Chooses a server with a free slot and queues requests fairly while there is none. Prefers servers other than the
     * one of the last attempt, then servers that are not slow compared to the median, then the least loaded.
     */
    FAIR_SLOTS(true) {
        @Override
        Optional<BackendServer> choose(List<BackendServer> servers, RoutedRequest request, ChoiceContext context) {
            double median = medianLatencyMillis(servers);
            return servers.stream()
                    .filter(server -> server.freeSlots(context.nowMillis()) > 0)
                    .min(Comparator.comparing((BackendServer server) -> server == request.lastServer())
                            .thenComparing(server -> server.latencyMillis() > SLOW_LATENCY_FACTOR * median)
                            .thenComparingDouble(RoutingPolicy::load)
                            .thenComparing(server -> server.id()));
        }
    },
    /** Chooses each server in turn. */
    ROUND_ROBIN(false) {
        @Override
        Optional<BackendServer> choose(List<BackendServer> servers, RoutedRequest request, ChoiceContext context) {
            return servers.isEmpty()
                    ? Optional.empty()
                    : Optional.of(servers.get(Math.floorMod(context.choiceNumber(), servers.size())));
        }
    },
    /** Chooses a server at random. */
    RANDOM(false) {
        @Override
        Optional<BackendServer> choose(List<BackendServer> servers, RoutedRequest request, ChoiceContext context) {
            return servers.isEmpty()
                    ? Optional.empty()
                    : Optional.of(servers.get(context.random().nextInt(servers.size())));
        }
    },
    /** Chooses the server with the fewest requests in flight from this entry VM. */
    LEAST_OUTSTANDING(false) {
        @Override
        Optional<BackendServer> choose(List<BackendServer> servers, RoutedRequest request, ChoiceContext context) {
            return servers.stream().min(Comparator.comparingInt(BackendServer::inFlight));
        }
    };

    private static final double SLOW_LATENCY_FACTOR = 3;

    private final boolean usesAdmissionControl;

    RoutingPolicy(boolean usesAdmissionControl) {
        this.usesAdmissionControl = usesAdmissionControl;
    }

    /**
     * The inputs of a choice besides the servers and the request.
     *
     * @param nowMillis monotonic time
     * @param choiceNumber a number that is incremented with each choice
     * @param random a source of random numbers
     */
    record ChoiceContext(long nowMillis, int choiceNumber, Random random) {}

    /** Returns whether admission control, slots, retries and ejection are in effect. */
    boolean usesAdmissionControl() {
        return usesAdmissionControl;
    }

    abstract Optional<BackendServer> choose(List<BackendServer> servers, RoutedRequest request, ChoiceContext context);

    private static double load(BackendServer server) {
        return (double) server.inFlight() / Math.max(1, server.slotShare());
    }

    private static double medianLatencyMillis(List<BackendServer> servers) {
        double[] latencies = servers.stream()
                .mapToDouble(BackendServer::latencyMillis)
                .filter(latency -> latency > 0)
                .sorted()
                .toArray();
        return latencies.length == 0 ? Double.MAX_VALUE : latencies[latencies.length / 2];
    }
}
