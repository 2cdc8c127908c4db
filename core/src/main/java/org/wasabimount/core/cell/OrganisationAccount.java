package org.wasabimount.core.cell;

import java.util.List;

import org.wasabimount.core.OrganisationId;
import org.wasabimount.protocol.cell.Organisation;

import com.google.protobuf.ByteString;

/** An organisation with its weight, its quota and the capacity that its tasks hold. */
public final class OrganisationAccount {

    private final OrganisationId id;
    private int weight;
    private Capacity quota = Capacity.NONE;
    private List<ByteString> secretHashes = List.of();
    private Capacity used = Capacity.NONE;

    /**
     * Creates an account that holds nothing.
     *
     * @param declared the organisation's declaration
     */
    public OrganisationAccount(Organisation declared) {
        this.id = new OrganisationId(declared.getName());
        update(declared);
    }

    /**
     * Returns the organisation.
     *
     * @return the id
     */
    public OrganisationId id() {
        return id;
    }

    /**
     * Returns the organisation's weight in fair shares.
     *
     * @return the weight, 1 or more
     */
    public int weight() {
        return weight;
    }

    /**
     * Returns the maximum capacity that the organisation's tasks may hold together.
     *
     * @return the quota
     */
    public Capacity quota() {
        return quota;
    }

    /**
     * Returns the capacity that the organisation's tasks hold.
     *
     * @return the sum of their sizes
     */
    public Capacity used() {
        return used;
    }

    /**
     * Returns the hashes of the secrets in force.
     *
     * @return SHA-256 hashes
     */
    public List<ByteString> secretHashes() {
        return secretHashes;
    }

    /**
     * Replaces the weight, the quota and the secrets.
     *
     * @param declared the organisation's newer declaration
     */
    public void update(Organisation declared) {
        weight = Math.max(1, declared.getWeight());
        quota = Capacity.of(declared.getQuota());
        secretHashes = List.copyOf(declared.getSecretHashesList());
    }

    /**
     * Returns whether the quota allows a further size beside what is held. Dimensions that the size does not use do not count:
     * an organisation that holds more memory than a lowered quota may still run what needs no memory.
     *
     * @param size the size of the tasks to be placed
     * @return true if the organisation may hold it, too
     */
    public boolean allows(Capacity size) {
        return size.timesIn(quota.minus(used)) > 0;
    }

    /**
     * Adds the size of a task that the organisation holds from now on.
     *
     * @param size the size
     */
    public void charge(Capacity size) {
        used = used.plus(size);
    }

    /**
     * Subtracts the size of a task that has surely ended.
     *
     * @param size the size
     */
    public void refund(Capacity size) {
        used = used.minus(size);
    }

    /**
     * Writes the organisation's declaration.
     *
     * @return the message, without what the organisation holds
     */
    public Organisation toMessage() {
        return Organisation.newBuilder()
                .setName(id.name())
                .setWeight(weight)
                .setQuota(quota.toQuantity())
                .addAllSecretHashes(secretHashes)
                .build();
    }
}
