package org.wasabimount.core.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.wasabimount.core.Names;
import org.wasabimount.core.Refusal;
import org.wasabimount.core.ResultCode;
import org.wasabimount.protocol.cell.Binding;
import org.wasabimount.protocol.cell.CellCommand;
import org.wasabimount.protocol.cell.CellQuery;
import org.wasabimount.protocol.cell.CellSnapshot;
import org.wasabimount.protocol.cell.CellStatus;
import org.wasabimount.protocol.cell.Configuration;
import org.wasabimount.protocol.cell.DeleteResource;
import org.wasabimount.protocol.cell.GetResource;
import org.wasabimount.protocol.cell.ListResources;
import org.wasabimount.protocol.cell.LoseWorker;
import org.wasabimount.protocol.cell.Organisation;
import org.wasabimount.protocol.cell.PutConfiguration;
import org.wasabimount.protocol.cell.PutResource;
import org.wasabimount.protocol.cell.RecordedReply;
import org.wasabimount.protocol.cell.Reply;
import org.wasabimount.protocol.cell.Resource;
import org.wasabimount.protocol.cell.ResourceList;
import org.wasabimount.protocol.cell.ResourceSpec;
import org.wasabimount.protocol.cell.WatchResources;
import org.wasabimount.protocol.cell.WorkerState;

/** The state machine of the cell log. */
public final class CellState {

    /** Key under which replies to the platform operator's writes are recorded, in place of an organisation's name. */
    private static final String PLATFORM = "";

    private static final int MAX_WATCH_EVENTS = 500;
    private static final int MAX_PAGE_RESOURCES = 500;

    private final Map<String, OrganisationAccount> organisations = new LinkedHashMap<>();
    private final NavigableMap<String, DeclaredResource> resources = new TreeMap<>();
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    private final Set<DeclaredResource> pendingResources = new LinkedHashSet<>();
    private final History history = new History();
    private final RecordedReplies replies = new RecordedReplies();
    private final TaskTransitions transitions = new TaskTransitions(this::recordChange);
    private Configuration configuration = Configuration.getDefaultInstance();
    private long revision;
    private long fleetVersion;
    private long nextEpoch = 1;

    /**
     * Applies one committed command of the log.
     *
     * @param command the command
     * @return the reply to its sender, identical on every replica
     */
    public Reply apply(CellCommand command) {
        return switch (command.getBodyCase()) {
            case PUT_ORGANISATION ->
                applyOnce(
                        PLATFORM,
                        command,
                        () -> putOrganisation(command.getPutOrganisation().getOrganisation()));
            case PUT_CONFIGURATION ->
                applyOnce(PLATFORM, command, () -> putConfiguration(command.getPutConfiguration()));
            case PUT_RESOURCE ->
                applyOnce(
                        command.getPutResource().getOrganisation(),
                        command,
                        () -> putResource(command.getPutResource(), command.getTimeMillis()));
            case DELETE_RESOURCE ->
                applyOnce(
                        command.getDeleteResource().getOrganisation(),
                        command,
                        () -> deleteResource(command.getDeleteResource()));
            case REGISTER_WORKER -> registerWorker(command.getRegisterWorker().getWorker(), command.getTimeMillis());
            case LOSE_WORKER -> loseWorker(command.getLoseWorker(), command.getTimeMillis());
            case BIND_TASKS -> bindTasks(command.getBindTasks().getBindingsList(), command.getTimeMillis());
            case REPORT_TASKS -> {
                command.getReportTasks()
                        .getReportsList()
                        .forEach(report -> task(report.getTask())
                                .ifPresent(task -> transitions.report(task, report, command.getTimeMillis())));
                removeDeletedResources();
                yield ok().build();
            }
            case PREEMPT_TASKS -> {
                command.getPreemptTasks()
                        .getTasksList()
                        .forEach(report ->
                                task(report.getTask()).ifPresent(task -> transitions.preempt(task, report.getEpoch())));
                yield ok().build();
            }
            case BODY_NOT_SET -> refuse(ResultCode.MALFORMED, "the command has no body");
        };
    }

