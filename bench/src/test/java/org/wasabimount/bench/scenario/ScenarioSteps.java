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

import org.wasabimount.bench.cell.CellAccess;
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

/** The sentences of the scenarios. */
public class ScenarioSteps {

    private static final long STARTED_MILLIS = 500;
    private static final long PROBE_MILLIS = 300;

    private ScenarioCell scenario;
    private LocalDaemon struck;
    private String key;
    private List<HttpResult> results = List.of();
    private int batches;
    private int winner;

    @After
    public void stop() throws IOException {
        if (scenario != null) {
            scenario.close();
        }
    }

    @Given("a cell of three domains whose links can be cut")
    public void startCell() throws IOException {
        scenario = new ScenarioCell();
        assertTrue(scenario.access().awaitReady(ScenarioCell.PATIENCE_MILLIS), "the cell is not ready");
    }

    @Given("organisation {string}")
    public void declareOrganisation(String name) {
        scenario.access().organisation(name, 1);
    }

    @Given("a backend server in each domain")
    public void addBackends() {
        addBackends(5);
    }

    @Given("a backend server in each domain that takes {int} milliseconds")
    public void addBackends(int serviceMillis) {
        scenario.addBackends(serviceMillis);
        for (LocalDaemon daemon : scenario.cell().daemons()) {
            await("no call is answered", () -> answered(scenario.call(daemon, "first", null)));
        }
    }

    @Given("batch {string} is declared")
    @Then("batch {string} can be declared")
    public void declareBatch(String name) {
        await(
                "batch " + name + " can't be declared",
                () -> running()
                        .anyMatch(daemon -> scenario.declare(daemon, name).hasStatus(200)));
    }

    @When("{int} batches are declared")
    public void declareBatches(int count) {
        for (batches = 0; batches < count; batches++) {
            declareBatch("many-" + batches);
        }
    }

    @When("the leader is killed")
    public void killLeader() {
        struck = scenario.access().leader();
        struck.kill();
    }

    @When("a follower is killed")
    public void killFollower() {
        struck = follower();
        struck.kill();
    }

    @When("the killed daemon is started again")
    public void startAgain() throws IOException {
        struck.start();
    }

    @When("the leader is frozen")
    public void freezeLeader() throws IOException {
        struck = scenario.access().leader();
        struck.signal("STOP");
    }

    @When("the frozen daemon is thawed")
    public void thaw() throws IOException {
        struck.signal("CONT");
        struck = null;
    }

    @When("the leader is cut off")
    public void cutLeaderOff() {
        struck = scenario.access().leader();
        scenario.cutOff(struck, true, true);
    }

    @When("the leader's outgoing links are cut")
    public void cutLeadersOutgoingLinks() {
        struck = scenario.access().leader();
        scenario.cutOff(struck, true, false);
    }

    @When("the domain of a follower is cut off")
    public void cutFollowerOff() {
        struck = follower();
        scenario.cutOff(struck, true, true);
    }

    @When("the links are healed")
    public void heal() {
        scenario.heal();
    }

    @When("a follower is killed and loses its disk")
    public void loseDisk() throws IOException {
        struck = follower();
        struck.kill();
        struck.loseDisk();
    }

    @Then("it does not start before its folder is made")
    public void refusesToStart() throws IOException, InterruptedException {
        struck.start();
        assertTrue(struck.process().waitFor(ScenarioCell.PATIENCE_MILLIS, TimeUnit.MILLISECONDS));
        assertEquals(struck.process().exitValue(), 71);
        assertTrue(struck.logText().contains("the data folder is not formatted"));
    }

    @When("its folder is made anew and it is started")
    public void formatAnew() throws IOException {
        struck.format(false);
        struck.start();
    }

