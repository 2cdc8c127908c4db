package org.wasabimount.core.ledger;

import java.util.List;
import java.util.Optional;
import java.util.UUID;

import org.wasabimount.core.FailureDomainId;
import org.wasabimount.core.Validate;

/**
 * The idempotency key of an unrepeatable request.
 *
 * <p>A key is a version 7 UUID. Such a UUID contains its creation time, by which a key that is too old to be in the
 * ledger is recognised. The key may begin with the name of its home domain and a colon; without them, the home domain
 * is derived from the UUID.
 *
 * @param home the home domain given in the key, or null
 * @param uuid the version 7 UUID
 */
public record RequestKey(FailureDomainId home, UUID uuid) {

    private static final int UUID_VERSION = 7;
    private static final int TIMESTAMP_SHIFT = 16;

    /**
     * Creates a key.
     *
     * @throws IllegalArgumentException if the UUID is missing
     */
    public RequestKey {
        Validate.notNull(uuid, "uuid");
    }

    /**
     * Parses a key.
     *
     * @param text the text of an Idempotency-Key header
     * @return the key, empty if the text is not a valid key
     */
    public static Optional<RequestKey> parse(String text) {
        int colon = text.indexOf(':');
        try {
            UUID uuid = UUID.fromString(text.substring(colon + 1));
            boolean canonical = uuid.toString().equalsIgnoreCase(text.substring(colon + 1));
            if (uuid.version() != UUID_VERSION || !canonical || colon == 0) {
                return Optional.empty();
            }
            FailureDomainId home = colon < 0 ? null : new FailureDomainId(text.substring(0, colon));
            return Optional.of(new RequestKey(home, uuid));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns when the key was created.
     *
     * @return the wall-clock time in milliseconds since 1970, by the clock of the caller
     */
    public long createdMillis() {
        return uuid.getMostSignificantBits() >>> TIMESTAMP_SHIFT;
    }

    /**
     * Returns the domain whose ledger holds the key.
     *
     * @param domains all domains of the cell, always in the same order
     * @return the home domain given in the key, or the one that the UUID selects if none is given; empty if the
     *     given domain is unknown
     */
    public Optional<FailureDomainId> home(List<FailureDomainId> domains) {
        if (home != null) {
            return domains.contains(home) ? Optional.of(home) : Optional.empty();
        }
        int selected = Math.floorMod(uuid.hashCode(), domains.size());
        return Optional.of(domains.get(selected));
    }

    @Override
    public String toString() {
        return home == null ? uuid.toString() : home + ":" + uuid;
    }
}
