package org.wasabimount.bench.overhead;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.wasabimount.bench.cell.LocalDaemon;
import org.wasabimount.client.HttpClient;
import org.wasabimount.client.HttpRequest;
import org.wasabimount.client.HttpResult;

/**
 * Cumulative resource consumption of the daemons of a cell, read from the operating system and the daemons' metrics.
 *
 * @param cpuSeconds CPU seconds of all daemons
 * @param httpBytes bytes received and sent over HTTP by all daemons
 * @param peerBytes bytes sent to other daemons by all daemons
 * @param maxResidentMegabytes the largest resident set size of a single daemon
 * @param atNanos when it was read, by {@link System#nanoTime()}
 */
record DaemonCost(double cpuSeconds, double httpBytes, double peerBytes, double maxResidentMegabytes, long atNanos) {

    private static final double TICKS_PER_SECOND = 100;
    private static final double KILOBYTES_PER_MEGABYTE = 1_024;
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final int USER_TICKS_FIELD = 11;
    private static final int SYSTEM_TICKS_FIELD = 12;

    static DaemonCost read(HttpClient httpClient, List<LocalDaemon> daemons) throws IOException {
        double cpu = 0;
        double http = 0;
        double peer = 0;
        double resident = 0;
        for (LocalDaemon daemon : daemons) {
            long pid = daemon.process().pid();
            String stat = Files.readString(Path.of("/proc", Long.toString(pid), "stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            cpu += (Double.parseDouble(fields[USER_TICKS_FIELD]) + Double.parseDouble(fields[SYSTEM_TICKS_FIELD]))
                    / TICKS_PER_SECOND;
            resident = Math.max(resident, residentMegabytes(pid));
            HttpResult metrics = httpClient.call(
                    daemon.httpAddress(), HttpRequest.of("GET", "/metrics", new byte[0]), TIMEOUT_MILLIS);
            String text = metrics.hasStatus(200) ? metrics.response().text() : "";
            http += value(text, "wasabimount_http_received_bytes") + value(text, "wasabimount_http_sent_bytes");
            peer += value(text, "wasabimount_peer_sent_bytes");
        }
        return new DaemonCost(cpu, http, peer, resident, System.nanoTime());
    }

    /** Returns the average CPU use of all daemons together since an earlier reading, in cores. */
    double coresSince(DaemonCost earlier) {
        return (cpuSeconds - earlier.cpuSeconds) / secondsSince(earlier);
    }

    double httpBytesPerSecondSince(DaemonCost earlier) {
        return (httpBytes - earlier.httpBytes) / secondsSince(earlier);
    }

    double peerBytesPerSecondSince(DaemonCost earlier) {
        return (peerBytes - earlier.peerBytes) / secondsSince(earlier);
    }

    private double secondsSince(DaemonCost earlier) {
        return (atNanos - earlier.atNanos) / 1e9;
    }

    private static double residentMegabytes(long pid) throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(pid), "status")).stream()
                .filter(line -> line.startsWith("VmRSS:"))
                .mapToDouble(line -> Double.parseDouble(line.replaceAll("[^0-9]", "")) / KILOBYTES_PER_MEGABYTE)
                .sum();
    }

    private static double value(String metrics, String name) {
        return metrics.lines()
                .filter(line -> line.startsWith(name + " "))
                .mapToDouble(line -> Double.parseDouble(line.substring(name.length() + 1)))
                .sum();
    }
}
