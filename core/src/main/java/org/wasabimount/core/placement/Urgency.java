package org.wasabimount.core.placement;

import org.wasabimount.core.cell.DeclaredResource;
import org.wasabimount.core.cell.WorkKind;

/** The order in which kinds of work are placed within a round. */
enum Urgency {
    /** Declared urgent by its operator. */
    URGENT,
    /** Serves requests. */
    SERVING,
    /** Waits patiently. */
    DEFERRABLE;

    static Urgency of(DeclaredResource resource) {
        if (resource.spec().getUrgent()) {
            return URGENT;
        }
        return resource.kind() == WorkKind.SERVICE ? SERVING : DEFERRABLE;
    }
}
