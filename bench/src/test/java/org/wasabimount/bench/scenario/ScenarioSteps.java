package org.wasabimount.bench.scenario;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.StreamSupport;

import org.wasabimount.bench.cell.CellClient;
import org.wasabimount.bench.cell.LocalCell;
import org.wasabimount.bench.cell.LocalDaemon;
import org.wasabimount.bench.standin.StandInBackend;
import org.wasabimount.client.HttpOutcome;
import org.wasabimount.client.HttpRequest;
import org.wasabimount.client.HttpResponse;
import org.wasabimount.client.HttpResult;

import com.fasterxml.jackson.databind.JsonNode;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

/** Step definitions of the scenarios. */
public class ScenarioSteps {

    private static final long REPEAT_INTERVAL_MILLIS = 500;
    private static final long PROBE_INTERVAL_MILLIS = 300;

    private ScenarioCell scenario;
    private LocalDaemon affectedDaemon;
    private String key;
    private List<HttpResult> results = List.of();
    private int batchCount;
    private int winnerIndex;

    @After
    public void stop() throws IOException {
        if (scenario != null) {
            scenario.close();
        }
    }

    @Given("a cell of three domains whose links can be cut")
    public void startCell() throws IOException {
        scenario = new ScenarioCell();
        assertTrue(scenario.cellClient().awaitReady(ScenarioCell.TIMEOUT_MILLIS), "the cell did not become ready");
    }

    @Given("organisation {string}")
    public void declareOrganisation(String name) {
        scenario.cellClient().organisation(name, 1);
    }

    @Given("a backend server in each domain")
    public void addBackends() {
        addBackends(5);
    }

    @Given("a backend server in each domain that takes {int} milliseconds")
    public void addBackends(int serviceMillis) {
        scenario.addBackends(serviceMillis);
        for (LocalDaemon daemon : scenario.cell().daemons()) {
            await("no call succeeds", () -> succeeded(scenario.call(daemon, "first", null)));
        }
    }

    @Given("batch {string} is declared")
    @Then("batch {string} can be declared")
    public void declareBatch(String name) {
        await(
                "batch " + name + " can't be declared",
                () -> runningDaemons()
                        .anyMatch(daemon -> scenario.declare(daemon, name).hasStatus(200)));
    }

    @When("{int} batches are declared")
    public void declareBatches(int count) {
        for (batchCount = 0; batchCount < count; batchCount++) {
            declareBatch("many-" + batchCount);
        }
    }

    @When("the leader is killed")
    public void killLeader() {
        affectedDaemon = scenario.cellClient().leader();
        affectedDaemon.kill();
    }

    @When("a follower is killed")
    public void killFollower() {
        affectedDaemon = follower();
        affectedDaemon.kill();
    }

    @When("the killed daemon is started again")
    public void restartKilledDaemon() throws IOException {
        affectedDaemon.start();
    }

    @When("the leader is suspended")
    public void suspendLeader() throws IOException {
        affectedDaemon = scenario.cellClient().leader();
        affectedDaemon.signal("STOP");
    }

    @When("the suspended daemon is resumed")
    public void resumeDaemon() throws IOException {
        affectedDaemon.signal("CONT");
        affectedDaemon = null;
    }

    @When("the leader is cut off")
    public void cutLeaderOff() {
        affectedDaemon = scenario.cellClient().leader();
        scenario.cutOff(affectedDaemon, true, true);
    }

    @When("the leader's outgoing links are cut")
    public void cutLeadersOutgoingLinks() {
        affectedDaemon = scenario.cellClient().leader();
        scenario.cutOff(affectedDaemon, true, false);
    }

    @When("the domain of a follower is cut off")
    public void cutFollowerOff() {
        affectedDaemon = follower();
        scenario.cutOff(affectedDaemon, true, true);
    }

    @When("the links are healed")
    public void heal() {
        scenario.heal();
    }

    @When("a follower is killed and loses its disk")
    public void loseDisk() throws IOException {
        affectedDaemon = follower();
        affectedDaemon.kill();
        affectedDaemon.loseDisk();
    }

