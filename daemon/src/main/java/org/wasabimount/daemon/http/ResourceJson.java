package org.wasabimount.daemon.http;

import java.time.Instant;

import org.wasabimount.core.cell.WorkKind;
import org.wasabimount.daemon.json.JsonFields;
import org.wasabimount.protocol.cell.CellStatus;
import org.wasabimount.protocol.cell.Configuration;
import org.wasabimount.protocol.cell.PartitionPolicy;
import org.wasabimount.protocol.cell.Quantity;
import org.wasabimount.protocol.cell.Resource;
import org.wasabimount.protocol.cell.ResourceList;
import org.wasabimount.protocol.cell.ResourceSpec;
import org.wasabimount.protocol.cell.TaskCounts;
import org.wasabimount.protocol.cell.TaskOrder;
import org.wasabimount.protocol.cell.TaskPhase;
import org.wasabimount.protocol.cell.TaskReport;
import org.wasabimount.protocol.cell.TaskStatus;
import org.wasabimount.protocol.cell.WorkerHeartbeat;
import org.wasabimount.protocol.cell.WorkerOrders;
import org.wasabimount.protocol.cell.WorkerState;
import org.wasabimount.protocol.peer.BackendAnnouncement;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Turns the messages of the cell into JSON and back. */
final class ResourceJson {

    private static final int DEFAULT_MAX_ATTEMPTS = 3;

    private ResourceJson() {}

    static ResourceSpec readSpec(JsonFields fields) {
        ResourceSpec.Builder spec = ResourceSpec.newBuilder()
                .setTaskSize(readQuantity(fields.object("taskSize")))
                .setTaskCount(fields.integer("taskCount", 1))
                .setUrgent(fields.flag("urgent", false))
                .setMaxAttempts(fields.integer("maxAttempts", DEFAULT_MAX_ATTEMPTS))
                .setDeclaredRunMillis(fields.number("declaredRunMillis", 0));
        if (fields.has("onPartition")) {
            spec.setOnPartition(fields.enumConstant("onPartition", PartitionPolicy.class));
        }
        fields.rejectUnknownFields();
        return spec.build();
    }

    static Quantity readQuantity(JsonFields fields) {
        Quantity quantity = Quantity.newBuilder()
                .setCpuMillis(fields.number("cpuMillis", 0))
                .setMemoryMegabytes(fields.number("memoryMegabytes", 0))
                .setAccelerators(fields.number("accelerators", 0))
                .build();
        fields.rejectUnknownFields();
        return quantity;
    }

    static WorkerHeartbeat readHeartbeat(JsonFields fields) {
        String worker = HttpExchanges.requireName("worker", fields.text("worker"));
        WorkerHeartbeat.Builder heartbeat = WorkerHeartbeat.newBuilder()
                .setWorker(WorkerState.newBuilder()
                        .setWorker(worker)
                        .setIncarnation(fields.number("incarnation"))
                        .setDomain(HttpExchanges.requireName("domain", fields.text("domain")))
                        .setRack(fields.text("rack"))
                        .setSize(readQuantity(fields.object("size")))
                        .setLeaving(fields.flag("leaving", false)))
                .setWaitMillis(fields.number("waitMillis", 0));
        for (JsonFields task : fields.objects("tasks")) {
            heartbeat.addTasks(TaskReport.newBuilder()
                    .setTask(task.text("task"))
                    .setEpoch(task.number("epoch"))
                    .setPhase(task.enumConstant("phase", TaskPhase.class))
                    .setWorker(worker));
            task.rejectUnknownFields();
        }
        fields.rejectUnknownFields();
        return heartbeat.build();
    }

    static BackendAnnouncement readAnnouncement(JsonFields fields) {
        BackendAnnouncement announcement = BackendAnnouncement.newBuilder()
                .setServer(HttpExchanges.requireName("server", fields.text("server")))
                .setOrganisation(HttpExchanges.requireName("organisation", fields.text("organisation")))
                .setService(HttpExchanges.requireName("service", fields.text("service")))
                .setAddress(fields.text("address"))
                .setDomain(HttpExchanges.requireName("domain", fields.text("domain")))
                .setSlots(fields.integer("slots", 1))
                .setConnections(fields.integer("connections", 1))
                .setLeaving(fields.flag("leaving", false))
                .setShared(fields.flag("shared", false))
                .setSequence(fields.number("sequence"))
                .build();
        fields.rejectUnknownFields();
        return announcement;
    }

    static ObjectNode write(WorkerOrders orders) {
        ObjectNode json = JsonFields.MAPPER.createObjectNode().put("leaseMillis", orders.getLeaseMillis());
        ArrayNode start = json.putArray("start");
        orders.getStartList().forEach(order -> start.add(write(order)));
        ArrayNode stop = json.putArray("stop");
        orders.getStopList()
                .forEach(order -> stop.addObject().put("task", order.getTask()).put("epoch", order.getEpoch()));
        return json;
    }

