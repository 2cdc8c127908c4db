package org.wasabimount.daemon.routing;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;

import org.wasabimount.client.HttpHeader;
import org.wasabimount.client.HttpResponse;
import org.wasabimount.core.Clock;
import org.wasabimount.core.FailureDomainId;
import org.wasabimount.core.Refusal;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.ledger.RequestKey;
import org.wasabimount.daemon.peer.OperationGateway;
import org.wasabimount.protocol.cell.ClaimKey;
import org.wasabimount.protocol.cell.CompleteKey;
import org.wasabimount.protocol.cell.LedgerCommand;
import org.wasabimount.protocol.cell.Operation;
import org.wasabimount.protocol.cell.RecordedAnswer;
import org.wasabimount.protocol.cell.ReleaseKey;
import org.wasabimount.protocol.cell.Reply;

import com.google.protobuf.ByteString;

import io.undertow.util.Headers;
import io.vavr.control.Either;

/**
 * Has each unrepeatable request run at most once.
 *
 * <p>The key is claimed in the ledger of its home domain, on a majority of its voters, before the request may leave.
 * The answer is recorded before the caller gets it; a claim is given back only when surely nothing was sent.
 */
public final class UnrepeatableCalls {

    private static final long LEDGER_TIMEOUT_MILLIS = 3_000;
    private static final int MAX_RECORDED_BYTES = 64 << 10;

    private final RoutingThread routing;
    private final OperationGateway gateway;
    private final List<FailureDomainId> domains;
    private final Clock clock;
    private final Clock wallClock;

    /**
     * Creates the calls.
     *
     * @param routing routes claimed requests
     * @param gateway reaches the ledgers' leaders
     * @param domains all failure domains, in an order that never changes
     * @param clock monotonic time
     * @param wallClock time of day
     */
    public UnrepeatableCalls(
            RoutingThread routing,
            OperationGateway gateway,
            List<FailureDomainId> domains,
            Clock clock,
            Clock wallClock) {
        this.routing = routing;
        this.gateway = gateway;
        this.domains = domains;
        this.clock = clock;
        this.wallClock = wallClock;
    }

    /**
     * Returns the name of a domain's ledger group.
     *
     * @param domain the domain
     * @return the group's name
     */
    public static String group(FailureDomainId domain) {
        return "ledger-" + domain;
    }

    /**
     * Runs a request with a key, or answers it from the ledger.
     *
     * @param request the request; its key must be present
     * @return completed with the first request's answer, or with the reason why there is none
     */
    public CompletableFuture<Either<Refusal, HttpResponse>> call(CallRequest request) {
        RequestKey key = request.key().orElseThrow();
        Optional<FailureDomainId> home = key.home(domains);
        if (home.isEmpty()) {
            return CompletableFuture.completedFuture(Either.left(
                    Refusal.of(ResultCode.BAD_KEY, "the key names \"" + key.home() + "\", which is no domain")));
        }
        long leftMillis = Math.max(1, request.deadlineMillis() - clock.millis());
        String attempt = UUID.randomUUID().toString();
        LedgerCommand claim = command(request, key)
                .setClaim(ClaimKey.newBuilder()
                        .setAttempt(attempt)
                        .setBodyHash(hash(request))
                        .setDeadlineMillis(wallClock.millis() + leftMillis))
                .build();
        return execute(home.get(), claim, leftMillis)
                .thenCompose(reply -> claimed(request, home.get(), attempt, reply));
    }

    private CompletableFuture<Either<Refusal, HttpResponse>> claimed(
            CallRequest request, FailureDomainId home, String attempt, Reply reply) {
        ResultCode code = ResultCode.of(reply.getResultCode());
        if (reply.hasAnswer()) {
            return CompletableFuture.completedFuture(Either.right(replay(reply.getAnswer())));
        }
        if (code != ResultCode.OK) {
            // This request itself was not sent, whatever became of its claim.
            ResultCode shown = code == ResultCode.COMMIT_UNKNOWN ? ResultCode.NO_LEADER : code;
            return CompletableFuture.completedFuture(
                    Either.left(new Refusal(shown, reply.getDetail(), reply.getRetryAfterMillis())));
        }
        return routing.call(request).thenCompose(result -> settle(request, home, attempt, result));
    }

    private CompletableFuture<Either<Refusal, HttpResponse>> settle(
            CallRequest request, FailureDomainId home, String attempt, Either<Refusal, HttpResponse> result) {
        RequestKey key = request.key().orElseThrow();
        if (result.isRight()) {
            LedgerCommand complete = command(request, key)
                    .setComplete(CompleteKey.newBuilder().setAttempt(attempt).setAnswer(record(result.get())))
                    .build();
            // The answer is whole and true even if its record fails: a repeat is then told that it is unknown.
            return execute(home, complete, LEDGER_TIMEOUT_MILLIS).thenApply(recorded -> result);
        }
        if (result.getLeft().code().outcome() == ResultCode.Outcome.NOT_RUN) {
            LedgerCommand release = command(request, key)
                    .setRelease(ReleaseKey.newBuilder().setAttempt(attempt))
                    .build();
            return execute(home, release, LEDGER_TIMEOUT_MILLIS).thenApply(released -> result);
        }
        return CompletableFuture.completedFuture(result);
    }

    private CompletableFuture<Reply> execute(FailureDomainId home, LedgerCommand command, long timeoutMillis) {
        Operation operation = Operation.newBuilder()
                .setGroup(group(home))
                .setLedgerCommand(command)
                .build();
        return gateway.execute(operation, Math.min(timeoutMillis, LEDGER_TIMEOUT_MILLIS));
    }

    private static LedgerCommand.Builder command(CallRequest request, RequestKey key) {
        return LedgerCommand.newBuilder()
                .setOrganisation(request.organisation().name())
                .setKey(key.toString());
    }

    private static RecordedAnswer record(HttpResponse answer) {
        boolean dropped = answer.body().length > MAX_RECORDED_BYTES;
        String contentType = answer.header(Headers.CONTENT_TYPE).orElse("");
        return RecordedAnswer.newBuilder()
                .setStatus(answer.status())
                .setContentType(contentType)
                .setBody(dropped ? ByteString.EMPTY : ByteString.copyFrom(answer.body()))
                .setBodyDropped(dropped)
                .build();
    }

    private static HttpResponse replay(RecordedAnswer recorded) {
        List<HttpHeader> headers = recorded.getContentType().isEmpty()
                ? List.of()
                : List.of(new HttpHeader(Headers.CONTENT_TYPE, recorded.getContentType()));
        return new HttpResponse(
                recorded.getStatus(), headers, recorded.getBody().toByteArray());
    }

    private static ByteString hash(CallRequest request) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            String head = request.service() + " " + request.method() + " " + request.path() + "\n";
            digest.update(head.getBytes(StandardCharsets.UTF_8));
            return ByteString.copyFrom(digest.digest(request.body()));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