    /**
     * Answers a query from the current state.
     *
     * @param query the query
     * @return the reply
     */
    public Reply query(CellQuery query) {
        return switch (query.getBodyCase()) {
            case GET -> get(query.getGet());
            case LIST -> list(query.getList());
            case WATCH -> watch(query.getWatch());
            case STATUS -> ok().setStatus(status()).build();
            case CONFIGURATION -> ok().setConfiguration(configuration).build();
            case BODY_NOT_SET -> refuse(ResultCode.MALFORMED, "the query has no body");
        };
    }

    /**
     * Returns the revision of the last recorded change.
     *
     * @return the revision
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration
     */
    public Configuration configuration() {
        return configuration;
    }

    /**
     * Returns all workers.
     *
     * @return an unmodifiable view
     */
    public Collection<Worker> workers() {
        return Collections.unmodifiableCollection(workers.values());
    }

    /**
     * Returns a counter that increases whenever a worker is registered for the first time or with changed data.
     *
     * @return the counter, not kept across a restart
     */
    public long fleetVersion() {
        return fleetVersion;
    }

    /**
     * Returns a worker.
     *
     * @param name the worker's name
     * @return the worker, or empty if it was never registered
     */
    public Optional<Worker> worker(String name) {
        return Optional.ofNullable(workers.get(name));
    }

    /**
     * Returns all organisations.
     *
     * @return an unmodifiable view
     */
    public Collection<OrganisationAccount> organisations() {
        return Collections.unmodifiableCollection(organisations.values());
    }

    /**
     * Returns the resources that have a pending task and are neither being deleted nor broken, in the order in which
     * they came to have one.
     *
     * @return an unmodifiable view
     */
    public Set<DeclaredResource> pendingResources() {
        return Collections.unmodifiableSet(pendingResources);
    }

    /**
     * Returns all resources.
     *
     * @return an unmodifiable view
     */
    public Collection<DeclaredResource> resources() {
        return Collections.unmodifiableCollection(resources.values());
    }

    /**
     * Returns whether a heartbeat carries worker data that the log does not hold yet.
     *
     * @param announced the worker data in the heartbeat
     * @return true if the worker has to be registered
     */
    public boolean needsRegistration(WorkerState announced) {
        Worker registered = workers.get(announced.getWorker());
        return registered == null || registered.differsFrom(announced);
    }

    /**
     * Returns whether a heartbeat was sent by an earlier incarnation of a worker and arrived late.
     *
     * @param announced the worker data in the heartbeat
     * @return true if the heartbeat must not change any state
     */
    public boolean isFromEarlierIncarnation(WorkerState announced) {
        Worker registered = workers.get(announced.getWorker());
        return registered != null && announced.getIncarnation() < registered.incarnation();
    }

    /**
     * Finds a resource.
     *
     * @param get its organisation, kind and name
     * @return the resource, or empty if there is none
     */
    public Optional<DeclaredResource> find(GetResource get) {
        return Optional.ofNullable(
                resources.get(DeclaredResource.key(get.getOrganisation(), get.getKind(), get.getName())));
    }

    /**
     * Finds a task.
     *
     * @param id the task's id
     * @return the task, or empty if there is none
     */
    public Optional<Task> task(String id) {
        int slash = id.lastIndexOf('/');
        DeclaredResource owner = slash < 0 ? null : resources.get(id.substring(0, slash));
        if (owner == null) {
            return Optional.empty();
        }
        int index = indexOf(id.substring(slash + 1));
        return index >= 0 && index < owner.tasks().size()
                ? Optional.of(owner.tasks().get(index))
                : Optional.empty();
    }

    /**
     * Serialises the whole state.
     *
     * @return a message from which {@link #restore} creates an equal state
     */
    public CellSnapshot snapshot() {
        return CellSnapshot.newBuilder()
                .setRevision(revision)
                .addAllResources(resources.values().stream()
                        .map(DeclaredResource::toFull)
                        .toList())
                .addAllOrganisations(organisations.values().stream()
                        .map(OrganisationAccount::toMessage)
                        .toList())
                .setConfiguration(configuration)
                .addAllWorkers(workers.values().stream().map(Worker::toState).toList())
                .addAllHistory(history.all())
                .addAllReplies(replies.all())
                .setNextEpoch(nextEpoch)
                .setOldestRevision(history.oldest())
                .build();
    }

