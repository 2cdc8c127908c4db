package org.wasabimount.core.job;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
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
 * <p>An organisation that is no longer declared keeps its account, and the quota that it had, until its last job has ended
 * and its last task has left its worker.
 */
public final class Organisations {

    private final Map<String, OrganisationAccount> accounts = new LinkedHashMap<>();
    private final Map<ByteString, OrganisationAccount> accountsBySecret = new HashMap<>();
    private final Set<String> declared = new HashSet<>();
    private final Map<String, Integer> openJobs = new HashMap<>();

    /** Replaces the declared organisations. */
    void declare(List<Organisation> organisations) {
        accountsBySecret.clear();
        declared.clear();
        organisations.forEach(organisation -> {
            declared.add(organisation.getName());
            OrganisationAccount account = account(organisation);
            account.update(organisation);
            organisation.getSecretHashesList().forEach(hash -> accountsBySecret.put(hash, account));
        });
        List.copyOf(accounts.keySet()).forEach(this::removeIfUnused);
    }

    /** Restores the accounts, before jobs and tasks are restored. */
    void restore(List<Organisation> nowDeclared, List<Organisation> former) {
        declare(nowDeclared);
        former.forEach(this::account);
    }

    /** Returns the organisations that are not declared and still have an account. */
    List<Organisation> former() {
        return accounts.values().stream()
                .filter(account -> !declared.contains(account.id().name()))
                .map(OrganisationAccount::toMessage)
                .toList();
    }

    private OrganisationAccount account(Organisation organisation) {
        return accounts.computeIfAbsent(organisation.getName(), absent -> new OrganisationAccount(organisation));
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
     * @return the account, empty if the organisation is not declared and has no open jobs and no placed tasks
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

    /** Records that a job was accepted. */
    void jobOpened(Job job) {
        if (accounts.containsKey(job.organisation())) {
            openJobs.merge(job.organisation(), 1, Integer::sum);
        }
    }

    /** Records that a job has ended; its tasks may still be on workers. */
    void jobEnded(Job job) {
        openJobs.computeIfPresent(job.organisation(), (name, count) -> count == 1 ? null : count - 1);
        removeIfUnused(job.organisation());
    }

    /** Returns whether sizes of tasks, added up for each organisation, fit into the quotas beside what is held. */
    boolean allow(Map<String, Capacity> added) {
        return added.entrySet().stream()
                .allMatch(size -> account(size.getKey())
                        .filter(account -> !account.allows(size.getValue()))
                        .isEmpty());
    }

    /** Adds the size of a task that has been placed. */
    void charge(Job job, int step) {
        account(job.organisation()).ifPresent(account -> account.charge(size(job, step)));
    }

    /** Subtracts the size of a task whose run has surely ended. */
    void refund(Job job, int step) {
        account(job.organisation()).ifPresent(account -> account.refund(size(job, step)));
        removeIfUnused(job.organisation());
    }

    static Capacity size(Job job, int step) {
        return Capacity.of(job.step(step).getSize());
    }

    private void removeIfUnused(String name) {
        boolean used = declared.contains(name)
                || openJobs.containsKey(name)
                || account(name)
                        .map(OrganisationAccount::used)
                        .filter(held -> !held.equals(Capacity.NONE))
                        .isPresent();
        if (!used) {
            accounts.remove(name);
        }
    }

    @Override
    public String toString() {
        return accounts.values().stream()
                .map(account -> account.id() + "=" + account.used())
                .collect(Collectors.joining(", "));
    }
}
