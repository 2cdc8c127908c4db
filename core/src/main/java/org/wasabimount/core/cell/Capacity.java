package org.wasabimount.core.cell;

import org.wasabimount.protocol.cell.Quantity;

/**
 * An amount of processors, memory and accelerators.
 *
 * @param cpuMillis thousandths of a processor
 * @param memoryMegabytes megabytes of memory
 * @param accelerators whole accelerators
 */
public record Capacity(long cpuMillis, long memoryMegabytes, long accelerators) {

    /** Zero in every dimension. */
    public static final Capacity NONE = new Capacity(0, 0, 0);

    /** A dimension without a limit; sums of several do not overflow. */
    public static final long UNLIMITED = Long.MAX_VALUE >> 10;

    /**
     * Reads a capacity from its message.
     *
     * @param quantity the message
     * @return the capacity
     */
    public static Capacity of(Quantity quantity) {
        return new Capacity(quantity.getCpuMillis(), quantity.getMemoryMegabytes(), quantity.getAccelerators());
    }

    /**
     * Writes the capacity as a message.
     *
     * @return the message
     */
    public Quantity toQuantity() {
        return Quantity.newBuilder()
                .setCpuMillis(cpuMillis)
                .setMemoryMegabytes(memoryMegabytes)
                .setAccelerators(accelerators)
                .build();
    }

    /**
     * Adds another capacity.
     *
     * @param other the other capacity
     * @return the sum
     */
    public Capacity plus(Capacity other) {
        return new Capacity(
                cpuMillis + other.cpuMillis,
                memoryMegabytes + other.memoryMegabytes,
                accelerators + other.accelerators);
    }

    /**
     * Subtracts another capacity.
     *
     * @param other the other capacity
     * @return the difference, which may be negative
     */
    public Capacity minus(Capacity other) {
        return plus(other.times(-1));
    }

    /**
     * Multiplies each dimension.
     *
     * @param factor the factor
     * @return the product
     */
    public Capacity times(long factor) {
        return new Capacity(cpuMillis * factor, memoryMegabytes * factor, accelerators * factor);
    }

    /**
     * Returns whether this fits into another capacity in every dimension.
     *
     * @param available the other capacity
     * @return true if it fits
     */
    public boolean fitsIn(Capacity available) {
        return cpuMillis <= available.cpuMillis
                && memoryMegabytes <= available.memoryMegabytes
                && accelerators <= available.accelerators;
    }

    /**
     * Returns how many times this fits into another capacity.
     *
     * @param available the other capacity; negative dimensions count as zero
     * @return the count, {@link Integer#MAX_VALUE} at most, so that the counts of all workers can be added
     */
    public long timesIn(Capacity available) {
        long times = Integer.MAX_VALUE;
        times = cpuMillis == 0 ? times : Math.min(times, Math.max(0, available.cpuMillis) / cpuMillis);
        times = memoryMegabytes == 0
                ? times
                : Math.min(times, Math.max(0, available.memoryMegabytes) / memoryMegabytes);
        return accelerators == 0 ? times : Math.min(times, Math.max(0, available.accelerators) / accelerators);
    }

    /**
     * Returns the largest share that this takes of a total, over the dimensions that are not zero in the total.
     *
     * @param total the total
     * @return the dominant share, 1.0 for the whole total
     */
    public double dominantShare(Capacity total) {
        double share = share(cpuMillis, total.cpuMillis);
        share = Math.max(share, share(memoryMegabytes, total.memoryMegabytes));
        return Math.max(share, share(accelerators, total.accelerators));
    }

    private static double share(long amount, long total) {
        return total == 0 ? 0 : (double) amount / total;
    }
}