    /**
     * Restores a state from a snapshot.
     *
     * @param saved the snapshot
     * @return the state
     */
    public static CellState restore(CellSnapshot saved) {
        CellState state = new CellState();
        saved.getOrganisationsList()
                .forEach(organisation ->
                        state.organisations.put(organisation.getName(), new OrganisationAccount(organisation)));
        saved.getWorkersList().forEach(worker -> {
            Worker restored = new Worker(worker);
            restored.restore(worker);
            state.workers.put(worker.getWorker(), restored);
        });
        saved.getResourcesList().forEach(state::restoreResource);
        saved.getWorkersList()
                .forEach(worker -> state.workers.get(worker.getWorker()).restoreFailures(worker, state.resources::get));
        saved.getRepliesList().forEach(state::restoreReply);
        state.history.restore(saved.getOldestRevision(), saved.getRevision(), saved.getHistoryList());
        state.configuration = saved.getConfiguration();
        state.revision = saved.getRevision();
        state.nextEpoch = Math.max(1, saved.getNextEpoch());
        return state;
    }

    private void restoreResource(Resource saved) {
        DeclaredResource resource =
                DeclaredResource.restore(saved, organisations.get(saved.getOrganisation()), workers::get);
        resources.put(resource.id(), resource);
        updatePending(resource);
    }

    private void restoreReply(RecordedReply saved) {
        replies.record(saved.getOrganisation(), saved.getRequestId(), saved.getReply());
    }

    private Reply applyOnce(String organisation, CellCommand command, java.util.function.Supplier<Reply> write) {
        Optional<Reply> earlier = replies.find(organisation, command.getRequestId());
        if (earlier.isPresent()) {
            return earlier.get();
        }
        Reply reply = write.get();
        replies.record(organisation, command.getRequestId(), reply);
        return reply;
    }

    private Reply putOrganisation(Organisation declared) {
        if (!Names.valid(declared.getName())) {
            return refuse(ResultCode.INVALID_VALUE, "the organisation's name is not valid");
        }
        OrganisationAccount account = organisations.get(declared.getName());
        if (account == null) {
            organisations.put(declared.getName(), new OrganisationAccount(declared));
        } else {
            account.update(declared);
        }
        return ok().build();
    }

    private Reply putConfiguration(PutConfiguration change) {
        if (change.getExpectedVersion() >= 0 && change.getExpectedVersion() != configuration.getVersion()) {
            return conflict(configuration.getVersion());
        }
        for (Map.Entry<String, String> value : change.getValuesMap().entrySet()) {
            Optional<String> problem = ConfigurationKey.of(value.getKey())
                    .map(key -> key.check(value.getValue()))
                    .orElse(Optional.of("there is no configuration key \"" + value.getKey() + "\""));
            if (problem.isPresent()) {
                return refuse(ResultCode.INVALID_VALUE, problem.get());
            }
        }
        configuration = Configuration.newBuilder()
                .setVersion(configuration.getVersion() + 1)
                .putAllValues(change.getValuesMap())
                .build();
        return ok().setConfiguration(configuration).build();
    }

    private Reply putResource(PutResource put, long nowMillis) {
        OrganisationAccount account = organisations.get(put.getOrganisation());
        if (account == null) {
            return refuse(ResultCode.UNAUTHENTICATED, "the organisation is not known");
        }
        WorkKind kind = WorkKind.of(put.getKind());
        ResourceSpec spec = put.getSpec();
        Optional<Refusal> problem = SpecCheck.check(put.getName(), spec)
                .or(() -> SpecCheck.checkFeasible(kind, spec, account, workers.values()));
        if (problem.isPresent()) {
            return refuse(problem.get());
        }
        DeclaredResource current = resources.get(DeclaredResource.key(account.id(), kind, put.getName()));
        if (!versionMatches(put.getExpectedVersion(), current)) {
            return conflict(current == null ? 0 : current.version());
        }
        if (current != null) {
            Optional<Refusal> changeProblem = checkChange(current, spec);
            if (changeProblem.isPresent()) {
                return refuse(changeProblem.get());
            }
        }
        DeclaredResource resource =
                current == null ? new DeclaredResource(account, kind, put.getName(), nowMillis) : current;
        resources.put(resource.id(), resource);
        resource.applySpec(spec, resource.version() + 1, nowMillis);
        transitions.stopSurplus(resource);
        recordChange(resource);
        return ok().setResource(resource.toSummary()).build();
    }

