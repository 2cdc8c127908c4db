package org.wasabimount.core.share;

import java.util.HashMap;
import java.util.Map;

/**
 * The work that organisations have open, measured against their weights.
 *
 * <p>Designed for one organisation whose backlog takes all cores while others send a job now and then. A job of an
 * organisation waits behind the work of another one only as far as that has no more of it for its weight: a weighted
 * max-min share of the cores, which are the resource that is short. What idle organisations leave is lent to the others.
 * A decision examines the organisations with open work, neither jobs nor workers.
 */
final class FairShares {

    private final Map<String, Integer> weights = new HashMap<>();
    private final Map<String, Double> openWork = new HashMap<>();

    /** Replaces the weights of all organisations. */
    void weights(Map<String, Integer> declared) {
        weights.clear();
        weights.putAll(declared);
    }

    /** Returns whether an organisation is declared. */
    boolean declared(String organisation) {
        return weights.containsKey(organisation);
    }

    /** Adds to the work of the accepted jobs of an organisation that is not done, placed or not. */
    void add(String organisation, double work) {
        openWork.merge(organisation, work, (one, other) -> one + other <= 0 ? null : one + other);
    }

    /**
     * Returns the portion of all open work behind which a new job waits if the cores are shared by weight.
     *
     * @param organisation the organisation of the new job
     * @param addedWork the work of the new job
     * @return from 0 to 1; 1 if no organisation has more open work for its weight
     */
    double portionAhead(String organisation, double addedWork) {
        double level = (openWork(organisation) + addedWork) / weight(organisation);
        double total =
                openWork.values().stream().mapToDouble(Double::doubleValue).sum();
        double ahead = openWork.entrySet().stream()
                .mapToDouble(entry -> Math.min(entry.getValue(), level * weight(entry.getKey())))
                .sum();
        return total <= 0 ? 1 : ahead / total;
    }

    private double openWork(String organisation) {
        return openWork.getOrDefault(organisation, 0.0);
    }

    private int weight(String organisation) {
        return weights.getOrDefault(organisation, 1);
    }
}
