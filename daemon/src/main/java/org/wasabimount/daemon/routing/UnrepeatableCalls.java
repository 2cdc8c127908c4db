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
 * Ensures that each unrepeatable request is executed at most once.
 *
 * <p>Before the request is sent, its key is claimed in the ledger of the key's home domain, on a majority of the
 * ledger's voters. The response is recorded before the caller receives it. A claim is released only if the request was
 * certainly not sent.
 */
public final class UnrepeatableCalls {

    private static final long LEDGER_TIMEOUT_MILLIS = 3_000;
    private static final int MAX_RECORDED_BODY_BYTES = 64 << 10;

    private final RoutingThread routing;
    private final OperationGateway gateway;
    private final List<FailureDomainId> domains;
    private final Clock clock;
    private final Clock wallClock;

    /**
     * Creates an instance.
     *
     * @param routing routes requests whose keys are claimed
     * @param gateway sends operations to the leaders of the ledgers
     * @param domains all failure domains, in an order that never changes
     * @param clock the monotonic clock
     * @param wallClock the wall clock
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
     * Returns the name of the group that replicates the ledger of a failure domain.
     *
     * @param domain the failure domain
     * @return the group's name
     */
    public static String group(FailureDomainId domain) {
        return "ledger-" + domain;
    }

    /**
     * Routes a request that has a key, or returns the response that the ledger holds for the key.
     *
     * @param request the request; its key must be present
     * @return a future that completes with the response to the first request, or with the reason of the refusal
     */
    public CompletableFuture<Either<Refusal, HttpResponse>> call(CallRequest request) {
        RequestKey key = request.key().orElseThrow();
        Optional<FailureDomainId> home = key.home(domains);
        if (home.isEmpty()) {
            return CompletableFuture.completedFuture(Either.left(Refusal.of(
                    ResultCode.BAD_KEY, "the key names \"" + key.home() + "\", which is not a failure domain")));
        }
        long remainingMillis = Math.max(1, request.deadlineMillis() - clock.millis());
        String attempt = UUID.randomUUID().toString();
        LedgerCommand claim = command(request, key)
                .setClaim(ClaimKey.newBuilder()
                        .setAttempt(attempt)
                        .setBodyHash(requestHash(request))
                        .setDeadlineMillis(wallClock.millis() + remainingMillis))
                .build();
        return execute(home.get(), claim, remainingMillis)
                .thenCompose(reply -> handleClaimReply(request, home.get(), attempt, reply));
    }

    private CompletableFuture<Either<Refusal, HttpResponse>> handleClaimReply(
            CallRequest request, FailureDomainId home, String attempt, Reply reply) {
        ResultCode code = ResultCode.of(reply.getResultCode());
        if (reply.hasAnswer()) {
            return CompletableFuture.completedFuture(Either.right(toHttpResponse(reply.getAnswer())));
        }
        if (code != ResultCode.OK) {
            // The request was not sent, whether or not its claim was committed.
            ResultCode reportedCode = code == ResultCode.COMMIT_UNKNOWN ? ResultCode.NO_LEADER : code;
            return CompletableFuture.completedFuture(
                    Either.left(new Refusal(reportedCode, reply.getDetail(), reply.getRetryAfterMillis())));
        }
        return routing.call(request).thenCompose(result -> recordOutcome(request, home, attempt, result));
    }

    private CompletableFuture<Either<Refusal, HttpResponse>> recordOutcome(
            CallRequest request, FailureDomainId home, String attempt, Either<Refusal, HttpResponse> result) {
        RequestKey key = request.key().orElseThrow();
        if (result.isRight()) {
            LedgerCommand complete = command(request, key)
                    .setComplete(CompleteKey.newBuilder().setAttempt(attempt).setAnswer(toRecordedAnswer(result.get())))
                    .build();
            // The response is complete and correct even if recording it fails; a repeat of the request then gets an
            // unknown outcome.
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

    private static RecordedAnswer toRecordedAnswer(HttpResponse answer) {
        boolean bodyDropped = answer.body().length > MAX_RECORDED_BODY_BYTES;
        String contentType = answer.header(Headers.CONTENT_TYPE).orElse("");
        return RecordedAnswer.newBuilder()
                .setStatus(answer.status())
                .setContentType(contentType)
                .setBody(bodyDropped ? ByteString.EMPTY : ByteString.copyFrom(answer.body()))
                .setBodyDropped(bodyDropped)
                .build();
    }

    private static HttpResponse toHttpResponse(RecordedAnswer recorded) {
        List<HttpHeader> headers = recorded.getContentType().isEmpty()
                ? List.of()
                : List.of(new HttpHeader(Headers.CONTENT_TYPE, recorded.getContentType()));
        return new HttpResponse(
                recorded.getStatus(), headers, recorded.getBody().toByteArray());
    }

    private static ByteString requestHash(CallRequest request) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            String requestLine = request.service() + " " + request.method() + " " + request.path() + "\n";
            digest.update(requestLine.getBytes(StandardCharsets.UTF_8));
            return ByteString.copyFrom(digest.digest(request.body()));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 must be available on every Java platform", e);
        }
    }
}
