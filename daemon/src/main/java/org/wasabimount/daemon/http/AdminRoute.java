package org.wasabimount.daemon.http;

import java.util.function.Function;
import java.util.function.Supplier;

import org.wasabimount.core.ResultCode;
import org.wasabimount.daemon.DaemonGroups;
import org.wasabimount.daemon.json.BadRequestException;
import org.wasabimount.daemon.json.JsonFields;
import org.wasabimount.daemon.peer.OperationGateway;
import org.wasabimount.protocol.cell.CellCommand;
import org.wasabimount.protocol.cell.CellQuery;
import org.wasabimount.protocol.cell.GetConfiguration;
import org.wasabimount.protocol.cell.GetStatus;
import org.wasabimount.protocol.cell.LoseWorker;
import org.wasabimount.protocol.cell.Operation;
import org.wasabimount.protocol.cell.Organisation;
import org.wasabimount.protocol.cell.PutConfiguration;
import org.wasabimount.protocol.cell.PutOrganisation;
import org.wasabimount.protocol.cell.Reply;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;

/** What only the platform's operator may do: organisations, configuration, status, drain and fencing. */
final class AdminRoute implements Route {

    private static final long TIMEOUT_MILLIS = 5_000;
    private static final int HASH_BYTES = 32;

    private final HttpExchanges exchanges;
    private final OperationGateway gateway;
    private final ByteString secretHash;
    private final Supplier<ObjectNode> localStatus;
    private final Runnable drain;

    AdminRoute(
            HttpExchanges exchanges,
            OperationGateway gateway,
            ByteString secretHash,
            Supplier<ObjectNode> localStatus,
            Runnable drain) {
        this.exchanges = exchanges;
        this.gateway = gateway;
        this.secretHash = secretHash;
        this.localStatus = localStatus;
        this.drain = drain;
    }

    @Override
    public void handle(HttpServerExchange exchange, String[] path, byte[] body) {
        PlatformRoute.requireSecret(exchange, secretHash);
        HttpString method = exchange.getRequestMethod();
        String first = path.length == 0 ? "" : path[0];
        if (first.equals("organisations") && path.length == 2 && method.equals(Methods.PUT)) {
            putOrganisation(exchange, HttpExchanges.requireName("name", path[1]), JsonFields.parse(body));
        } else if (first.equals("configuration") && method.equals(Methods.PUT)) {
            putConfiguration(exchange, JsonFields.parse(body));
        } else if (first.equals("configuration") && method.equals(Methods.GET)) {
            CellQuery query = CellQuery.newBuilder()
                    .setConfiguration(GetConfiguration.getDefaultInstance())
                    .build();
            execute(exchange, query(query), reply -> ResourceJson.write(reply.getConfiguration()));
        } else if (first.equals("status") && method.equals(Methods.GET)) {
            CellQuery query = CellQuery.newBuilder()
                    .setStatus(GetStatus.getDefaultInstance())
                    .build();
            execute(exchange, query(query), reply -> {
                ObjectNode json = ResourceJson.write(reply.getStatus());
                json.set("vm", localStatus.get());
                return json;
            });
        } else if (first.equals("workers") && path.length == 3 && path[2].equals("fence")) {
            fence(exchange, path[1], JsonFields.parse(body));
        } else if (first.equals("drain") && method.equals(Methods.POST)) {
            drain.run();
            HttpExchanges.send(exchange, ResultCode.OK.httpStatus(), "application/json", new byte[] {'{', '}'});
        } else {
            throw new BadRequestException(ResultCode.NO_SUCH_ROUTE, "there is nothing at this path");
        }
    }

    private void putOrganisation(HttpServerExchange exchange, String name, JsonFields fields) {
        Organisation.Builder organisation = Organisation.newBuilder()
                .setName(name)
                .setWeight(fields.integer("weight", 1))
                .setQuota(ResourceJson.readQuantity(fields.object("quota")));
        for (String hash : fields.texts("secretHashes")) {
            organisation.addSecretHashes(readHash(hash));
        }
        fields.rejectUnknownFields();
        PutOrganisation put =
                PutOrganisation.newBuilder().setOrganisation(organisation).build();
        write(exchange, CellCommand.newBuilder().setPutOrganisation(put), reply -> empty());
    }

    private static ByteString readHash(String text) {
        try {
            ByteString hash = ByteString.fromHex(text);
            if (hash.size() == HASH_BYTES) {
                return hash;
            }
        } catch (NumberFormatException e) {
            // Falls through to the error below.
        }
        throw new BadRequestException(ResultCode.INVALID_VALUE, "secretHashes must be SHA-256 in hexadecimal digits");
    }

    private void putConfiguration(HttpServerExchange exchange, JsonFields fields) {
        PutConfiguration.Builder put =
                PutConfiguration.newBuilder().setExpectedVersion(HttpExchanges.expectedVersion(exchange));
        JsonFields values = fields.object("values");
        values.names().forEach(name -> put.putValues(name, values.text(name)));
        fields.rejectUnknownFields();
        write(
                exchange,
                CellCommand.newBuilder().setPutConfiguration(put),
                reply -> ResourceJson.write(reply.getConfiguration()));
    }

    private void fence(HttpServerExchange exchange, String worker, JsonFields fields) {
        LoseWorker loss = LoseWorker.newBuilder()
                .setWorker(worker)
                .setIncarnation(fields.number("incarnation"))
                .setFenced(true)
                .build();
        fields.rejectUnknownFields();
        write(exchange, CellCommand.newBuilder().setLoseWorker(loss), reply -> empty());
    }

    private void write(HttpServerExchange exchange, CellCommand.Builder command, Function<Reply, ObjectNode> json) {
        Operation operation = Operation.newBuilder()
                .setGroup(DaemonGroups.CELL)
                .setCellCommand(command.setRequestId(HttpExchanges.requestId(exchange)))
                .build();
        execute(exchange, operation, json);
    }

    private void execute(HttpServerExchange exchange, Operation operation, Function<Reply, ObjectNode> json) {
        exchanges.answer(exchange, gateway.execute(operation, TIMEOUT_MILLIS), json);
    }

    private static Operation query(CellQuery query) {
        return Operation.newBuilder()
                .setGroup(DaemonGroups.CELL)
                .setCellQuery(query)
                .build();
    }

    private static ObjectNode empty() {
        return JsonFields.MAPPER.createObjectNode();
    }
}
