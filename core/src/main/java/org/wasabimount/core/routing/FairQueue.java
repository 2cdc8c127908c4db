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

/** The requests that wait for a slot of a pool, ordered by weighted fair queueing between organisations. */
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

    /** Returns the organisations that have waiting requests. */
    Collection<OrganisationId> active() {
        return queues.keySet();
    }

    void add(RoutedRequest request, int weight) {
        double start = Math.max(virtualTime, lastFinishTag.getOrDefault(request.organisation(), 0.0));
        request.setFinishTag(start + 1.0 / weight);
        lastFinishTag.put(request.organisation(), request.finishTag());
        queue(request).addLast(request);
    }

    /** Puts back a request that was removed before, ahead of all waiting requests. */
    void requeue(RoutedRequest request) {
        request.setFinishTag(virtualTime);
        queue(request).addFirst(request);
    }

    /** Returns the request with the lowest finish tag without removing it. */
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

    /** Returns a request at the head of an organisation's queue whose deadline has passed. */
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
