package org.wasabimount.daemon.cell;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.wasabimount.core.OrganisationId;
import org.wasabimount.core.cell.CellState;
import org.wasabimount.core.cell.ConfigurationKey;
import org.wasabimount.core.cell.OrganisationAccount;
import org.wasabimount.protocol.cell.Configuration;

import com.google.protobuf.ByteString;

/**
 * An immutable copy of the cell's organisations and configuration, which any thread of a daemon may read.
 *
 * @param weights each organisation's weight
 * @param secretHashes the hashes of each organisation's valid secrets
 * @param configuration the configuration in force
 */
public record Directory(
        Map<OrganisationId, Integer> weights,
        Map<OrganisationId, List<ByteString>> secretHashes,
        Configuration configuration) {

    /** The directory before the cell's state is known. */
    public static final Directory EMPTY = new Directory(Map.of(), Map.of(), Configuration.getDefaultInstance());

    /**
     * Creates the directory of a cell's state.
     *
     * @param state the state
     * @return the directory
     */
    public static Directory of(CellState state) {
        return new Directory(
                state.organisations().stream()
                        .collect(Collectors.toUnmodifiableMap(OrganisationAccount::id, OrganisationAccount::weight)),
                state.organisations().stream()
                        .collect(Collectors.toUnmodifiableMap(
                                OrganisationAccount::id, OrganisationAccount::secretHashes)),
                state.configuration());
    }

    /**
     * Finds the organisation that a credential belongs to.
     *
     * @param credential the organisation's name and a dot-free secret, separated by a colon
     * @return the organisation, or empty if the credential is not valid
     */
    public Optional<OrganisationId> authenticate(String credential) {
        int colon = credential.indexOf(':');
        if (colon <= 0) {
            return Optional.empty();
        }
        OrganisationId claimed = new OrganisationId(credential.substring(0, colon));
        ByteString hash = hash(credential.substring(colon + 1));
        return secretHashes.getOrDefault(claimed, List.of()).stream()
                .filter(known -> MessageDigest.isEqual(known.toByteArray(), hash.toByteArray()))
                .findFirst()
                .map(known -> claimed);
    }

    /**
     * Reads a value of the configuration in force.
     *
     * @param key the key
     * @return the value in the key's unit
     */
    public long read(ConfigurationKey key) {
        return key.read(configuration.getValuesMap());
    }

    /**
     * Hashes a secret. A single round is enough because secrets are long and random.
     *
     * @param secret the secret
     * @return its SHA-256 hash
     */
    public static ByteString hash(String secret) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return ByteString.copyFrom(digest.digest(secret.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
