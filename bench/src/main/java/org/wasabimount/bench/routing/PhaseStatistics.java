package org.wasabimount.bench.routing;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Results of all requests in one phase of load, as seen by the callers. */
final class PhaseStatistics {

    private static final long MAX_MILLIS = 60_000;

    private final String name;
    private final double seconds;
    private final Histogram totalMillis = new ConcurrentHistogram(MAX_MILLIS, 3);
    private final Histogram refusalMillis = new ConcurrentHistogram(MAX_MILLIS, 3);
    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong succeeded = new AtomicLong();
    private final AtomicLong mismatched = new AtomicLong();
    private final AtomicLong repeatableSent = new AtomicLong();
    private final AtomicLong repeatableFailed = new AtomicLong();
    private final Map<String, AtomicInteger> unsuccessfulByCode = new TreeMap<>();
    private final Map<String, AtomicInteger> succeededByOrganisation = new TreeMap<>();
    private final Map<String, AtomicInteger> refusedByOrganisation = new TreeMap<>();

    PhaseStatistics(String name, double seconds) {
        this.name = name;
        this.seconds = seconds;
    }

    String name() {
        return name;
    }

    void sent(boolean repeatable) {
        sent.incrementAndGet();
        if (repeatable) {
            repeatableSent.incrementAndGet();
        }
    }

    void succeeded(String organisation, long millis) {
        succeeded.incrementAndGet();
        totalMillis.recordValue(Math.min(MAX_MILLIS, millis));
        count(succeededByOrganisation, organisation);
    }

    void mismatched() {
        mismatched.incrementAndGet();
    }

    void unsuccessful(String organisation, String code, boolean repeatable, boolean refusedBeforeRun, long millis) {
        count(unsuccessfulByCode, code);
        if (refusedBeforeRun) {
            refusalMillis.recordValue(Math.min(MAX_MILLIS, millis));
            count(refusedByOrganisation, organisation);
        } else if (repeatable) {
            repeatableFailed.incrementAndGet();
        }
    }

    long wrongResponses() {
        return mismatched.get();
    }

    double goodput() {
        return succeeded.get() / seconds;
    }

    /** Returns the share of repeatable requests that failed other than by being refused before they ran. */
    double lostShare() {
        return (double) repeatableFailed.get() / Math.max(1, repeatableSent.get());
    }

    long refused(String organisation) {
        return value(refusedByOrganisation, organisation);
    }

    long succeeded(String organisation) {
        return value(succeededByOrganisation, organisation);
    }

    long p99Millis() {
        return totalMillis.getValueAtPercentile(99);
    }

    ObjectNode json() {
        ObjectNode json = new ObjectMapper()
                .createObjectNode()
                .put("phase", name)
                .put("offeredPerSecond", Math.round(sent.get() / seconds))
                .put("goodPerSecond", Math.round(goodput()))
                .put("p50Millis", totalMillis.getValueAtPercentile(50))
                .put("p99Millis", totalMillis.getValueAtPercentile(99))
                .put("p999Millis", totalMillis.getValueAtPercentile(99.9))
                .put("refusalP99Millis", refusalMillis.getValueAtPercentile(99))
                .put("lostShare", lostShare())
                .put("wrong", mismatched.get());
        ObjectNode codes = json.putObject("notAnswered");
        unsuccessfulByCode.forEach((code, count) -> codes.put(code, count.get()));
        ObjectNode shares = json.putObject("goodByOrganisation");
        succeededByOrganisation.forEach((organisation, count) -> shares.put(organisation, count.get()));
        return json;
    }

    private static void count(Map<String, AtomicInteger> counts, String key) {
        synchronized (counts) {
            counts.computeIfAbsent(key, absent -> new AtomicInteger()).incrementAndGet();
        }
    }

    private static long value(Map<String, AtomicInteger> counts, String key) {
        synchronized (counts) {
            AtomicInteger count = counts.get(key);
            return count == null ? 0 : count.get();
        }
    }
}
