package org.wasabimount.daemon.http;

import java.util.function.Supplier;

import org.wasabimount.core.OrganisationId;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.cell.WorkKind;
import org.wasabimount.daemon.DaemonGroups;
import org.wasabimount.daemon.cell.Directory;
import org.wasabimount.daemon.json.BadRequestException;
import org.wasabimount.daemon.json.JsonFields;
import org.wasabimount.daemon.peer.OperationGateway;
import org.wasabimount.protocol.cell.CellCommand;
import org.wasabimount.protocol.cell.CellQuery;
import org.wasabimount.protocol.cell.DeleteResource;
import org.wasabimount.protocol.cell.GetResource;
import org.wasabimount.protocol.cell.ListResources;
import org.wasabimount.protocol.cell.Operation;
import org.wasabimount.protocol.cell.PutResource;
import org.wasabimount.protocol.cell.Reply;
import org.wasabimount.protocol.cell.ResourceSpec;
import org.wasabimount.protocol.cell.WatchResources;

import com.fasterxml.jackson.databind.node.ObjectNode;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;

/** Handles requests for the resources of the organisation that the request's credential identifies. */
final class ResourceRoute implements Route {

    private static final long TIMEOUT_MILLIS = 5_000;

    private final HttpExchanges exchanges;
    private final OperationGateway gateway;
    private final Supplier<Directory> directory;

    ResourceRoute(HttpExchanges exchanges, OperationGateway gateway, Supplier<Directory> directory) {
        this.exchanges = exchanges;
        this.gateway = gateway;
        this.directory = directory;
    }

    @Override
    public void handle(HttpServerExchange exchange, String[] path, byte[] body) {
        OrganisationId organisation = directory
                .get()
                .authenticate(HttpExchanges.credential(exchange))
                .orElseThrow(() ->
                        new BadRequestException(ResultCode.UNAUTHENTICATED, "the credential is missing or wrong"));
        HttpString method = exchange.getRequestMethod();
        if (path.length == 1 && path[0].equals("watch") && method.equals(Methods.GET)) {
            watch(exchange, organisation);
        } else if (path.length == 1 && path[0].equals("resources") && method.equals(Methods.GET)) {
            ListResources list = ListResources.newBuilder()
                    .setOrganisation(organisation.name())
                    .setAfter(HttpExchanges.query(exchange, "after").orElse(""))
                    .build();
            query(exchange, CellQuery.newBuilder().setList(list), reply -> ResourceJson.write(reply.getResources()));
        } else if (path.length == 2) {
            WorkKind kind = WorkKind.ofSegment(path[0])
                    .orElseThrow(() -> new BadRequestException(
                            ResultCode.UNKNOWN_KIND, "unknown resource kind \"" + path[0] + "\""));
            handleResource(exchange, organisation, kind, HttpExchanges.requireName("name", path[1]), body);
        } else {
            throw new BadRequestException(ResultCode.NO_SUCH_ROUTE, "there is nothing at this path");
        }
    }

    private void handleResource(
            HttpServerExchange exchange, OrganisationId organisation, WorkKind kind, String name, byte[] body) {
        HttpString method = exchange.getRequestMethod();
        if (method.equals(Methods.GET)) {
            GetResource get = GetResource.newBuilder()
                    .setOrganisation(organisation.name())
                    .setKind(kind.messageKind())
                    .setName(name)
                    .build();
            query(exchange, CellQuery.newBuilder().setGet(get), reply -> writeResource(exchange, reply));
        } else if (method.equals(Methods.PUT)) {
            ResourceSpec spec = ResourceJson.readSpec(JsonFields.parse(body));
            PutResource put = PutResource.newBuilder()
                    .setOrganisation(organisation.name())
                    .setKind(kind.messageKind())
                    .setName(name)
                    .setSpec(spec)
                    .setExpectedVersion(HttpExchanges.expectedVersion(exchange))
                    .build();
            write(exchange, CellCommand.newBuilder().setPutResource(put));
        } else if (method.equals(Methods.DELETE)) {
            DeleteResource delete = DeleteResource.newBuilder()
                    .setOrganisation(organisation.name())
                    .setKind(kind.messageKind())
                    .setName(name)
                    .setExpectedVersion(HttpExchanges.expectedVersion(exchange))
                    .build();
            write(exchange, CellCommand.newBuilder().setDeleteResource(delete));
        } else {
            throw new BadRequestException(
                    ResultCode.NO_SUCH_ROUTE, "the method " + method + " is not supported at this path");
        }
    }

    private void watch(HttpServerExchange exchange, OrganisationId organisation) {
        WatchResources watch = WatchResources.newBuilder()
                .setOrganisation(organisation.name())
                .setFromRevision(HttpExchanges.queryNumber(exchange, "fromRevision", 0))
                .setWaitMillis(HttpExchanges.queryNumber(exchange, "waitMillis", 0))
                .build();
        query(exchange, CellQuery.newBuilder().setWatch(watch), reply -> ResourceJson.write(reply.getResources()));
    }

    private void query(
            HttpServerExchange exchange, CellQuery.Builder query, java.util.function.Function<Reply, ObjectNode> json) {
        Operation operation = Operation.newBuilder()
                .setGroup(DaemonGroups.CELL)
                .setCellQuery(query)
                .build();
        long waitMillis = query.getWatch().getWaitMillis();
        exchanges.respond(exchange, gateway.execute(operation, TIMEOUT_MILLIS + waitMillis), json);
    }

    private void write(HttpServerExchange exchange, CellCommand.Builder command) {
        Operation operation = Operation.newBuilder()
                .setGroup(DaemonGroups.CELL)
                .setCellCommand(command.setRequestId(HttpExchanges.requestId(exchange)))
                .build();
        exchanges.respond(
                exchange, gateway.execute(operation, TIMEOUT_MILLIS), reply -> writeResource(exchange, reply));
    }

    private static ObjectNode writeResource(HttpServerExchange exchange, Reply reply) {
        exchange.getResponseHeaders()
                .put(Headers.ETAG, "\"" + reply.getResource().getVersion() + "\"");
        return ResourceJson.write(reply.getResource());
    }
}
