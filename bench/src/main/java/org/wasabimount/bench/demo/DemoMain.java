package org.wasabimount.bench.demo;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.wasabimount.bench.cell.CellClient;
import org.wasabimount.bench.cell.LocalCell;
import org.wasabimount.bench.cell.LocalDaemon;
import org.wasabimount.bench.standin.StandInBackend;
import org.wasabimount.bench.standin.StandInWorker;
import org.wasabimount.bench.standin.StandIns;
import org.wasabimount.core.cell.Capacity;

/**
 * Demonstrates a complete cell: three daemons with stand-in workers and backend servers, used through the command-line
 * tool, with the kill of a daemon and a graceful stop.
 */
public final class DemoMain {

    private static final List<String> DOMAINS = List.of("glasgow", "edinburgh", "aberdeen");
    private static final long WAIT_MILLIS = 15_000;
    private static final String MANIFEST = """
            kind: services
            name: fitting
            spec:
              taskCount: 3
              taskSize: {cpuMillis: 2000, memoryMegabytes: 4096}
            ---
            kind: batches
            name: diary-coding
            spec:
              taskCount: 6
              taskSize: {cpuMillis: 1000, memoryMegabytes: 1024}
              declaredRunMillis: 300
            ---
            kind: jobs
            name: reweighting
            spec:
              taskCount: 4
              taskSize: {cpuMillis: 8000, memoryMegabytes: 16384}
              declaredRunMillis: 500
            """;

    private final Path projectFolder;
    private final Path folder;
    private final LocalCell cell;
    private final StandIns standIns;
    private final long startNanos = System.nanoTime();
    private String credential = "";
    private int failures;

    private record CliResult(int status, String out) {}

    private DemoMain(Path projectFolder) {
        this.projectFolder = projectFolder;
        this.folder = projectFolder.resolve("run/demo");
        this.cell = LocalCell.of(projectFolder, folder, DOMAINS, 1);
        this.standIns = new StandIns(cell.httpAddresses(), LocalCell.PLATFORM_SECRET);
    }

    /**
     * Runs the demonstration.
     *
     * @param arguments the project's root folder
     * @throws IOException if a process can't be started
     */
    public static void main(String[] arguments) throws IOException {
        DemoMain demo = new DemoMain(Path.of(arguments[0]));
        try {
            demo.run();
        } finally {
            demo.cell.close();
        }
        System.out.println(demo.failures == 0 ? "demo: OK" : "demo: FAILED");
        Runtime.getRuntime().halt(demo.failures == 0 ? 0 : 1);
    }

    private void run() throws IOException {
        cell.start();
        check("three daemons are ready", cell.awaitReady(standIns.httpClient(), vms(), WAIT_MILLIS));
        addStandIns();
        declareOrganisation();
        declareWork();
        sendRequests();
        killLeader();
        stopGracefully();
    }

    private void addStandIns() {
        for (String domain : DOMAINS) {
            for (int number = 1; number <= 2; number++) {
                standIns.worker(
                        new StandInWorker.Settings(
                                "worker-" + domain + "-" + number,
                                domain,
                                "rack-" + domain,
                                new Capacity(32_000, 131_072, 0),
                                false),
                        line -> {});
            }
            int host = 100 + DOMAINS.indexOf(domain);
            standIns.backend(new StandInBackend.Settings(
                    "backend-" + domain,
                    "wee-steps",
                    "fitting",
                    false,
                    domain,
                    new InetSocketAddress(cell.address(host), 9_100),
                    8,
                    5));
        }
    }

    private void declareOrganisation() {
        CliResult declared = cli(LocalCell.ADMIN_SECRET, "organisation", "wee-steps", "--weight", "2");
        check("an organisation is declared", declared.status() == 0);
        credential = declared.out().lines().findFirst().orElse("").replace("credential: ", "");
        boolean workersListed = LocalCell.await(
                () -> cli(LocalCell.ADMIN_SECRET, "status").out().contains("worker-aberdeen-2"), WAIT_MILLIS);
        check("six workers are announced", workersListed);
    }

    private void declareWork() throws IOException {
        Path manifest = folder.resolve("work.yaml");
        Files.writeString(manifest, MANIFEST);
        check(
                "a service, a batch and a job are declared",
                cliForOrganisation("apply", "-f", manifest.toString()).status() == 0);
        check("the service is active", awaitPhase("services", "fitting", "ACTIVE"));
        check("the batch is complete", awaitPhase("batches", "diary-coding", "COMPLETE"));
        check("the job is complete", awaitPhase("jobs", "reweighting", "COMPLETE"));
        CliResult conflict = cliForOrganisation("delete", "services", "fitting", "--if-version", "99");
        check(
                "a delete with a wrong version is refused with 1201",
                conflict.out().contains("1201"));
        check(
                "a wrong credential is refused with 1101",
                cli("wee-steps:wrong", "get").out().contains("1101"));
    }