    @Then("it refuses to start until its data folder is formatted")
    public void refusesToStart() throws IOException, InterruptedException {
        affectedDaemon.start();
        assertTrue(affectedDaemon.process().waitFor(ScenarioCell.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        assertEquals(affectedDaemon.process().exitValue(), 71);
        assertTrue(affectedDaemon.readLog().contains("the data folder is not formatted"));
    }

    @When("its data folder is formatted again and it is started")
    public void reformatAndStart() throws IOException {
        affectedDaemon.format(false);
        affectedDaemon.start();
    }

    @Then("its new replica votes in every group")
    public void votes() {
        LocalDaemon observer = scenario.daemonsExcept(affectedDaemon).get(0);
        await("the new replica is not a voter of every group", () -> {
            JsonNode groups = scenario.cellClient().status(observer).path("vm").path("groups");
            long votes = StreamSupport.stream(groups.spliterator(), false)
                    .map(group -> List.of(group.path("voters").asText().split(" ")))
                    .filter(voters -> voters.stream().anyMatch(voter -> voter.startsWith(affectedDaemon.name() + "/")))
                    .filter(voters -> !voters.contains(affectedDaemon.name() + "/0"))
                    .count();
            return groups.size() > 0 && votes == groups.size();
        });
        await(
                "the repaired daemon is not ready",
                () -> scenario.cell()
                        .awaitReady(scenario.cellClient().httpClient(), List.of(affectedDaemon.name()), 1_000));
    }

    @When("another daemon is killed")
    public void killAnother() {
        scenario.daemonsExcept(affectedDaemon).get(0).kill();
    }

    @Then("every daemon is ready")
    public void allReady() {
        assertTrue(scenario.cellClient().awaitReady(ScenarioCell.TIMEOUT_MILLIS));
    }

    @Then("every daemon reports the same leader")
    public void sameLeader() {
        await("the daemons do not report one leader", () -> {
            long leaders = scenario.cell().daemons().stream()
                    .map(daemon -> scenario.cellClient()
                            .status(daemon)
                            .path("vm")
                            .path("groups")
                            .path("cell")
                            .path("leader")
                            .asText())
                    .distinct()
                    .filter(leader -> !leader.isEmpty())
                    .count();
            return leaders == 1;
        });
    }

    @Then("batch {string} is found")
    public void batchIsFound(String name) {
        await("batch " + name + " is not found", () -> runningDaemons().anyMatch(daemon -> hasBatch(daemon, name)));
    }

    @Then("every batch is found through the restarted daemon")
    public void batchesAreFound() {
        for (int number = 0; number < batchCount; number++) {
            String name = "many-" + number;
            await("batch " + name + " is not found", () -> hasBatch(affectedDaemon, name));
        }
    }

    @Then("a write through the cut-off daemon is refused with {int}")
    public void writeRefused(int code) {
        await(
                "writes through the cut-off daemon are not refused",
                () -> text(scenario.cellClient().putBatchAt(affectedDaemon, "org", "refused", 0, 20_000))
                        .contains("\"code\":" + code));
    }

    @When("{int} operators change batch {string} from version {int} at once through all daemons")
    public void changeConcurrently(int operators, String name, int version) {
        List<CompletableFuture<HttpResult>> pendingCalls = new ArrayList<>();
        for (int operator = 0; operator < operators; operator++) {
            LocalDaemon daemon = scenario.cell().daemons().get(operator % 3);
            pendingCalls.add(scenario.cellClient()
                    .httpClient()
                    .send(daemon.httpAddress(), change(name, version, operator), 20_000, false));
        }
        results = pendingCalls.stream().map(CompletableFuture::join).toList();
    }

    @Then("exactly {int} of them succeeds and the others are refused with {int}")
    public void oneSucceeds(int expectedSuccesses, int code) {
        assertEquals(results.stream().filter(result -> result.hasStatus(200)).count(), expectedSuccesses);
        assertEquals(
                results.stream()
                        .filter(result -> text(result).contains("\"code\":" + code))
                        .count(),
                results.size() - expectedSuccesses);
        winnerIndex = results.indexOf(results.stream()
                .filter(result -> result.hasStatus(200))
                .findFirst()
                .orElseThrow());
    }

    @When("the successful operator repeats its request")
    public void winnerRepeats() {
        HttpResult repeatedResult = scenario.cellClient()
                .httpClient()
                .call(scenario.cell().daemons().get(0).httpAddress(), change("raced", 1, winnerIndex), 20_000);
        results = List.of(results.get(winnerIndex), repeatedResult);
    }

    @Then("the first result is returned")
    public void returnsFirstResult() {
        assertTrue(results.get(1).hasStatus(200), text(results.get(1)));
        assertEquals(text(results.get(1)), text(results.get(0)));
    }

    @Then("calls through the cut-off daemon are served by the backend server of its domain")
    public void servedByOwnBackend() {
        String ownBackend = "backend-" + affectedDaemon.name().substring(0, 2);
        await(
                "the cut-off domain does not serve calls",
                () -> text(scenario.call(affectedDaemon, "x", null)).contains(ownBackend));
        for (int call = 0; call < 20; call++) {
            HttpResult result = scenario.call(affectedDaemon, "call " + call, null);
            assertTrue(text(result).contains("call " + call) && text(result).contains(ownBackend), text(result));
        }
    }

    @Then("an unrepeatable call there with a key homed in another domain is refused as not run")
    public void unrepeatableRefused() {
        String refusedKey =
                scenario.daemonsExcept(affectedDaemon).get(0).name().substring(0, 2) + ":" + ScenarioCell.newKey();
        HttpResult result = scenario.call(affectedDaemon, "once", refusedKey);
        assertTrue(text(result).contains("\"outcome\":\"NOT_RUN\""), text(result));
        assertEquals(scenario.runs(refusedKey), 0);
    }

    @Then("an unrepeatable call through the cut-off daemon succeeds")
    public void unrepeatableAnswered() {
        await(
                "no unrepeatable call succeeds",
                () -> succeeded(scenario.call(affectedDaemon, "x", ScenarioCell.newKey())));
    }

    @When("an unrepeatable call is sent through a follower and the follower is killed")
    public void killWhileServing() {
        affectedDaemon = follower();
        key = ScenarioCell.newKey();
        CompletableFuture<HttpResult> call =
                CompletableFuture.supplyAsync(() -> scenario.call(affectedDaemon, "once", key));
        await("the call does not run", () -> scenario.runs(key) == 1);
        affectedDaemon.kill();
        assertFalse(call.join().hasStatus(200));
    }

    @Then("its repeat through another daemon never succeeds and never causes a second run")
    public void neverASecondRun() {
        for (int repeat = 0; repeat < 8; repeat++) {
            HttpResult result =
                    scenario.call(scenario.daemonsExcept(affectedDaemon).get(repeat % 2), "once", key);
            assertFalse(result.hasStatus(200), text(result));
            pause(REPEAT_INTERVAL_MILLIS);
        }
        assertEquals(scenario.runs(key), 1);
    }

    @When("the first backend server leaves")
    public void backendLeaves() {
        scenario.backends().get(0).leave();
    }

    @Then("after {int} seconds it receives no new calls")
    public void receivesNoNewCalls(int seconds) {
        StandInBackend leavingBackend = scenario.backends().get(0);
        pause(seconds * 1_000L);
        long runsBefore = leavingBackend.runs();
        for (int call = 0; call < 60; call++) {
            assertTrue(succeeded(scenario.call(scenario.cell().daemons().get(call % 3), "x", null)));
        }
        assertEquals(leavingBackend.runs(), runsBefore);
    }

    @When("a daemon is stopped gracefully under load")
    public void stopUnderLoad() {
        affectedDaemon = follower();
        List<CompletableFuture<HttpResult>> pendingCalls = new ArrayList<>();
        HttpRequest call = CellClient.httpRequest("PUT", "/call/echo/", "x", CellClient.credential("org"));
        // The load begins before the stop: a daemon that drains already would be sent no call at all.
        await(
                "the daemon is not ready",
                () -> scenario.cell()
                        .awaitReady(scenario.cellClient().httpClient(), List.of(affectedDaemon.name()), 0));
        long lastProbeMillis = System.currentTimeMillis();
        boolean ready = true;
        long runsBefore = backendRuns();
        pendingCalls.add(scenario.cellClient().httpClient().send(affectedDaemon.httpAddress(), call, 10_000, false));
        await("the first call does not run", () -> backendRuns() > runsBefore);
        CompletableFuture<Integer> stop = CompletableFuture.supplyAsync(affectedDaemon::terminate);
        while (!stop.isDone()) {
            // Like a load balancer: probes periodically and sends calls while the last probe was successful.
            if (System.currentTimeMillis() - lastProbeMillis >= PROBE_INTERVAL_MILLIS) {
                lastProbeMillis = System.currentTimeMillis();
                ready = scenario.cell()
                        .awaitReady(scenario.cellClient().httpClient(), List.of(affectedDaemon.name()), 0);
            }
            if (ready) {
                pendingCalls.add(
                        scenario.cellClient().httpClient().send(affectedDaemon.httpAddress(), call, 10_000, false));
            }
            pause(10);
        }
        assertEquals((int) stop.join(), 0);
        results = pendingCalls.stream().map(CompletableFuture::join).toList();
    }

    @Then("no call through it was cut off or lost")
    public void noCallLost() {
        long successfulCalls = results.stream().filter(ScenarioSteps::succeeded).count();
        List<String> cutOff = results.stream()
                .filter(result -> result.outcome() == HttpOutcome.CUT_SHORT
                        || result.outcome() == HttpOutcome.TIMED_OUT
                        || text(result).contains("\"outcome\":\"UNKNOWN\""))
                .map(ScenarioSteps::text)
                .toList();
        assertTrue(successfulCalls > 0, "no call succeeded");
        assertEquals(cutOff, List.of());
    }

    @When("the configuration is changed {int} times")
    public void changeConfiguration(int times) {
        for (int change = 0; change < times; change++) {
            String body = "{\"values\":{\"routing.queue-limit\":\"" + (100 + change) + "\"}}";
            HttpRequest put = CellClient.httpRequest("PUT", "/admin/configuration", body, LocalCell.ADMIN_SECRET)
                    .withHeader("Request-Id", "configuration-" + System.nanoTime());
            await(
                    "the configuration can't be changed",
                    () -> runningDaemons()
                            .anyMatch(daemon -> scenario.cellClient()
                                    .httpClient()
                                    .call(daemon.httpAddress(), put, 10_000)
                                    .hasStatus(200)));
        }
    }

    @Then("within {int} seconds every daemon has configuration version {int}")
    public void configurationInForce(int seconds, int version) {
        assertTrue(LocalCell.await(
                () -> scenario.cell().daemons().stream().allMatch(daemon -> configurationVersion(daemon) == version),
                seconds * 1_000L));
    }

    @Then("the restarted daemon never reports a version below {int}")
    public void neverReverts(int version) {
        for (int poll = 0; poll < 20; poll++) {
            int reportedVersion = configurationVersion(affectedDaemon);
            assertTrue(reportedVersion >= version, "the daemon reports version " + reportedVersion);
        }
    }

    private int configurationVersion(LocalDaemon daemon) {
        return scenario.cellClient()
                .status(daemon)
                .path("vm")
                .path("configurationVersion")
                .asInt();
    }

    @Given("a worker with {int} CPU millis")
    public void addWorker(int cpuMillis) {
        scenario.addWorker(cpuMillis);
        await(
                "the worker is not listed in the status",
                () -> scenario.cellClient()
                                .status(scenario.cell().daemons().get(0))
                                .path("workers")
                                .size()
                        == 1);
    }

    @Then("these requests are refused")
    public void requestsAreRefused(List<Map<String, String>> requests) {
        for (Map<String, String> request : requests) {
            HttpResult result = scenario.cellClient()
                    .httpClient()
                    .call(scenario.cell().daemons().get(0).httpAddress(), badRequest(request), 10_000);
            String expectedCode = "\"code\":" + request.get("code");
            assertTrue(text(result).contains(expectedCode), request + ": unexpected response " + text(result));
        }
    }

    @Then("the resource list of {string} is empty")
    public void listIsEmpty(String organisation) {
        HttpRequest list = CellClient.httpRequest("GET", "/v1/resources", "", CellClient.credential(organisation));
        HttpResult result = scenario.cellClient()
                .httpClient()
                .call(scenario.cell().daemons().get(0).httpAddress(), list, 10_000);
        assertTrue(text(result).contains("\"resources\":[]"), text(result));
    }

    private static HttpRequest badRequest(Map<String, String> request) {
        String credential = Map.of("wrong", "org:wrong", "none", "")
                .getOrDefault(request.get("credential"), CellClient.credential(request.get("credential")));
        String body = request.get("body") == null ? "" : request.get("body");
        HttpRequest httpRequest = CellClient.httpRequest(
                request.get("method"),
                request.get("path"),
                body.equals("OVERSIZE") ? "x".repeat(2 << 20) : body,
                credential);
        return body.equals("KEYED") ? httpRequest.withHeader("Idempotency-Key", "not-a-uuid") : httpRequest;
    }

    private java.util.stream.Stream<LocalDaemon> runningDaemons() {
        return scenario.cell().daemons().stream()
                .filter(daemon -> daemon != affectedDaemon && daemon.process().isAlive());
    }

    private long backendRuns() {
        return scenario.backends().stream().mapToLong(StandInBackend::runs).sum();
    }

    private LocalDaemon follower() {
        return scenario.daemonsExcept(scenario.cellClient().leader()).get(0);
    }

    private boolean hasBatch(LocalDaemon daemon, String name) {
        HttpRequest get = CellClient.httpRequest("GET", "/v1/batches/" + name, "", CellClient.credential("org"));
        return scenario.cellClient()
                .httpClient()
                .call(daemon.httpAddress(), get, 5_000)
                .hasStatus(200);
    }

    private static HttpRequest change(String name, int version, int operator) {
        String body = "{\"taskSize\":{\"cpuMillis\":100},\"taskCount\":" + (operator + 2) + "}";
        return CellClient.httpRequest("PUT", "/v1/batches/" + name, body, CellClient.credential("org"))
                .withHeader("If-Match", Integer.toString(version))
                .withHeader("Request-Id", "operator-" + operator);
    }

    private static boolean succeeded(HttpResult result) {
        return result.hasStatus(200);
    }

    private static String text(HttpResult result) {
        HttpResponse response = result.response();
        return response == null ? result.outcome().name() : response.text();
    }

    private static void await(String failureMessage, java.util.function.BooleanSupplier condition) {
        assertTrue(LocalCell.await(condition, ScenarioCell.TIMEOUT_MILLIS), failureMessage);
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
