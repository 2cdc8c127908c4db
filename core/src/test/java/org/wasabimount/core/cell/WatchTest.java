package org.wasabimount.core.cell;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.ResultCode;
import org.wasabimount.protocol.cell.CellCommand;
import org.wasabimount.protocol.cell.CellQuery;
import org.wasabimount.protocol.cell.DeleteResource;
import org.wasabimount.protocol.cell.ListResources;
import org.wasabimount.protocol.cell.Organisation;
import org.wasabimount.protocol.cell.PutOrganisation;
import org.wasabimount.protocol.cell.PutResource;
import org.wasabimount.protocol.cell.Reply;
import org.wasabimount.protocol.cell.Resource;
import org.wasabimount.protocol.cell.ResourceKind;
import org.wasabimount.protocol.cell.ResourcePhase;
import org.wasabimount.protocol.cell.ResourceSpec;
import org.wasabimount.protocol.cell.WatchResources;

/** Checks the results of watching and listing, and the reply to a repeated write. */
public class WatchTest {

    private CellState state;

    @BeforeMethod
    public void createTwoOrganisations() {
        state = new CellState();
        organisation("org");
        organisation("other");
    }

    @Test
    public void reportsEachChangeOnceAndInOrder() {
        put("org", "a");
        put("org", "b");
        delete("org", "a");
        List<Resource> changes = watchAll("org");
        assertEquals(changes.stream().map(Resource::getName).toList(), List.of("a", "b", "a", "a"));
        assertEquals(changes.get(3).getPhase(), ResourcePhase.DELETED);
    }

    @Test
    public void hidesOtherOrganisations() {
        put("org", "a");
        put("other", "b");
        assertEquals(watchAll("other").stream().map(Resource::getName).toList(), List.of("b"));
        assertEquals(list("other", "").getResources().getResourcesCount(), 1);
    }

    @Test
    public void hasNoGapAndNoRepeatThroughRestoredSnapshots() {
        List<Long> seen = new ArrayList<>();
        long from = 0;
        for (int number = 0; number < 300; number++) {
            put("org", "batch-" + number % 7);
            if (number % 10 == 0) {
                state = CellState.restore(state.snapshot());
            }
            if (number % 13 == 0) {
                Reply reply = watch("org", from);
                reply.getResources().getResourcesList().forEach(change -> seen.add(change.getRevision()));
                from = reply.getResources().getRevision();
            }
        }
        for (int index = 1; index < seen.size(); index++) {
            assertEquals(seen.get(index), (Long) (seen.get(index - 1) + 1));
        }
        assertTrue(seen.size() > 250);
    }

    @Test
    public void refusesWatchFromDiscardedRevision() {
        for (int number = 0; number < History.CAPACITY + 10; number++) {
            put("org", "a");
        }
        assertEquals(watch("org", 5).getResultCode(), ResultCode.HISTORY_GONE.number());
        assertEquals(watch("org", 20).getResultCode(), ResultCode.OK.number());
    }

    @Test
    public void listsInPagesWithoutGap() {
        for (int number = 0; number < 1_234; number++) {
            put("org", "batch-" + number);
        }
        List<String> names = new ArrayList<>();
        String after = "";
        do {
            Reply page = list("org", after);
            page.getResources().getResourcesList().forEach(resource -> names.add(resource.getName()));
            after = page.getResources().getNext();
        } while (!after.isEmpty());
        assertEquals(names.size(), 1_234);
        assertEquals(names.stream().distinct().count(), 1_234);
    }

    @Test
    public void returnsFirstReplyToRepeatedWrite() {
        Reply first = put("org", "a", "request-1", 0);
        Reply repeated = put("org", "a", "request-1", 0);
        assertEquals(repeated, first);
        assertEquals(put("org", "a", "request-2", 0).getResultCode(), ResultCode.VERSION_CONFLICT.number());
    }

    private List<Resource> watchAll(String organisation) {
        return watch(organisation, 0).getResources().getResourcesList();
    }

    private Reply watch(String organisation, long from) {
        WatchResources watch = WatchResources.newBuilder()
                .setOrganisation(organisation)
                .setFromRevision(from)
                .build();
        return state.query(CellQuery.newBuilder().setWatch(watch).build());
    }

    private Reply list(String organisation, String after) {
        ListResources list = ListResources.newBuilder()
                .setOrganisation(organisation)
                .setAfter(after)
                .build();
        return state.query(CellQuery.newBuilder().setList(list).build());
    }

    private void put(String organisation, String name) {
        put(organisation, name, "", -1);
    }

    private Reply put(String organisation, String name, String requestId, long expectedVersion) {
        ResourceSpec spec = ResourceSpec.newBuilder()
                .setTaskSize(new Capacity(1, 1, 0).toQuantity())
                .setTaskCount(1)
                .setMaxAttempts(1)
                .build();
        return state.apply(CellCommand.newBuilder()
                .setRequestId(requestId)
                .setPutResource(PutResource.newBuilder()
                        .setOrganisation(organisation)
                        .setKind(ResourceKind.BATCH)
                        .setName(name)
                        .setSpec(spec)
                        .setExpectedVersion(expectedVersion))
                .build());
    }

    private void delete(String organisation, String name) {
        state.apply(CellCommand.newBuilder()
                .setDeleteResource(DeleteResource.newBuilder()
                        .setOrganisation(organisation)
                        .setKind(ResourceKind.BATCH)
                        .setName(name)
                        .setExpectedVersion(-1))
                .build());
    }

    private void organisation(String name) {
        Organisation organisation = Organisation.newBuilder()
                .setName(name)
                .setWeight(1)
                .setQuota(new Capacity(1_000, 1_000, 0).toQuantity())
                .build();
        state.apply(CellCommand.newBuilder()
                .setPutOrganisation(PutOrganisation.newBuilder().setOrganisation(organisation))
                .build());
    }
}
