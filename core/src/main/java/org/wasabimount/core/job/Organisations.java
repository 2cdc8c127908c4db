package org.wasabimount.core.job;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.cell.OrganisationAccount;
import org.wasabimount.protocol.cell.Organisation;

import com.google.protobuf.ByteString;

/**
 * The organisations that share the workers, by name and by secret, with what their tasks hold.
 *
 * <p>An organisation that is no longer declared keeps its account, as its accepted jobs go on.
 */
public final class Organisations {

    private final Map<String, OrganisationAccount> accounts = new LinkedHashMap<>();
    private final Map<ByteString, OrganisationAccount> accountsBySecret = new HashMap<>();

    /** Replaces the declared organisations. */
    void declare(List<Organisation> declared) {
        accountsBySecret.clear();
        Set<String> names = declared.stream().map(Organisation::getName).collect(Collectors.toSet());
        accounts.values()
                .removeIf(account ->
                        !names.contains(account.id().name()) && account.used().equals(Capacity.NONE));
        declared.forEach(organisation -> {
            OrganisationAccount account =
                    accounts.computeIfAbsent(organisation.getName(), absent -> new OrganisationAccount(organisation));
            account.update(organisation);
            organisation.getSecretHashesList().forEach(hash -> accountsBySecret.put(hash, account));
        });
    }

    /**
     * Returns the organisation that a secret belongs to.
     *
     * @param secretHash the SHA-256 of the secret
     * @return the account, empty if no declared organisation has the secret
     */
    public Optional<OrganisationAccount> bySecret(ByteString secretHash) {
        return Optional.ofNullable(accountsBySecret.get(secretHash));
    }

    /**
     * Returns the account with a given name.
     *
     * @param name the organisation's name
     * @return the account, empty if the organisation was never declared, or is not declared and holds nothing
     */
    public Optional<OrganisationAccount> account(String name) {
        return Optional.ofNullable(accounts.get(name));
    }

    /**
     * Returns the accounts of all organisations.
     *
     * @return the accounts in the order of their first declaration
     */
    public Collection<OrganisationAccount> accounts() {
        return accounts.values();
    }

    /** Adds the size of a task that has been placed. */
    void charge(Job job, int step) {
        account(job.organisation())
                .ifPresent(account -> account.charge(Capacity.of(job.step(step).getSize())));
    }

    /** Subtracts the size of a task whose run has surely ended. */
    void refund(Job job, int step) {
        account(job.organisation())
                .ifPresent(account -> account.refund(Capacity.of(job.step(step).getSize())));
    }
}