    @Then("its new identity votes")
    public void votes() {
        LocalDaemon witness = scenario.others(struck).get(0);
        await("the new identity does not vote in every group", () -> {
            JsonNode groups = scenario.access().status(witness).path("vm").path("groups");
            long votes = StreamSupport.stream(groups.spliterator(), false)
                    .map(group -> List.of(group.path("voters").asText().split(" ")))
                    .filter(voters -> voters.stream().anyMatch(voter -> voter.startsWith(struck.name() + "/")))
                    .filter(voters -> !voters.contains(struck.name() + "/0"))
                    .count();
            return groups.size() > 0 && votes == groups.size();
        });
        await(
                "the repaired daemon is not ready",
                () -> scenario.cell().awaitReady(scenario.access().client(), List.of(struck.name()), 1_000));
    }

    @When("another daemon is killed")
    public void killAnother() {
        scenario.others(struck).get(0).kill();
    }

    @Then("every daemon is ready")
    public void allReady() {
        assertTrue(scenario.access().awaitReady(ScenarioCell.PATIENCE_MILLIS));
    }

    @Then("every daemon names the same leader")
    public void sameLeader() {
        await("the daemons name several leaders", () -> {
            long leaders = scenario.cell().daemons().stream()
                    .map(daemon -> scenario.access()
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

    @Then("batch {string} is known")
    public void batchKnown(String name) {
        await("batch " + name + " is lost", () -> running().anyMatch(daemon -> known(daemon, name)));
    }

    @Then("every batch is known through the restarted daemon")
    public void batchesKnown() {
        for (int number = 0; number < batches; number++) {
            String name = "many-" + number;
            await("batch " + name + " is lost", () -> known(struck, name));
        }
    }

    @Then("a write through the cut-off daemon is refused with {int}")
    public void writeRefused(int code) {
        await(
                "writes through the cut-off daemon are not refused",
                () -> text(scenario.access().putBatchAt(struck, "org", "refused", 0, 20_000))
                        .contains("\"code\":" + code));
    }

    @When("{int} operators change batch {string} from version {int} at once through all daemons")
    public void race(int operators, String name, int version) {
        List<CompletableFuture<HttpResult>> open = new ArrayList<>();
        for (int operator = 0; operator < operators; operator++) {
            LocalDaemon daemon = scenario.cell().daemons().get(operator % 3);
            open.add(scenario.access()
                    .client()
                    .send(daemon.httpAddress(), change(name, version, operator), 20_000, false));
        }
        results = open.stream().map(CompletableFuture::join).toList();
    }

    @Then("exactly {int} of them wins and the others are told {int}")
    public void oneWins(int wins, int code) {
        assertEquals(results.stream().filter(result -> result.hasStatus(200)).count(), wins);
        assertEquals(
                results.stream()
                        .filter(result -> text(result).contains("\"code\":" + code))
                        .count(),
                results.size() - wins);
        winner = results.indexOf(results.stream()
                .filter(result -> result.hasStatus(200))
                .findFirst()
                .orElseThrow());
    }

    @When("the winner sends the same request again")
    public void winnerSendsAgain() {
        HttpResult again = scenario.access()
                .client()
                .call(scenario.cell().daemons().get(0).httpAddress(), change("raced", 1, winner), 20_000);
        results = List.of(results.get(winner), again);
    }

    @Then("it is given the first result")
    public void firstResult() {
        assertTrue(results.get(1).hasStatus(200), text(results.get(1)));
        assertEquals(text(results.get(1)), text(results.get(0)));
    }

    @Then("calls through the cut-off daemon are answered by its own backend server")
    public void servedByOwnBackend() {
        String own = "backend-" + struck.name().substring(0, 2);
        await(
                "the cut-off domain does not serve",
                () -> text(scenario.call(struck, "x", null)).contains(own));
        for (int call = 0; call < 20; call++) {
            HttpResult result = scenario.call(struck, "call " + call, null);
            assertTrue(text(result).contains("call " + call) && text(result).contains(own), text(result));
        }
    }

    @Then("an unrepeatable call there that is homed elsewhere is refused as not run")
    public void unrepeatableRefused() {
        String refusedKey = scenario.others(struck).get(0).name().substring(0, 2) + ":" + ScenarioCell.newKey();
        HttpResult result = scenario.call(struck, "once", refusedKey);
        assertTrue(text(result).contains("\"outcome\":\"NOT_RUN\""), text(result));
        assertEquals(scenario.runs(refusedKey), 0);
    }

    @Then("an unrepeatable call through the cut-off daemon is answered")
    public void unrepeatableAnswered() {
        await("no unrepeatable call is answered", () -> answered(scenario.call(struck, "x", ScenarioCell.newKey())));
    }

    @When("an unrepeatable call is sent through a follower and the follower is killed")
    public void killWhileServing() {
        struck = follower();
        key = ScenarioCell.newKey();
        CompletableFuture<HttpResult> call = CompletableFuture.supplyAsync(() -> scenario.call(struck, "once", key));
        await("the call does not run", () -> scenario.runs(key) == 1);
        struck.kill();
        assertFalse(call.join().hasStatus(200));
    }

    @Then("its repeat through another daemon is never answered by a second run")
    public void neverASecondRun() {
        for (int repeat = 0; repeat < 8; repeat++) {
            HttpResult result = scenario.call(scenario.others(struck).get(repeat % 2), "once", key);
            assertFalse(result.hasStatus(200), text(result));
            pause(STARTED_MILLIS);
        }
        assertEquals(scenario.runs(key), 1);
    }

    @When("the first backend server leaves")
    public void backendLeaves() {
        scenario.backends().get(0).leave();
    }

    @Then("after {int} seconds it gets no new work")
    public void noNewWork(int seconds) {
        StandInBackend left = scenario.backends().get(0);
        pause(seconds * 1_000L);
        long before = left.runs();
        for (int call = 0; call < 60; call++) {
            assertTrue(answered(scenario.call(scenario.cell().daemons().get(call % 3), "x", null)));
        }
        assertEquals(left.runs(), before);
    }

    @When("a daemon is stopped gracefully under load")
    public void stopUnderLoad() {
        struck = follower();
        List<CompletableFuture<HttpResult>> open = new ArrayList<>();
        CompletableFuture<Integer> stop = CompletableFuture.supplyAsync(struck::terminate);
        HttpRequest call = CellAccess.message("PUT", "/call/echo/", "x", CellAccess.credential("org"));
        long probedMillis = 0;
        boolean ready = true;
        while (!stop.isDone()) {
            // The balancer probes now and then, and sends calls while the last probe said ready.
            if (System.currentTimeMillis() - probedMillis >= PROBE_MILLIS) {
                probedMillis = System.currentTimeMillis();
                ready = scenario.cell().awaitReady(scenario.access().client(), List.of(struck.name()), 0);
            }
            if (ready) {
                open.add(scenario.access().client().send(struck.httpAddress(), call, 10_000, false));
            }
            pause(10);
        }
        assertEquals((int) stop.join(), 0);
        results = open.stream().map(CompletableFuture::join).toList();
    }

    @Then("no call through it was cut off or lost")
    public void noCallLost() {
        long answeredCalls = results.stream().filter(ScenarioSteps::answered).count();
        List<String> cutOff = results.stream()
                .filter(result -> result.outcome() == HttpOutcome.CUT_SHORT
                        || result.outcome() == HttpOutcome.TIMED_OUT
                        || text(result).contains("\"outcome\":\"UNKNOWN\""))
                .map(ScenarioSteps::text)
                .toList();
        assertTrue(answeredCalls > 0, "no call was answered");
        assertEquals(cutOff, List.of());
    }

    @When("the configuration is changed {int} times")
    public void changeConfiguration(int times) {
        for (int change = 0; change < times; change++) {
            String body = "{\"values\":{\"routing.queue-limit\":\"" + (100 + change) + "\"}}";
            HttpRequest put = CellAccess.message("PUT", "/admin/configuration", body, LocalCell.ADMIN_SECRET)
                    .withHeader("Request-Id", "configuration-" + System.nanoTime());
            await(
                    "the configuration can't be changed",
                    () -> running()
                            .anyMatch(daemon -> scenario.access()
                                    .client()
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

    @Then("the restarted daemon never shows a version below {int}")
    public void neverReverts(int version) {
        for (int look = 0; look < 20; look++) {
            int shown = configurationVersion(struck);
            assertTrue(shown >= version, "it shows version " + shown);
        }
    }

    private int configurationVersion(LocalDaemon daemon) {
        return scenario.access()
                .status(daemon)
                .path("vm")
                .path("configurationVersion")
                .asInt();
    }

    @Given("a worker with {int} thousandths of a processor")
    public void addWorker(int cpuMillis) {
        scenario.addWorker(cpuMillis);
        await(
                "the worker is not known",
                () -> scenario.access()
                                .status(scenario.cell().daemons().get(0))
                                .path("workers")
                                .size()
                        == 1);
    }

    @Then("these requests are refused")
    public void refused(List<Map<String, String>> requests) {
        for (Map<String, String> request : requests) {
            HttpResult result = scenario.access()
                    .client()
                    .call(scenario.cell().daemons().get(0).httpAddress(), badRequest(request), 10_000);
            String wanted = "\"code\":" + request.get("code");
            assertTrue(text(result).contains(wanted), request + " is answered " + text(result));
        }
    }

    @Then("a list for {string} shows nothing")
    public void listIsEmpty(String organisation) {
        HttpRequest list = CellAccess.message("GET", "/v1/resources", "", CellAccess.credential(organisation));
        HttpResult result =
                scenario.access().client().call(scenario.cell().daemons().get(0).httpAddress(), list, 10_000);
        assertTrue(text(result).contains("\"resources\":[]"), text(result));
    }

    private static HttpRequest badRequest(Map<String, String> request) {
        String credential = Map.of("wrong", "org:wrong", "none", "")
                .getOrDefault(request.get("credential"), CellAccess.credential(request.get("credential")));
        String body = request.get("body") == null ? "" : request.get("body");
        HttpRequest message = CellAccess.message(
                request.get("method"),
                request.get("path"),
                body.equals("OVERSIZE") ? "x".repeat(2 << 20) : body,
                credential);
        return body.equals("KEYED") ? message.withHeader("Idempotency-Key", "not-a-uuid") : message;
    }

    private java.util.stream.Stream<LocalDaemon> running() {
        return scenario.cell().daemons().stream()
                .filter(daemon -> daemon != struck && daemon.process().isAlive());
    }

    private LocalDaemon follower() {
        return scenario.others(scenario.access().leader()).get(0);
    }

    private boolean known(LocalDaemon daemon, String name) {
        HttpRequest get = CellAccess.message("GET", "/v1/batches/" + name, "", CellAccess.credential("org"));
        return scenario.access().client().call(daemon.httpAddress(), get, 5_000).hasStatus(200);
    }

    private static HttpRequest change(String name, int version, int operator) {
        String body = "{\"taskSize\":{\"cpuMillis\":100},\"taskCount\":" + (operator + 2) + "}";
        return CellAccess.message("PUT", "/v1/batches/" + name, body, CellAccess.credential("org"))
                .withHeader("If-Match", Integer.toString(version))
                .withHeader("Request-Id", "operator-" + operator);
    }

    private static boolean answered(HttpResult result) {
        return result.hasStatus(200);
    }

    private static String text(HttpResult result) {
        HttpResponse response = result.response();
        return response == null ? result.outcome().name() : response.text();
    }

    private static void await(String complaint, java.util.function.BooleanSupplier condition) {
        assertTrue(LocalCell.await(condition, ScenarioCell.PATIENCE_MILLIS), complaint);
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
