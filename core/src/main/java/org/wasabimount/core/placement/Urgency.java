package org.wasabimount.core.placement;

import org.wasabimount.core.cell.DeclaredResource;
import org.wasabimount.core.cell.WorkKind;

/** The urgency of work, in the order in which work is placed within a round. */
enum Urgency {
    /** Work that its operator declared urgent. */
    URGENT,
    /** Services, which handle requests. */
    SERVING,
    /** Batches and jobs, which can wait. */
    DEFERRABLE;

    static Urgency of(DeclaredResource resource) {
        if (resource.spec().getUrgent()) {
            return URGENT;
        }
        return resource.kind() == WorkKind.SERVICE ? SERVING : DEFERRABLE;
    }
}
