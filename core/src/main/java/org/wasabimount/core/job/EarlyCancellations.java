package org.wasabimount.core.job;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.wasabimount.protocol.job.EarlyCancellation;

/** The cancellations of jobs that were not known; the submission of such a job may still be on its way. */
final class EarlyCancellations {

    /** Time for which a cancellation is kept, in milliseconds; longer than a suspended VM or a cut network delays a request. */
    private static final long TERM_MILLIS = 120_000;

    /** Bounds the memory that clients take by cancelling jobs that do not exist. */
    private static final int MAX_COUNT = 4_096;

    private final Map<Key, Long> timesByJob = new LinkedHashMap<>();

    private record Key(String job, String organisation) {}

    /** Records a cancellation, and forgets the oldest ones. */
    void add(String job, String organisation, long nowMillis) {
        timesByJob.put(new Key(job, organisation), nowMillis);
        Iterator<Long> oldest = timesByJob.values().iterator();
        while (oldest.hasNext() && (!counts(oldest.next(), nowMillis) || timesByJob.size() > MAX_COUNT)) {
            oldest.remove();
        }
    }

    boolean contains(String job, String organisation, long nowMillis) {
        return counts(timesByJob.getOrDefault(new Key(job, organisation), Long.MIN_VALUE), nowMillis);
    }

    /** Removes a cancellation; returns whether there was one that still counts. */
    boolean remove(String job, String organisation, long nowMillis) {
        boolean contained = contains(job, organisation, nowMillis);
        timesByJob.remove(new Key(job, organisation));
        return contained;
    }

    private static boolean counts(long timeMillis, long nowMillis) {
        return timeMillis >= nowMillis - TERM_MILLIS;
    }

    List<EarlyCancellation> toMessages() {
        return timesByJob.entrySet().stream()
                .map(entry -> EarlyCancellation.newBuilder()
                        .setJob(entry.getKey().job())
                        .setOrganisation(entry.getKey().organisation())
                        .setTimeMillis(entry.getValue())
                        .build())
                .toList();
    }

    void restore(List<EarlyCancellation> messages) {
        messages.forEach(message ->
                timesByJob.put(new Key(message.getJob(), message.getOrganisation()), message.getTimeMillis()));
    }
}