    private void sendRequests() {
        for (LocalDaemon daemon : cell.daemons().subList(0, 2)) {
            CliResult response = cliForOrganisationAt(daemon, "call", "fitting", "/feet", "-d", "left 31");
            check(
                    "a request through " + daemon.name() + " is answered",
                    response.out().contains("left 31"));
        }
        String key = "glasgow:" + CellClient.newKey();
        CliResult firstResult = cliForOrganisation("call", "fitting", "/orders", "-d", "size 31", "--key", key);
        CliResult repeatedResult = cliForOrganisationAt(
                cell.daemons().get(1), "call", "fitting", "/orders", "-d", "size 31", "--key", key);
        check("an unrepeatable request is answered", firstResult.status() == 0);
        check(
                "its repeat through another VM returns the same response",
                repeatedResult.out().equals(firstResult.out()));
        check("it ran once", runCount(key) == 1);
    }

    private void killLeader() {
        LocalDaemon leader = cell.daemons().stream()
                .filter(daemon -> isLeader(daemon))
                .findFirst()
                .orElse(cell.daemons().get(0));
        leader.kill();
        print("the leader " + leader.name() + " is killed with SIGKILL");
        List<String> remainingVms =
                vms().stream().filter(vm -> !vm.equals(leader.name())).toList();
        check("the completed batch is still stored", awaitPhase("batches", "diary-coding", "COMPLETE"));
        check("the service is still active", awaitPhase("services", "fitting", "ACTIVE"));
        CliResult response =
                cliForOrganisationAt(cell.daemon(remainingVms.get(0)), "call", "fitting", "/feet", "-d", "right 32");
        check("a request is answered", response.out().contains("right 32"));
        String key = CellClient.newKey().toString();
        CliResult unrepeatableResult = cliForOrganisationAt(
                cell.daemon(remainingVms.get(1)), "call", "fitting", "/orders", "-d", "size 32", "--key", key);
        check("an unrepeatable request is answered", unrepeatableResult.status() == 0 && runCount(key) == 1);
        check(
                "the service is deleted",
                cliForOrganisation("delete", "services", "fitting").status() == 0);
    }

    private void stopGracefully() {
        for (LocalDaemon daemon : cell.daemons()) {
            if (daemon.process().isAlive()) {
                check(daemon.name() + " stops gracefully", daemon.terminate() == 0);
            }
        }
        standIns.close();
    }

    private boolean isLeader(LocalDaemon daemon) {
        CliResult status = runCli(daemon.httpAddress(), LocalCell.ADMIN_SECRET, "status", "-o", "json");
        return status.out().replaceAll("\\s", "").contains("\"cell\":{\"leader\":\"" + daemon.name() + "/");
    }

    private boolean awaitPhase(String kind, String name, String phase) {
        return LocalCell.await(
                () -> cliForOrganisation("get", kind, name, "-o", "json")
                        .out()
                        .contains("\"phase\" : \"" + phase + "\""),
                WAIT_MILLIS);
    }

    private long runCount(String key) {
        return standIns.backends().stream()
                .map(backend -> backend.runsByKey().get(key))
                .filter(count -> count != null)
                .mapToLong(count -> count.get())
                .sum();
    }

    private List<String> vms() {
        return cell.daemons().stream().map(LocalDaemon::name).toList();
    }

    private CliResult cliForOrganisation(String... arguments) {
        return cli(credential, arguments);
    }

    private CliResult cliForOrganisationAt(LocalDaemon daemon, String... arguments) {
        return runCli(daemon.httpAddress(), credential, arguments);
    }

    private CliResult cli(String usedCredential, String... arguments) {
        return runCli(String.join(",", cell.httpAddresses()), usedCredential, arguments);
    }

    private CliResult runCli(String servers, String usedCredential, String... arguments) {
        List<String> command =
                new ArrayList<>(List.of(projectFolder.resolve("bin/wasabimount").toString()));
        command.addAll(List.of(arguments));
        try {
            ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
            builder.environment()
                    .putAll(Map.of("WASABIMOUNT_SERVER", servers, "WASABIMOUNT_CREDENTIAL", usedCredential));
            Process process = builder.start();
            String out = new String(process.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
            process.waitFor(WAIT_MILLIS, TimeUnit.MILLISECONDS);
            return new CliResult(process.exitValue(), out);
        } catch (IOException e) {
            return new CliResult(-1, e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new CliResult(-1, "interrupted");
        }
    }

    private void check(String description, boolean passed) {
        failures += passed ? 0 : 1;
        print((passed ? "ok    " : "FAILED ") + description);
    }

    private void print(String description) {
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        System.out.printf("%6.2f s  %s%n", seconds, description);
    }
}
