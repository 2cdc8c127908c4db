package org.wasabimount.core.routing;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

import org.wasabimount.core.OrganisationId;

/** The requests that wait for a slot of a pool, ordered by weighted fair queueing between organisations. */
final class FairQueue {

    private final Map<OrganisationId, Deque<RoutedRequest>> queues = new LinkedHashMap<>();
    private final Map<OrganisationId, Double> lastFinishTag = new HashMap<>();
    private final TreeSet<RoutedRequest> byDeadline = new TreeSet<>(
            Comparator.comparingLong(RoutedRequest::deadlineMillis).thenComparingLong(RoutedRequest::id));
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
        byDeadline.add(request);
    }

    /** Puts back a request that was removed before, ahead of all waiting requests. */
    void requeue(RoutedRequest request) {
        request.setFinishTag(virtualTime);
        queue(request).addFirst(request);
        byDeadline.add(request);
    }

    /** Returns the request with the lowest finish tag without removing it. */
    Optional<RoutedRequest> peek() {
        return queues.values().stream().map(Deque::peekFirst).min(Comparator.comparingDouble(RoutedRequest::finishTag));
    }

    void remove(RoutedRequest request) {
        virtualTime = Math.max(virtualTime, request.finishTag());
        discard(request);
    }

    /** Removes and returns a request whose deadline has passed, wherever it is in its organisation's queue. */
    Optional<RoutedRequest> removeExpired(long nowMillis) {
        if (byDeadline.isEmpty() || byDeadline.first().deadlineMillis() > nowMillis) {
            return Optional.empty();
        }
        RoutedRequest expired = byDeadline.first();
        discard(expired);
        return Optional.of(expired);
    }

    private void discard(RoutedRequest request) {
        byDeadline.remove(request);
        Deque<RoutedRequest> queue = queues.get(request.organisation());
        queue.remove(request);
        if (queue.isEmpty()) {
            queues.remove(request.organisation());
        }
        if (queues.isEmpty()) {
            lastFinishTag.clear();
            virtualTime = 0;
        }
    }

    private Deque<RoutedRequest> queue(RoutedRequest request) {
        return queues.computeIfAbsent(request.organisation(), absent -> new ArrayDeque<>());
    }
}