    private static Optional<Refusal> checkChange(DeclaredResource current, ResourceSpec spec) {
        if (current.deleting()) {
            return Optional.of(new Refusal(ResultCode.VERSION_CONFLICT, "the resource is being deleted", 1_000));
        }
        boolean sameSize = current.spec().getTaskSize().equals(spec.getTaskSize());
        boolean sameCount = current.spec().getTaskCount() == spec.getTaskCount();
        return sameSize && (sameCount || !current.kind().allAtOnce())
                ? Optional.empty()
                : Optional.of(Refusal.of(
                        ResultCode.INVALID_VALUE, "the size of tasks, and of a job, is changed by declaring it anew"));
    }

    private Reply deleteResource(DeleteResource delete) {
        DeclaredResource current =
                resources.get(DeclaredResource.key(delete.getOrganisation(), delete.getKind(), delete.getName()));
        if (current == null) {
            return refuse(ResultCode.NOT_FOUND, "there is no such resource");
        }
        if (!versionMatches(delete.getExpectedVersion(), current)) {
            return conflict(current.version());
        }
        current.delete();
        transitions.stopAll(current);
        recordChange(current);
        Resource summary = current.toSummary();
        removeDeletedResources();
        return ok().setResource(summary).build();
    }

    private static boolean versionMatches(long expected, DeclaredResource current) {
        long version = current == null ? 0 : current.version();
        return expected < 0 || expected == version;
    }

    private Reply registerWorker(WorkerState announced, long nowMillis) {
        if (isFromEarlierIncarnation(announced)) {
            return refuse(ResultCode.VERSION_CONFLICT, "a later incarnation of the worker is registered");
        }
        fleetVersion++;
        Worker registered = workers.get(announced.getWorker());
        if (registered == null) {
            workers.put(announced.getWorker(), new Worker(announced));
        } else {
            if (registered.incarnation() != announced.getIncarnation()) {
                releaseEnded(registered, nowMillis);
            }
            registered.update(announced);
        }
        removeDeletedResources();
        return ok().build();
    }

    private void releaseEnded(Worker worker, long nowMillis) {
        if (worker.leaving()) {
            transitions.releaseAll(worker, nowMillis);
        } else {
            transitions.releaseCrashed(worker, nowMillis);
        }
    }

    private Reply loseWorker(LoseWorker request, long nowMillis) {
        Worker worker = workers.get(request.getWorker());
        if (worker == null || worker.incarnation() != request.getIncarnation()) {
            return refuse(ResultCode.NOT_FOUND, "there is no such worker");
        }
        worker.markLost();
        if (request.getFenced()) {
            transitions.releaseAll(worker, nowMillis);
        } else {
            transitions.releaseExpired(worker, nowMillis);
        }
        removeDeletedResources();
        return ok().build();
    }

    private Reply bindTasks(List<Binding> bindings, long nowMillis) {
        Optional<Refusal> problem = BindingCheck.check(this, bindings, nowMillis);
        if (problem.isPresent()) {
            return refuse(problem.get());
        }
        Set<DeclaredResource> changed = new LinkedHashSet<>();
        bindings.forEach(binding -> {
            Task task = task(binding.getTask()).orElseThrow();
            task.bind(workers.get(binding.getWorker()), nextEpoch++);
            changed.add(task.owner());
        });
        changed.forEach(this::recordChange);
        return ok().build();
    }

    private Reply get(GetResource get) {
        return find(get)
                .map(resource -> ok().setResource(resource.toFull()).build())
                .orElse(refuse(ResultCode.NOT_FOUND, "there is no such resource"));
    }

