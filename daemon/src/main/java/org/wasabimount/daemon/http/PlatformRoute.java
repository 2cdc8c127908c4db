package org.wasabimount.daemon.http;

import org.wasabimount.core.ResultCode;
import org.wasabimount.daemon.DaemonGroups;
import org.wasabimount.daemon.cell.Directory;
import org.wasabimount.daemon.json.BadRequestException;
import org.wasabimount.daemon.json.JsonFields;
import org.wasabimount.daemon.peer.OperationGateway;
import org.wasabimount.daemon.routing.RoutingThread;
import org.wasabimount.protocol.cell.Operation;

import com.google.protobuf.ByteString;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;

/** The announcements of workers and backend servers. */
final class PlatformRoute implements Route {

    private static final long TIMEOUT_MILLIS = 3_000;

    private final HttpExchanges exchanges;
    private final OperationGateway gateway;
    private final RoutingThread routing;
    private final ByteString secretHash;

    PlatformRoute(HttpExchanges exchanges, OperationGateway gateway, RoutingThread routing, ByteString secretHash) {
        this.exchanges = exchanges;
        this.gateway = gateway;
        this.routing = routing;
        this.secretHash = secretHash;
    }

    @Override
    public void handle(HttpServerExchange exchange, String[] path, byte[] body) {
        requireSecret(exchange, secretHash);
        boolean announces = path.length == 1 && exchange.getRequestMethod().equals(Methods.POST);
        if (announces && path[0].equals("backend")) {
            routing.localAnnouncementReceived(ResourceJson.readAnnouncement(JsonFields.parse(body)));
            HttpExchanges.send(exchange, ResultCode.OK.httpStatus(), "application/json", new byte[] {'{', '}'});
        } else if (announces && path[0].equals("worker")) {
            Operation operation = Operation.newBuilder()
                    .setGroup(DaemonGroups.CELL)
                    .setWorkerHeartbeat(ResourceJson.readHeartbeat(JsonFields.parse(body)))
                    .build();
            long waitMillis = operation.getWorkerHeartbeat().getWaitMillis();
            exchanges.answer(
                    exchange,
                    gateway.execute(operation, TIMEOUT_MILLIS + waitMillis),
                    reply -> ResourceJson.write(reply.getOrders()));
        } else {
            throw new BadRequestException(ResultCode.NO_SUCH_ROUTE, "there is nothing at this path");
        }
    }

    /** Refuses a request that does not carry the secret with a hash. */
    static void requireSecret(HttpServerExchange exchange, ByteString hash) {
        ByteString given = Directory.hash(HttpExchanges.credential(exchange));
        if (!java.security.MessageDigest.isEqual(given.toByteArray(), hash.toByteArray())) {
            throw new BadRequestException(ResultCode.UNAUTHENTICATED, "the credential is missing or wrong");
        }
    }
}
