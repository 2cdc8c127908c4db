package org.wasabimount.core.log;

import org.wasabimount.core.Validate;
import org.wasabimount.core.VmId;

/**
 * The identity of a replica: its VM and the generation of the VM's data folder.
 *
 * <p>A VM that lost its data folder gets a new generation, so that it can't vote under its former identity, whose votes
 * and entries it no longer knows.
 *
 * @param vm the VM
 * @param generation the generation of the data folder; {@link #FIRST_GENERATION} if created together with the cell
 */
public record ReplicaIdentity(VmId vm, String generation) {

    /** The generation of the data folders that are created together with a new cell. */
    public static final String FIRST_GENERATION = "0";

    /**
     * Creates the identity.
     *
     * @throws IllegalArgumentException if a part is missing
     */
    public ReplicaIdentity {
        Validate.notNull(vm, "vm");
        Validate.notEmpty(generation, "generation");
    }

    /**
     * Parses the text form of an identity.
     *
     * @param text the VM's name, a slash and the generation
     * @return the identity
     * @throws IllegalArgumentException if the text has no slash
     */
    public static ReplicaIdentity parse(String text) {
        int slash = Validate.notEmpty(text, "text").indexOf('/');
        if (slash < 0) {
            throw new IllegalArgumentException("replica identity \"" + text + "\" has no generation");
        }
        return new ReplicaIdentity(new VmId(text.substring(0, slash)), text.substring(slash + 1));
    }

    @Override
    public String toString() {
        return vm + "/" + generation;
    }
}