    private Reply list(ListResources list) {
        String prefix = list.getOrganisation() + "/";
        String after = list.getAfter().startsWith(prefix) ? list.getAfter() : prefix;
        List<DeclaredResource> page = resources.tailMap(after, false).values().stream()
                .takeWhile(resource -> resource.id().startsWith(prefix))
                .limit(MAX_PAGE_RESOURCES + 1L)
                .toList();
        boolean hasMore = page.size() > MAX_PAGE_RESOURCES;
        List<DeclaredResource> returned = hasMore ? page.subList(0, MAX_PAGE_RESOURCES) : page;
        return ok().setResources(ResourceList.newBuilder()
                        .setRevision(revision)
                        .addAllResources(returned.stream()
                                .map(DeclaredResource::toSummary)
                                .toList())
                        .setNext(hasMore ? returned.get(returned.size() - 1).id() : ""))
                .build();
    }

    private Reply watch(WatchResources watch) {
        if (!history.reachesBackTo(watch.getFromRevision())) {
            return refuse(
                    ResultCode.HISTORY_GONE,
                    "changes before revision " + history.oldest() + " are gone: list the resources");
        }
        if (watch.getFromRevision() > revision) {
            return refuse(ResultCode.INVALID_VALUE, "revision " + watch.getFromRevision() + " is in the future");
        }
        List<Resource> changes = new ArrayList<>();
        long lastRevision = watch.getFromRevision();
        while (lastRevision < revision && changes.size() < MAX_WATCH_EVENTS) {
            lastRevision++;
            Resource change = history.at(lastRevision);
            if (change.getOrganisation().equals(watch.getOrganisation())) {
                changes.add(change);
            }
        }
        return ok().setResources(
                        ResourceList.newBuilder().setRevision(lastRevision).addAllResources(changes))
                .build();
    }

    private CellStatus status() {
        Map<String, Long> byPhase = new LinkedHashMap<>();
        for (TaskState state : TaskState.values()) {
            long count = resources.values().stream()
                    .mapToLong(resource -> resource.count(state))
                    .sum();
            byPhase.put(state.name(), count);
        }
        return CellStatus.newBuilder()
                .setRevision(revision)
                .putAllTasksByPhase(byPhase)
                .addAllWorkers(workers.values().stream().map(Worker::toState).toList())
                .addAllOrganisations(organisations.keySet())
                .setConfigurationVersion(configuration.getVersion())
                .build();
    }

    /** Records a change of a resource under the next revision. */
    private void recordChange(DeclaredResource resource) {
        resource.removeSurplusTasks();
        revision++;
        resource.recordChange(revision);
        history.add(resource.toSummary());
        updatePending(resource);
    }

    private void updatePending(DeclaredResource resource) {
        boolean hasPendingTasks = resource.count(TaskState.PENDING) > 0 && !resource.deleting() && !resource.broken();
        if (hasPendingTasks) {
            pendingResources.add(resource);
        } else {
            pendingResources.remove(resource);
        }
        if (resource.deleting() && !resource.holdsCapacity()) {
            transitions.markRemovable(resource);
        }
    }

    /** Removes deleted resources whose tasks no longer hold capacity on any worker. */
    private void removeDeletedResources() {
        for (DeclaredResource resource : transitions.takeRemovable()) {
            if (resources.remove(resource.id()) != null) {
                pendingResources.remove(resource);
                resource.failedWorkers()
                        .forEach(name -> worker(name).ifPresent(worker -> worker.forgetFailures(resource)));
                revision++;
                history.add(resource.toDeleted(revision));
            }
        }
    }

    private static int indexOf(String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private static Reply.Builder ok() {
        return Reply.newBuilder().setResultCode(ResultCode.OK.number());
    }

    private static Reply conflict(long currentVersion) {
        return refuse(ResultCode.VERSION_CONFLICT, "the current version is " + currentVersion);
    }

    private static Reply refuse(ResultCode code, String detail) {
        return refuse(Refusal.of(code, detail));
    }

    private static Reply refuse(Refusal refusal) {
        return Reply.newBuilder()
                .setResultCode(refusal.code().number())
                .setDetail(refusal.detail())
                .setRetryAfterMillis(refusal.retryAfterMillis())
                .build();
    }
}