    private static ObjectNode write(TaskOrder order) {
        ObjectNode json = JsonFields.MAPPER
                .createObjectNode()
                .put("task", order.getTask())
                .put("epoch", order.getEpoch())
                .put("onPartition", order.getOnPartition().name())
                .put("declaredRunMillis", order.getDeclaredRunMillis());
        json.set("size", write(order.getSize()));
        return json;
    }

    static ObjectNode write(Resource resource) {
        ObjectNode json = JsonFields.MAPPER
                .createObjectNode()
                .put("organisation", resource.getOrganisation())
                .put("kind", WorkKind.of(resource.getKind()).segment())
                .put("name", resource.getName())
                .put("version", resource.getVersion())
                .put("revision", resource.getRevision())
                .put("phase", resource.getPhase().name())
                .put("reason", resource.getReason())
                .put(
                        "created",
                        Instant.ofEpochMilli(resource.getCreatedMillis()).toString());
        json.set("spec", write(resource.getSpec()));
        json.set("tasks", write(resource.getCounts()));
        if (resource.getTasksCount() > 0) {
            ArrayNode tasks = json.putArray("taskList");
            resource.getTasksList().forEach(task -> tasks.add(write(task)));
        }
        return json;
    }

    private static ObjectNode write(ResourceSpec spec) {
        ObjectNode json = JsonFields.MAPPER
                .createObjectNode()
                .put("taskCount", spec.getTaskCount())
                .put("urgent", spec.getUrgent())
                .put("onPartition", spec.getOnPartition().name())
                .put("maxAttempts", spec.getMaxAttempts())
                .put("declaredRunMillis", spec.getDeclaredRunMillis());
        json.set("taskSize", write(spec.getTaskSize()));
        return json;
    }

    static ObjectNode write(Quantity quantity) {
        return JsonFields.MAPPER
                .createObjectNode()
                .put("cpuMillis", quantity.getCpuMillis())
                .put("memoryMegabytes", quantity.getMemoryMegabytes())
                .put("accelerators", quantity.getAccelerators());
    }

    private static ObjectNode write(TaskCounts counts) {
        return JsonFields.MAPPER
                .createObjectNode()
                .put("pending", counts.getPending())
                .put("bound", counts.getBound())
                .put("running", counts.getRunning())
                .put("stopping", counts.getStopping())
                .put("succeeded", counts.getSucceeded())
                .put("failed", counts.getFailed());
    }

    private static ObjectNode write(TaskStatus task) {
        return JsonFields.MAPPER
                .createObjectNode()
                .put("task", task.getTask())
                .put("phase", task.getPhase().name())
                .put("worker", task.getWorker())
                .put("epoch", task.getEpoch())
                .put("failures", task.getFailures());
    }

    static ObjectNode write(ResourceList list) {
        ObjectNode json = JsonFields.MAPPER.createObjectNode().put("revision", list.getRevision());
        ArrayNode resources = json.putArray("resources");
        list.getResourcesList().forEach(resource -> resources.add(write(resource)));
        if (!list.getNext().isEmpty()) {
            json.put("next", list.getNext());
        }
        return json;
    }

    static ObjectNode write(Configuration configuration) {
        ObjectNode json = JsonFields.MAPPER.createObjectNode().put("version", configuration.getVersion());
        ObjectNode values = json.putObject("values");
        configuration.getValuesMap().forEach(values::put);
        return json;
    }

    static ObjectNode write(CellStatus status) {
        ObjectNode json = JsonFields.MAPPER
                .createObjectNode()
                .put("revision", status.getRevision())
                .put("configurationVersion", status.getConfigurationVersion());
        ObjectNode tasks = json.putObject("tasks");
        status.getTasksByPhaseMap().forEach(tasks::put);
        ArrayNode workers = json.putArray("workers");
        status.getWorkersList().forEach(worker -> workers.add(write(worker)));
        ArrayNode organisations = json.putArray("organisations");
        status.getOrganisationsList().forEach(organisations::add);
        return json;
    }

    private static ObjectNode write(WorkerState worker) {
        return JsonFields.MAPPER
                .createObjectNode()
                .put("worker", worker.getWorker())
                .put("incarnation", worker.getIncarnation())
                .put("domain", worker.getDomain())
                .put("rack", worker.getRack())
                .put("lost", worker.getLost())
                .put("leaving", worker.getLeaving())
                .put(
                        "failures",
                        worker.getFailuresMap().values().stream()
                                .mapToInt(Integer::intValue)
                                .sum());
    }
}
