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

    private final Map<String, Long> timesByJob = new LinkedHashMap<>();

    /** Records a cancellation, and forgets the oldest ones. */
    void add(String job, long nowMillis) {
        timesByJob.putIfAbsent(job, nowMillis);
        Iterator<Long> oldest = timesByJob.values().iterator();
        while (oldest.hasNext() && (oldest.next() < nowMillis - TERM_MILLIS || timesByJob.size() > MAX_COUNT)) {
            oldest.remove();
        }
    }

    boolean contains(String job) {
        return timesByJob.containsKey(job);
    }

    /** Removes a cancellation; returns whether there was one. */
    boolean remove(String job) {
        return timesByJob.remove(job) != null;
    }

    List<EarlyCancellation> toMessages() {
        return timesByJob.entrySet().stream()
                .map(entry -> EarlyCancellation.newBuilder()
                        .setJob(entry.getKey())
                        .setTimeMillis(entry.getValue())
                        .build())
                .toList();
    }

    void restore(List<EarlyCancellation> messages) {
        messages.forEach(message -> timesByJob.put(message.getJob(), message.getTimeMillis()));
    }
}
