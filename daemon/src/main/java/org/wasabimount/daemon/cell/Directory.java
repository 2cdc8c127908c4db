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
 * What every thread of a daemon may know of the cell: organisations and configuration, as one immutable value.
 *
 * @param weights each organisation's weight
 * @param secretHashes each organisation's secrets in force, hashed
 * @param configuration the configuration in force
 */
public record Directory(
        Map<OrganisationId, Integer> weights,
        Map<OrganisationId, List<ByteString>> secretHashes,
        Configuration configuration) {

    /** The directory before anything is known. */
    public static final Directory EMPTY = new Directory(Map.of(), Map.of(), Configuration.getDefaultInstance());

    /**
     * Takes a directory out of the cell's state.
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
     * @param credential the organisation's name, a dot-free secret and a colon between them
     * @return the organisation, or nothing if the credential is wrong
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
     * Hashes a secret. Secrets are random and long, so one round is enough.
     *
     * @param secret the secret
     * @return its SHA-256
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
