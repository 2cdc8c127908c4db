package org.wasabimount.core.intake;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;

import org.testng.annotations.Test;

/** A crowd of connections that send nothing, beside callers that keep their connections. */
public class ConnectionTableTest {

    private static final int CAPACITY = 100;

    private final ConnectionTable<String> table = new ConnectionTable<>(CAPACITY);

    @Test
    public void silentCrowdGivesWayToCallers() {
        table.open("busy", 0);
        table.requestStarted("busy");
        table.open("kept", 0);
        table.requestStarted("kept");
        table.requestEnded("kept", 1);
        for (int number = 0; number < 10 * CAPACITY; number++) {
            Optional<String> closed = table.open("crowd" + number, 3_000 * (number / CAPACITY));
            assertNotEquals(closed, Optional.of("busy"));
            if (number < CAPACITY) {
                continue;
            }
            assertTrue(closed.orElseThrow().startsWith("crowd"), closed + " gave way to the crowd");
            assertEquals(table.size(), CAPACITY);
        }
    }

    @Test
    public void closesLeastRecentlyUsed() {
        for (int number = 0; number < CAPACITY; number++) {
            table.open("caller" + number, 0);
            table.requestStarted("caller" + number);
            table.requestEnded("caller" + number, CAPACITY - number);
        }
        assertEquals(table.open("newcomer", CAPACITY), Optional.of("caller" + (CAPACITY - 1)));
        assertTrue(table.close("newcomer"), "it has sent nothing");
    }

    @Test
    public void refusesNewcomerBesideBusyConnections() {
        for (int number = 0; number < CAPACITY; number++) {
            table.open("caller" + number, 0);
            table.requestStarted("caller" + number);
        }
        assertEquals(table.open("newcomer", 1), Optional.of("newcomer"));
        assertEquals(table.size(), CAPACITY);
    }
}
