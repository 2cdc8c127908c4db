package org.wasabimount.core.routing;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.wasabimount.core.OrganisationId;

/** Requests that wait for a pool, in the order of weighted fair queueing between organisations. */
final class FairQueue {

    private final Map<OrganisationId, Deque<RoutedRequest>> queues = new LinkedHashMap<>();
    private final Map<OrganisationId, Double> lastFinishTag = new HashMap<>();
    private double virtualTime;

    int size(OrganisationId organisation) {
        Deque<RoutedRequest> queue = queues.get(organisation);
        return queue == null ? 0 : queue.size();
    }

    boolean isEmpty() {
        return queues.isEmpty();
    }

    /** Returns the organisations with a waiting request. */
    Collection<OrganisationId> active() {
        return queues.keySet();
    }

    void add(RoutedRequest request, int weight) {
        double start = Math.max(virtualTime, lastFinishTag.getOrDefault(request.organisation(), 0.0));
        request.setFinishTag(start + 1.0 / weight);
        lastFinishTag.put(request.organisation(), request.finishTag());
        queue(request).addLast(request);
    }

    /** Puts a request back that was taken before, ahead of all that wait. */
    void requeue(RoutedRequest request) {
        request.setFinishTag(virtualTime);
        queue(request).addFirst(request);
    }

    Optional<RoutedRequest> peek() {
        return queues.values().stream().map(Deque::peekFirst).min(Comparator.comparingDouble(RoutedRequest::finishTag));
    }

    void remove(RoutedRequest request) {
        Deque<RoutedRequest> queue = queues.get(request.organisation());
        queue.remove(request);
        if (queue.isEmpty()) {
            queues.remove(request.organisation());
        }
        virtualTime = Math.max(virtualTime, request.finishTag());
        if (queues.isEmpty()) {
            lastFinishTag.clear();
            virtualTime = 0;
        }
    }

    /** Returns a waiting request whose deadline has passed. */
    Optional<RoutedRequest> expired(long nowMillis) {
        return queues.values().stream()
                .map(Deque::peekFirst)
                .filter(request -> request.deadlineMillis() <= nowMillis)
                .findFirst();
    }

    private Deque<RoutedRequest> queue(RoutedRequest request) {
        return queues.computeIfAbsent(request.organisation(), absent -> new ArrayDeque<>());
    }
}
