package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;

import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Plays organisations that compete for too little room, with the rule for declared ones and without. */
public class SharedLoadTest {

    private static final int WORKERS = 60;

    /** Share of the usual rates at which they ask for all cores of the workers at the mean. */
    private static final double RATES = 0.29;

    private SharedLoad undeclared;
    private SharedLoad declared;

    @BeforeClass
    public void play() {
        undeclared = new SharedLoad(2, false, WORKERS, RATES).play();
        declared = new SharedLoad(2, true, WORKERS, RATES).play();
        System.out.println(undeclared);
        System.out.println(declared);
    }

    @Test
    public void keepsInvariants() {
        assertEquals(undeclared.cell.violations, List.of());
        assertEquals(declared.cell.violations, List.of());
    }

    @Test
    public void servesWorstOrganisationsBetter() {
        assertTrue(declared.worthOfWorstOrganisations() > undeclared.worthOfWorstOrganisations());
    }

    @Test
    public void earnsMoreOfWhatIsOwed() {
        assertTrue(declared.worth() > undeclared.worth());
    }

    @Test
    public void leavesFewerAcceptedJobsUndone() {
        assertTrue(declared.neverCompleted() < undeclared.neverCompleted());
    }
}
